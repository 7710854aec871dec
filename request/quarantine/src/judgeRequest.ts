import { RunEnd } from '@reelspan/core.messages'
import { type RequestIdentity } from '@reelspan/request.identity'
import { type PastRun, type RunHistory } from './runHistory.js'
import { sequentialRuns } from './sequentialRuns.js'

/**
 * Successive upstream exits after which a request is quarantined. Users accept the loss of three
 * upstreams. Unrelated requests run at fewer exits: in one incident, two requests made 20 engines exit
 * within 34 s and interrupted 35 other streams, each only once.
 */
export const MAX_UPSTREAM_EXITS = 3
/** Applies while another request ran at all the same exits, so that either may be the cause. The next run without the other decides. */
export const MAX_UPSTREAM_EXITS_IF_AMBIGUOUS = 5

/**
 * Returns the runs because of which a request is quarantined, or none.
 *
 * - Counts the runs whose upstream exited since the request last finished.
 * - Each run must have begun after the previous one ended: when a zone loses power, all
 *   upstreams that run copies of one request exit, and the request is not the cause.
 * - An exit is not attributed to a request if another request, or a prompt part, with more exits ran there.
 *
 * Runs of one caller are judged separately, since the cause may be something that only
 * that caller sends. If copies from several callers make upstreams exit, the content is judged.
 */
export function judgeRequest (history: RunHistory, { content, caller }: RequestIdentity, exitsOfStrongestPart: ExitCounter = () => 0): readonly PastRun[] {
  const callerRuns = attributedExits(history, content, sinceLastFinished(history.runsOf(content).filter((run) => run.caller === caller)), exitsOfStrongestPart)
  if (callerRuns.length > 0) return callerRuns
  const allRuns = sinceLastFinished(history.runsOf(content))
  return new Set(allRuns.map((run) => run.caller)).size > 1 ? attributedExits(history, content, allRuns, exitsOfStrongestPart) : []
}

/** Number of successive exits of the most suspicious prompt part at the exit at which a run ended. */
type ExitCounter = (run: PastRun) => number

function attributedExits (history: RunHistory, content: string, exits: readonly PastRun[], exitsOfStrongestPart: ExitCounter): readonly PastRun[] {
  const ownExitCount = sequentialRuns(exits).length
  if (ownExitCount < MAX_UPSTREAM_EXITS) return []
  const isExplained = (run: PastRun) => exitsOfStrongestPart(run) > ownExitCount || history.concurrentContents(run).some((other) => exitCount(history, other) > ownExitCount)
  const attributed = sequentialRuns(exits.filter((run) => !isExplained(run)))
  return attributed.length >= (isAmbiguous(history, attributed, ownExitCount) ? MAX_UPSTREAM_EXITS_IF_AMBIGUOUS : MAX_UPSTREAM_EXITS) ? attributed : []
}

/** Whether another request with as many exits ran at all of these exits. */
function isAmbiguous (history: RunHistory, runs: readonly PastRun[], ownExitCount: number): boolean {
  const [first = [], ...rest] = runs.map((run) => history.concurrentContents(run))
  const everywhere = first.filter((other) => rest.every((concurrent) => concurrent.includes(other)))
  return everywhere.some((other) => exitCount(history, other) === ownExitCount)
}

/** Number of successive upstream exits at which a request ran. */
function exitCount (history: RunHistory, content: string): number {
  return sequentialRuns(sinceLastFinished(history.runsOf(content))).length
}

function sinceLastFinished (runs: readonly PastRun[]): PastRun[] {
  const finishedAt = runs.findLastIndex(({ end }) => end === RunEnd.Finished)
  return runs.slice(finishedAt + 1)
}
