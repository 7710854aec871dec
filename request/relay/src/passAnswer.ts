import { type RelayAnswer } from '@reelspan/upstream.client'
import { type RelayContext } from './relayContext.js'

/** When parts of an answer were passed on, relative to the start of the request. */
export interface AnswerTimes {
  /** HTTP status of the upstream, once it was passed on. */
  status?: number
  firstMs?: number
  lastMs?: number
  longestPauseMs: number
  pausesMs: number[]
  parts: number
  /** Bytes behind the last complete event when a stream ended. */
  restBytes?: number
}

/** Streams an upstream's answer to the caller. Throws `UpstreamError` if it is interrupted. */
export async function passAnswer ({ run, caller }: RelayContext, answer: RelayAnswer, times: AnswerTimes): Promise<void> {
  caller.begin(answer.status, answer.headers)
  times.status = answer.status
  for await (const bytes of answer.body) {
    recordPartTime(times, run.elapsedMs)
    times.parts++
    await caller.write(bytes)
  }
  run.throwIfEnded()
  caller.finish()
  run.finish()
}

/** Records that a part of the answer was passed on. */
export function recordPartTime (times: AnswerTimes, nowMs: number): void {
  times.firstMs ??= nowMs
  if (times.lastMs !== undefined) {
    const pauseMs = nowMs - times.lastMs
    times.longestPauseMs = Math.max(times.longestPauseMs, pauseMs)
    times.pausesMs.push(pauseMs)
  }
  times.lastMs = nowMs
}
