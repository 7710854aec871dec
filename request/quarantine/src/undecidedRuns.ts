import { type EndedRun, RunEndKind } from './endedRun.js'
import { MIN_RESTART_MS } from './sequentialRuns.js'

/** A run whose end does not say whether its upstream has exited. */
export interface UndecidedRun extends EndedRun {
  end: RunEndKind
  endedAtMs: number
  /** Whether the upstream answers for itself when it is asked, so that a process that accepts connections and does not is another one. */
  answersForItself: boolean
  /** Called once the upstream is known to have lived on. */
  onAlive?: () => void
}

/** An upstream may go on for this long with a run that has ended here. */
export const LINGERING_MS = 500
/** Boxes record the runs of an upstream that exited within this time of each other. */
const SAME_EXIT_MS = 2000
/** How long before and after an exit a run that was there may have ended. Ages leave out what a message takes on its way. */
const EXIT_WINDOWS: Record<RunEndKind, { beforeMs: number, afterMs: number }> = {
  [RunEndKind.Unconfirmed]: { beforeMs: 150, afterMs: LINGERING_MS + 200 },
  [RunEndKind.Abandoned]: { beforeMs: LINGERING_MS, afterMs: SAME_EXIT_MS },
  [RunEndKind.Interrupted]: { beforeMs: LINGERING_MS, afterMs: SAME_EXIT_MS },
}
/** The list removes an exited upstream after three missed heartbeats, some 4 s; the rest allows for late updates. */
const TTL_MS = 15_000
/** Bound on undecided runs; the oldest are dropped first. Some hundred bytes each. */
const MAX_RUNS = 1024

/** The undecided runs of this box. */
export class UndecidedRuns {
  #runs: UndecidedRun[] = []
  /** Number of runs by upstream, so that a sign of life costs one look-up. */
  readonly #counts = new Map<string, number>()

  has (run: UndecidedRun): boolean {
    return this.#runs.includes(run)
  }

  hasAny (upstream: string): boolean {
    return this.#counts.has(upstream)
  }

  upstreams (): string[] {
    return [...this.#counts.keys()]
  }

  addressOf (upstream: string): string | undefined {
    return this.#runs.find((run) => run.upstream === upstream)?.address
  }

  /** Returns the runs that are dropped to make room. */
  add (run: UndecidedRun): UndecidedRun[] {
    this.#runs.push(run)
    this.#counts.set(run.upstream, (this.#counts.get(run.upstream) ?? 0) + 1)
    return this.#runs.length > MAX_RUNS ? this.#take([this.#runs[0]]) : []
  }

  /**
   * Removes and returns the runs of an upstream that ended before it was alive.
   *
   * @param endedFromMs runs that ended earlier stay undecided
   */
  takeSurvived (upstream: string, aliveAtMs: number, endedFromMs = Number.NEGATIVE_INFINITY): UndecidedRun[] {
    return this.#take(this.#runs.filter((run) => run.upstream === upstream && run.endedAtMs >= endedFromMs && mayBeAtExitUntilMs(run) <= aliveAtMs))
  }

  /** Removes and returns the runs of an upstream that were at its exit, and those that ended too long before. */
  takeAtExit (upstream: string, exit: UpstreamExit): { atExit: UndecidedRun[], before: UndecidedRun[] } {
    const runs = this.#take(this.#runs.filter((run) => run.upstream === upstream && !isOfLaterStart(run, exit)))
    return { atExit: runs.filter((run) => wasAtExit(run, exit)), before: runs.filter((run) => !wasAtExit(run, exit)) }
  }

  /** Removes and returns the runs of an upstream, all or some of them. */
  takeAll (upstream: string, isTaken: (run: UndecidedRun) => boolean = () => true): UndecidedRun[] {
    return this.#take(this.#runs.filter((run) => run.upstream === upstream && isTaken(run)))
  }

  takeExpired (nowMs: number): UndecidedRun[] {
    return this.#take(this.#runs.filter(({ endedAtMs }) => endedAtMs <= nowMs - TTL_MS))
  }

  #take (taken: UndecidedRun[]): UndecidedRun[] {
    if (taken.length === 0) return taken
    const removed = new Set(taken)
    this.#runs = this.#runs.filter((run) => !removed.has(run))
    taken.forEach(({ upstream }) => {
      const remaining = (this.#counts.get(upstream) ?? 0) - 1
      if (remaining > 0) this.#counts.set(upstream, remaining)
      else this.#counts.delete(upstream)
    })
    return taken
  }
}

/** What is known of the time of an upstream's exit. */
export interface UpstreamExit {
  exitedAtMs?: number
  /** When the upstream was last seen to accept a connection, which its process did as long as the address refuses them now. */
  acceptedAtMs?: number
}

/** Whether a run was at an exit of its upstream. */
export function wasAtExit (run: Pick<UndecidedRun, 'end' | 'endedAtMs'>, { exitedAtMs, acceptedAtMs }: UpstreamExit): boolean {
  if (exitedAtMs === undefined) return acceptedAtMs === undefined || acceptedAtMs < mayBeAtExitUntilMs(run)
  const { beforeMs, afterMs } = EXIT_WINDOWS[run.end]
  const sinceExitMs = run.endedAtMs - exitedAtMs
  return sinceExitMs >= -beforeMs && sinceExitMs <= afterMs
}

/** Whether a run was sent to a start of its upstream that began after an exit. */
export function isOfLaterStart ({ sentAtMs }: Pick<EndedRun, 'sentAtMs'>, { exitedAtMs = Number.POSITIVE_INFINITY }: UpstreamExit): boolean {
  return sentAtMs > exitedAtMs + MIN_RESTART_MS
}

/** Until when an exit of its upstream may be due to a run. */
function mayBeAtExitUntilMs ({ endedAtMs }: Pick<UndecidedRun, 'endedAtMs'>): number {
  return endedAtMs + LINGERING_MS
}
