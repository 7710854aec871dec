import { type PastRun, type RunHistory, SAME_EXIT_WINDOW_MS } from './runHistory.js'

/** Where an upstream that exited was, and when it exited. */
export interface ExitPlace {
  pool: string
  availabilityZone: string
  exitedAtMs: number
}

/** Whether an upstream of the same pool and availability zone, other than those that exited with it, was there before an exit and has shown life after it. */
export type DidOthersLiveOn = (exit: ExitPlace, exitedTogether: ReadonlySet<string>) => boolean

/** A request that crashes upstreams does so soon after it was sent. */
const MAX_RUN_MS = 1000
/** Upstreams that lose power together exit within a fraction of this. */
const COMMON_CAUSE_WINDOW_MS = 500
/** Upstreams take longer to start again, so that one that exits within this time did not start after an earlier exit. */
const MIN_START_MS = 1000

/** One run of a request for each exit at which it was. */
export function runsByExit (runs: readonly PastRun[]): PastRun[] {
  return runs.reduce<PastRun[]>((firsts, run) => {
    const isKnown = firsts.some(({ upstream, endedAtMs }) => upstream === run.upstream && Math.abs(endedAtMs - run.endedAtMs) <= SAME_EXIT_WINDOW_MS)
    return isKnown ? firsts : [...firsts, run]
  }, [])
}

/**
 * The runs of a request that were not at upstreams which may have exited together for another reason, as when a zone
 * loses power or a pool fails while copies of the request run there by chance: there, others lived on without it.
 *
 * @param runs one run of the request for each exit
 */
export function withoutCommonCause (history: RunHistory, runs: readonly PastRun[], didOthersLiveOn: DidOthersLiveOn): readonly PastRun[] {
  if (!runs.every(hadJustBegun) || isAnyOtherAtAll(history, runs) || isAnyExitWithout(history, runs)) return []
  return runs.filter(hadSurvivors(history, didOthersLiveOn))
}

function hadJustBegun ({ beganAtMs, endedAtMs }: PastRun): boolean {
  return endedAtMs - beganAtMs < MAX_RUN_MS
}

/** Whether another request ran at all of the exits. */
function isAnyOtherAtAll (history: RunHistory, runs: readonly PastRun[]): boolean {
  const [first = [], ...rest] = runs.map((run) => history.concurrentContents(run))
  return first.some((other) => rest.every((concurrent) => concurrent.includes(other)))
}

/** Whether an upstream exited around the same time without the request. */
function isAnyExitWithout (history: RunHistory, runs: readonly PastRun[]): boolean {
  const [{ content }] = runs
  return history.exits().some((exit) => exit.every((run) => run.content !== content) &&
    exit.some((other) => runs.some(({ endedAtMs }) => Math.abs(endedAtMs - other.endedAtMs) <= COMMON_CAUSE_WINDOW_MS)))
}

/** Whether others of the pool and zone are known to have lived on at an exit: this box has seen it, or they exited some time later. */
function hadSurvivors (history: RunHistory, didOthersLiveOn: DidOthersLiveOn): (run: PastRun) => boolean {
  const exits = history.exits().map(([first]) => first)
  return ({ pool, availabilityZone, endedAtMs: exitedAtMs }) => {
    if (pool === undefined || availabilityZone === undefined) return false
    const ofPlace = exits.filter((exit) => exit.pool === pool && exit.availabilityZone === availabilityZone)
    if (ofPlace.some(({ endedAtMs }) => endedAtMs > exitedAtMs + COMMON_CAUSE_WINDOW_MS && endedAtMs <= exitedAtMs + MIN_START_MS)) return true
    const exitedTogether = ofPlace.filter(({ endedAtMs }) => Math.abs(endedAtMs - exitedAtMs) <= COMMON_CAUSE_WINDOW_MS)
    return didOthersLiveOn({ pool, availabilityZone, exitedAtMs }, new Set(exitedTogether.flatMap((exit) => exit.upstream ?? [])))
  }
}
