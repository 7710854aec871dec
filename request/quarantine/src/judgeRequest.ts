import { RunEnd } from '@reelspan/core.messages'
import { type RequestIdentity } from '@reelspan/request.identity'
import { type PastRun, type RunHistory } from './runHistory.js'

/**
 * Upstreams that a request may end, one after the other, before it is not run any more. The users
 * allow three. A bystander is not at as many ends: on a day of theirs two requests ended 20 engines
 * within 34 s and cut 35 other streams, each once (counted from the boxes' logs).
 */
export const MOST_ENDED = 3
/** As long as another request was at all the same ends, either may be the cause. The next run without the other tells. */
export const MOST_ENDED_IN_DOUBT = 5

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
  const ofCaller = judged(history, content, sinceFinished(history.of(content).filter((run) => run.caller === caller)))
  if (ofCaller.length > 0) return ofCaller
  const ofAll = sinceFinished(history.of(content))
  return new Set(ofAll.map((run) => run.caller)).size > 1 ? judged(history, content, ofAll) : []
}

function judged (history: RunHistory, content: string, ended: readonly PastRun[]): readonly PastRun[] {
  const rank = successive(ended).length
  if (rank < MOST_ENDED) return []
  const own = successive(ended.filter((run) => !history.beside(run).some((other) => rankOf(history, other) > rank)))
  return own.length >= (isInDoubt(history, own, rank) ? MOST_ENDED_IN_DOUBT : MOST_ENDED) ? own : []
}

/** Whether another request of the same rank was at all of these ends. */
function isInDoubt (history: RunHistory, runs: readonly PastRun[], rank: number): boolean {
  const [first = [], ...rest] = runs.map((run) => history.beside(run))
  const everywhere = first.filter((other) => rest.every((beside) => beside.includes(other)))
  return everywhere.some((other) => rankOf(history, other) === rank)
}

/** Ends, one after the other, that a request was at. */
function rankOf (history: RunHistory, content: string): number {
  return successive(sinceFinished(history.of(content))).length
}

function sinceFinished (runs: readonly PastRun[]): PastRun[] {
  const finishedAt = runs.findLastIndex(({ end }) => end === RunEnd.Finished)
  return runs.slice(finishedAt + 1)
}

/** The most runs of which each began after the one before had ended. */
function successive (runs: readonly PastRun[]): PastRun[] {
  return runs.reduce<PastRun[]>((chain, run) => run.beganAtMs >= (chain.at(-1)?.endedAtMs ?? Number.NEGATIVE_INFINITY) ? [...chain, run] : chain, [])
}
