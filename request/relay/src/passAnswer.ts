import { type RelayAnswer } from '@reelspan/upstream.client'
import { type RelayContext } from './relayContext.js'

/** When parts of an answer were passed on, since the request began. */
export interface AnswerTimes {
  firstMs?: number
  longestPauseMs: number
  pausesMs: number[]
  parts: number
}

/** Passes an upstream's answer on as it comes. Throws `UpstreamError` when it breaks off. */
export async function passAnswer ({ run, caller }: RelayContext, answer: RelayAnswer, times: AnswerTimes): Promise<void> {
  caller.begin(answer.status, answer.headers)
  let lastMs: number | undefined
  for await (const bytes of answer.body) {
    const nowMs = run.elapsedMs
    times.firstMs ??= nowMs
    if (lastMs !== undefined) notePause(times, nowMs - lastMs)
    times.parts++
    lastMs = nowMs
    await caller.write(bytes)
  }
  run.throwIfEnded()
  caller.finish()
  run.finish()
}

function notePause (times: AnswerTimes, pauseMs: number): void {
  times.longestPauseMs = Math.max(times.longestPauseMs, pauseMs)
  times.pausesMs.push(pauseMs)
}
