import { type RelayAnswer } from '@reelspan/upstream.client'
import { type EventProgress } from './eventProgress.js'
import { type AnswerTimes, noteTime } from './passAnswer.js'
import { type RelayContext } from './relayContext.js'
import { type SilenceWatch } from './silenceWatch.js'

export interface PassEventsOptions {
  progress: EventProgress
  /** Pass on whole events only, so that another upstream can go on behind the last of them. */
  wholeEvents: boolean
  /** Watches for the upstream's silence. */
  watch: SilenceWatch
  /** Called when the first event of this answer is there. */
  onFirst?: () => void
}

/**
 * Passes a stream of events on as they come. An answer that goes on with one
 * that broke off keeps that one's head. Throws `UpstreamError` when it breaks off.
 */
export async function passEvents (context: RelayContext, answer: RelayAnswer, times: AnswerTimes, opts: PassEventsOptions): Promise<void> {
  const { run, caller } = context
  const { progress, wholeEvents, watch, onFirst } = opts
  let first = true
  if (!caller.begun) caller.begin(answer.status, answer.headers)
  times.status = answer.status
  try {
    for await (const bytes of answer.body) {
      watch.heard()
      const complete = progress.take(bytes)
      if (complete.byteLength > 0) {
        noteTime(times, run.elapsedMs)
        if (first) onFirst?.()
        first = false
      }
      const passed = wholeEvents ? complete : bytes
      // A caller that is slow to read says nothing about the upstream.
      if (passed.byteLength > 0) await watch.pauseFor(caller.write(passed))
    }
  } catch (thrown) {
    // A part of an event belongs to the answer that broke off.
    progress.takeRest()
    throw thrown
  }
  run.throwIfEnded()
  const rest = progress.takeRest()
  if (wholeEvents && rest.byteLength > 0) await caller.write(rest)
  times.parts = progress.events
  caller.finish()
  run.finish()
}
