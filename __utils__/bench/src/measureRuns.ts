import { RunEnd } from '@reelspan/core.messages'
import { SystemClock } from '@reelspan/net.system-env'
import { judgeRequest, RunHistory } from '@reelspan/request.quarantine'

/** What remembering the ends of upstreams costs a box. */
export interface RunCost {
  runs: number
  heapBytesPerRun: number
  microsecondsPerRun: number
  /** Deciding whether one request may be sent. */
  microsecondsPerJudgement: number
}

/** Requests that ran on each upstream that ended: a full engine of the users' largest deployment. */
const RUNS_PER_END = 12
const JUDGEMENTS = 20_000

/** Fills a history with ends of full upstreams, and judges requests that were there. Wants `--expose-gc`. */
export function measureRuns (runs: number): RunCost {
  const history = new RunHistory({ clock: new SystemClock() })
  globalThis.gc?.()
  const heapBefore = process.memoryUsage().heapUsed
  const fill = microseconds(() => {
    for (let i = 0; i < runs; i++) {
      const end = Math.floor(i / RUNS_PER_END)
      history.add({ id: `0123456789abcdef.${i}`, end: RunEnd.UpstreamEnded, content: contentOf(i), caller: 'w'.repeat(16), upstream: `i-${end}`, ageMs: 500 * (1 + runs / RUNS_PER_END - end), ranMs: 100 })
    }
  })
  globalThis.gc?.()
  const heapBytes = process.memoryUsage().heapUsed - heapBefore
  const judge = microseconds(() => {
    for (let i = 0; i < JUDGEMENTS; i++) judgeRequest(history, { content: contentOf(i % runs), caller: 'w'.repeat(16) })
  })
  return { runs, heapBytesPerRun: heapBytes / runs, microsecondsPerRun: fill / runs, microsecondsPerJudgement: judge / JUDGEMENTS }
}

/** One request of each upstream is the one that ends them, up to as many as are kept of it. */
function contentOf (i: number): string {
  return i % RUNS_PER_END === 0 ? 'ends'.padEnd(16, '.') : `c${i}`.padEnd(16, '.')
}

function microseconds (work: () => void): number {
  const before = process.cpuUsage()
  work()
  const { user, system } = process.cpuUsage(before)
  return user + system
}
