import { RunEnd } from '@reelspan/core.messages'
import { type RequestIdentity } from '@reelspan/request.identity'
import { type PastRun, type RunHistory } from './runHistory.js'

/**
 * Upstreams that a request may end, one after the other, before it is not run any more. The users
 * allow three. A bystander is not at as many ends: on a day of theirs two requests ended 20 engines
 * within 34 s and cut 35 other streams, each once (counted from the boxes' logs).
 */
export const MAX_UPSTREAM_EXITS = 3
/** As long as another request was at all the same ends, either may be the cause. The next run without the other tells. */
export const MAX_UPSTREAM_EXITS_IF_AMBIGUOUS = 5

/**
 * The runs because of which a request is not run any more, or none.
 *
 * - Runs count that ended with their upstream since the request last came to its end.
 * - Each must have begun after the one before had ended: where a zone loses power, all
 *   upstreams that run copies of one request end, and it is not the cause.
 * - An end is not laid to a request while another one was there that was at more ends.
 *
 * Runs of one caller are judged by themselves, since what makes upstreams end may lie in what
 * only that caller sends. Where copies of several callers end them, the content is judged.
 */
export function judgeRequest (history: RunHistory, { content, caller }: RequestIdentity): readonly PastRun[] {
  const ofCaller = attributedExits(history, content, sinceLastFinished(history.runsOf(content).filter((run) => run.caller === caller)))
  if (ofCaller.length > 0) return ofCaller
  const ofAll = sinceLastFinished(history.runsOf(content))
  return new Set(ofAll.map((run) => run.caller)).size > 1 ? attributedExits(history, content, ofAll) : []
}

function attributedExits (history: RunHistory, content: string, exits: readonly PastRun[]): readonly PastRun[] {
  const ownExitCount = sequentialRuns(exits).length
  if (ownExitCount < MAX_UPSTREAM_EXITS) return []
  const attributed = sequentialRuns(exits.filter((run) => !history.concurrentContents(run).some((other) => exitCount(history, other) > ownExitCount)))
  return attributed.length >= (isAmbiguous(history, attributed, ownExitCount) ? MAX_UPSTREAM_EXITS_IF_AMBIGUOUS : MAX_UPSTREAM_EXITS) ? attributed : []
}

/** Whether another request of the same rank was at all of these ends. */
function isAmbiguous (history: RunHistory, runs: readonly PastRun[], ownExitCount: number): boolean {
  const [first = [], ...rest] = runs.map((run) => history.concurrentContents(run))
  const everywhere = first.filter((other) => rest.every((concurrent) => concurrent.includes(other)))
  return everywhere.some((other) => exitCount(history, other) === ownExitCount)
}

/** Ends, one after the other, that a request was at. */
function exitCount (history: RunHistory, content: string): number {
  return sequentialRuns(sinceLastFinished(history.runsOf(content))).length
}

function sinceLastFinished (runs: readonly PastRun[]): PastRun[] {
  const finishedAt = runs.findLastIndex(({ end }) => end === RunEnd.Finished)
  return runs.slice(finishedAt + 1)
}

/** The most runs of which each began after the one before had ended. */
function sequentialRuns (runs: readonly PastRun[]): PastRun[] {
  return runs.reduce<PastRun[]>((chain, run) => run.beganAtMs >= (chain.at(-1)?.endedAtMs ?? Number.NEGATIVE_INFINITY) ? [...chain, run] : chain, [])
}
