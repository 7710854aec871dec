import { type PastRun } from './runHistory.js'

/** An upstream does not run again under the same name sooner than this after its exit. */
export const MIN_RESTART_MS = 250

/**
 * The longest chain of runs, ordered by their end, in which each began after the previous one ended. A run that was
 * sent to an upstream before its last exit was known, or right after it, reached no other process, and does not count.
 */
export function sequentialRuns (runs: readonly PastRun[]): PastRun[] {
  const chain: PastRun[] = []
  const lastExits = new Map<string, PastRun>()
  runs.forEach((run) => {
    const previous = chain.at(-1)
    const follows = previous === undefined || run.beganAtMs >= previous.endedAtMs
    if (!follows || isLateForExit(run, lastExits.get(run.upstream ?? ''))) return
    chain.push(run)
    if (run.upstream !== undefined) lastExits.set(run.upstream, run)
  })
  return chain
}

function isLateForExit ({ beganAtMs }: PastRun, exit?: PastRun): boolean {
  return exit !== undefined && beganAtMs < Math.max(exit.exitKnownAtMs, exit.endedAtMs + MIN_RESTART_MS)
}
