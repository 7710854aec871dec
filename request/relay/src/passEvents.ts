import { type RelayAnswer } from '@reelspan/upstream.client'
import { type EventProgress } from './eventProgress.js'
import { type AnswerTimes, recordPartTime } from './passAnswer.js'
import { type RelayContext } from './relayContext.js'
import { type IdleTimer } from './idleTimer.js'

export interface PassEventsOptions {
  progress: EventProgress
  /** Pass on whole events only, so that another upstream can go on behind the last of them. */
  wholeEvents: boolean
  /** Watches for the upstream's silence. */
  idleTimer: IdleTimer
  /** Called when the first event of this answer is there. */
  onFirst?: () => void
}

/**
 * Passes a stream of events on as they come. An answer that goes on with one
 * that broke off keeps that one's head. Throws `UpstreamError` when it breaks off.
 */
export async function passEvents (context: RelayContext, answer: RelayAnswer, times: AnswerTimes, opts: PassEventsOptions): Promise<void> {
  const { run, caller } = context
  const { progress, wholeEvents, idleTimer, onFirst } = opts
  let first = true
  if (!caller.begun) caller.begin(answer.status, answer.headers)
  times.status = answer.status
  try {
    for await (const bytes of answer.body) {
      idleTimer.reset()
      const complete = progress.push(bytes)
      if (complete.byteLength > 0) {
        recordPartTime(times, run.elapsedMs)
        if (first) onFirst?.()
        first = false
      }
      const passed = wholeEvents ? complete : bytes
      // A caller that is slow to read says nothing about the upstream.
      if (passed.byteLength > 0) await idleTimer.pauseDuring(caller.write(passed))
    }
  } catch (thrown) {
    // A part of an event belongs to the answer that broke off.
    progress.flush()
    throw thrown
  }
  run.throwIfEnded()
  const rest = progress.flush()
  if (wholeEvents && rest.byteLength > 0) await caller.write(rest)
  times.parts = progress.events
  caller.finish()
  run.finish()
}
