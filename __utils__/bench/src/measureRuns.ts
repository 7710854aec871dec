import { RunEnd } from '@reelspan/core.messages'
import { SystemClock } from '@reelspan/net.system-env'
import { judgeParts, judgeRequest, Quarantine, RunHistory } from '@reelspan/request.quarantine'
import { Log } from '@reelspan/telemetry.log'

/** Cost at a box of the history of runs whose upstreams exited. */
export interface RunCost {
  runs: number
  heapBytesPerRun: number
  microsecondsPerRun: number
  /** CPU time to decide whether a request is quarantined. */
  microsecondsPerDecision: number
  /** CPU time to find the prompt parts because of which upstreams exit, after each change. */
  microsecondsPerJudgement: number
  /** CPU time to remember the parts of a request that was answered, while no exit is known. */
  microsecondsPerSoundRun: number
}

/** Requests that ran on each upstream that exited. Corresponds to a fully loaded engine of the users' largest deployment. */
const RUNS_PER_EXIT = 12
const DECISIONS = 20_000
const JUDGEMENTS = 20
const SOUND_RUNS = 50_000
/** Parts of a prompt that are shared by many requests, by some, and by few. */
const PARTS_IN_USE = [1, 20, 5000]

/** Fills a history with the runs of fully loaded upstreams that exited, and judges requests among them. Requires `--expose-gc`. */
export function measureRuns (runs: number): RunCost {
  const history = new RunHistory({ clock: new SystemClock() })
  globalThis.gc?.()
  const heapBefore = process.memoryUsage().heapUsed
  const fillMicroseconds = measureCpuMicroseconds(() => {
    for (let i = 0; i < runs; i++) {
      const exitNumber = Math.floor(i / RUNS_PER_EXIT)
      history.add({ id: `0123456789abcdef.${i}`, end: RunEnd.UpstreamEnded, content: contentDigestOf(i), caller: 'w'.repeat(16), upstream: `i-${exitNumber}`, ageMs: 500 * (1 + runs / RUNS_PER_EXIT - exitNumber), ranMs: 100, parts: partsOf(i), writtenMs: 0, targetVersion: 'm@v1' })
    }
  })
  globalThis.gc?.()
  const heapBytes = process.memoryUsage().heapUsed - heapBefore
  const decisionMicroseconds = measureCpuMicroseconds(() => {
    for (let i = 0; i < DECISIONS; i++) judgeRequest(history, { content: contentDigestOf(i % runs), caller: 'w'.repeat(16) })
  })
  const judgementMicroseconds = measureCpuMicroseconds(() => Array.from({ length: JUDGEMENTS }, () => judgeParts(history)))
  return { runs, microsecondsPerJudgement: judgementMicroseconds / JUDGEMENTS, microsecondsPerSoundRun: measureSoundRuns(), heapBytesPerRun: heapBytes / runs, microsecondsPerRun: fillMicroseconds / runs, microsecondsPerDecision: decisionMicroseconds / DECISIONS }
}

class NoLog extends Log {
  info (): void {}
  warn (): void {}
}

function measureSoundRuns (): number {
  const clock = new SystemClock()
  const quarantine = new Quarantine({ clock, log: new NoLog(), history: new RunHistory({ clock }), incarnation: () => '', onEvent: () => {}, mayTry: () => false })
  const runs = Array.from({ length: SOUND_RUNS }, (_, i) => ({ model: 'm', parts: partsOf(i), targetVersion: 'm@v1' }))
  return measureCpuMicroseconds(() => runs.forEach((run) => quarantine.recordSound(run, Number.POSITIVE_INFINITY))) / SOUND_RUNS
}

function partsOf (i: number): string[] {
  return PARTS_IN_USE.map((count) => `${count}-${i % count}`.padEnd(16, '.'))
}

/** The first run at each upstream is of the same request, which makes the upstreams exit. The history keeps a limited number of runs of it. */
function contentDigestOf (i: number): string {
  return i % RUNS_PER_EXIT === 0 ? 'ends'.padEnd(16, '.') : `c${i}`.padEnd(16, '.')
}

function measureCpuMicroseconds (work: () => void): number {
  const before = process.cpuUsage()
  work()
  const { user, system } = process.cpuUsage(before)
  return user + system
}
