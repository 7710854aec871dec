import { type RelayAnswer } from '@reelspan/upstream.client'
import { type RelayContext } from './relayContext.js'

/** When parts of an answer were passed on, since the request began. */
export interface AnswerTimes {
  /** The upstream's, once it was passed on. */
  status?: number
  firstMs?: number
  lastMs?: number
  longestPauseMs: number
  pausesMs: number[]
  parts: number
}

/** Passes an upstream's answer on as it comes. Throws `UpstreamError` when it breaks off. */
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

/** A part of the answer was passed on. */
export function recordPartTime (times: AnswerTimes, nowMs: number): void {
  times.firstMs ??= nowMs
  if (times.lastMs !== undefined) {
    const pauseMs = nowMs - times.lastMs
    times.longestPauseMs = Math.max(times.longestPauseMs, pauseMs)
    times.pausesMs.push(pauseMs)
  }
  times.lastMs = nowMs
}
