import { RunEnd } from '@reelspan/core.messages'
import { type RequestIdentity } from '@reelspan/request.identity'
import { type PartVerdicts } from './judgeParts.js'
import { runsByExit, withoutCommonCause, type DidOthersLiveOn } from './overlappingExits.js'
import { type PastRun, type RunHistory } from './runHistory.js'
import { sequentialRuns } from './sequentialRuns.js'

/**
 * Successive upstream exits after which a request is quarantined. Users accept the loss of three
 * upstreams. Unrelated requests run at fewer exits: in one incident, two requests made 20 engines exit
 * within 34 s and interrupted 35 other streams, each only once.
 */
export const MAX_UPSTREAM_EXITS = 3
/**
 * Applies while another request, or a prompt part of others, was at all the same exits, so that either may be the
 * cause, until the next run without the other decides; and to exits that overlap.
 */
export const MAX_UPSTREAM_EXITS_IF_AMBIGUOUS = 5
/** By then all boxes know of the runs at an exit that was found, also of those that are pulled with the next heartbeat. */
const RUNS_ARRIVAL_MS = 800

/**
 * Returns the runs because of which a request is quarantined, or none.
 *
 * - Counts the runs whose upstream exited since the request last finished.
 * - Each run must have begun after the previous one ended: when a zone loses power, all
 *   upstreams that run copies of one request exit, and the request is not the cause.
 * - Exits that overlap count each if there are more of them, and nothing but the request explains them.
 * - An exit is not attributed to a request if another request, or a prompt part, with more exits ran there.
 * - One that was at all of the exits but the last may have been at that one as well, until its runs are known.
 *
 * Runs of one caller are judged separately, since the cause may be something that only
 * that caller sends. If copies from several callers make upstreams exit, the content is judged.
 */
export function judgeRequest (history: RunHistory, { content, caller }: RequestIdentity, opts: JudgeRequestOptions = {}): readonly PastRun[] {
  const callerRuns = attributedExits(history, content, sinceLastFinished(history.runsOf(content).filter((run) => run.caller === caller)), opts)
  if (callerRuns.length > 0) return callerRuns
  const allRuns = sinceLastFinished(history.runsOf(content))
  return new Set(allRuns.map((run) => run.caller)).size > 1 ? attributedExits(history, content, allRuns, opts) : []
}

export interface JudgeRequestOptions {
  /** Which prompt parts are suspects at the same exits. None by default. */
  partVerdicts?: SuspectsAtExits
  /** Exits found shortly before may have runs that are not known yet. By default all runs are known. */
  nowMs?: number
  didOthersLiveOn?: DidOthersLiveOn
}

type SuspectsAtExits = Pick<PartVerdicts, 'exitsOfStrongest' | 'suspectsWithExits'>

const NO_SUSPECTS: SuspectsAtExits = { exitsOfStrongest: () => 0, suspectsWithExits: () => [] }

function attributedExits (history: RunHistory, content: string, exits: readonly PastRun[], opts: JudgeRequestOptions): readonly PastRun[] {
  const { partVerdicts = NO_SUSPECTS, didOthersLiveOn = () => false } = opts
  const successive = successiveExits(history, content, exits, opts)
  if (successive.length > 0) return successive
  const runs = runsByExit(exits)
  if (runs.length < MAX_UPSTREAM_EXITS_IF_AMBIGUOUS || runs.some((run) => partVerdicts.exitsOfStrongest(run) > runs.length)) return []
  const overlapping = withoutCommonCause(history, runs, didOthersLiveOn)
  return overlapping.length >= MAX_UPSTREAM_EXITS_IF_AMBIGUOUS ? overlapping : []
}

function successiveExits (history: RunHistory, content: string, exits: readonly PastRun[], { partVerdicts = NO_SUSPECTS, nowMs = Number.POSITIVE_INFINITY }: JudgeRequestOptions): readonly PastRun[] {
  const ownExitCount = sequentialRuns(exits).length
  if (ownExitCount < MAX_UPSTREAM_EXITS) return []
  const isExplained = (run: PastRun) => partVerdicts.exitsOfStrongest(run) > ownExitCount || history.concurrentContents(run).some((other) => exitCount(history, other) > ownExitCount)
  const attributed = sequentialRuns(exits.filter((run) => !isExplained(run)))
  if (attributed.length < MAX_UPSTREAM_EXITS) return []
  const hasRival = (runs: readonly PastRun[], minExits: number) => isOtherAtAll(history, runs, minExits) || isPartOfOthersAtAll(runs, minExits, partVerdicts)
  const isLastOpen = nowMs < (attributed.at(-1) as PastRun).exitKnownAtMs + RUNS_ARRIVAL_MS
  const isAmbiguous = hasRival(attributed, ownExitCount) || (isLastOpen && hasRival(attributed.slice(0, -1), ownExitCount - 1))
  return attributed.length >= (isAmbiguous ? MAX_UPSTREAM_EXITS_IF_AMBIGUOUS : MAX_UPSTREAM_EXITS) ? attributed : []
}

/** Whether another request with at least so many exits ran at all of these exits. */
function isOtherAtAll (history: RunHistory, runs: readonly PastRun[], minExits: number): boolean {
  const [first = [], ...rest] = runs.map((run) => history.concurrentContents(run))
  const everywhere = first.filter((other) => rest.every((concurrent) => concurrent.includes(other)))
  return everywhere.some((other) => exitCount(history, other) >= minExits)
}

/** Whether a prompt part with at least so many exits, which the request does not have, was at all of these exits. */
function isPartOfOthersAtAll (runs: readonly PastRun[], minExits: number, { suspectsWithExits }: SuspectsAtExits): boolean {
  const [first = [], ...rest] = runs.map((run) => suspectsWithExits(run, minExits))
  return first.some((part) => !runs[0].parts.includes(part) && rest.every((suspects) => suspects.includes(part)))
}

/** Number of successive upstream exits at which a request ran. */
function exitCount (history: RunHistory, content: string): number {
  return sequentialRuns(sinceLastFinished(history.runsOf(content))).length
}

function sinceLastFinished (runs: readonly PastRun[]): PastRun[] {
  const finishedAt = runs.findLastIndex(({ end }) => end === RunEnd.Finished)
  return runs.slice(finishedAt + 1)
}
