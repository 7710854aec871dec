import { AnswerBound, AnswerBoundExceeded, type RelayAnswer } from '@reelspan/upstream.client'
import { boundError } from './boundError.js'
import { type EventProgress } from './eventProgress.js'
import { isEventStream } from './isEventStream.js'
import { type AnswerTimes, recordPartTime } from './passAnswer.js'
import { type RelayContext } from './relayContext.js'
import { withinBudget } from './withinBudget.js'
import { type WatchedExchange } from './watchedExchange.js'

const FIRST_ERROR = 400
/** Far more than an engine has to say about a failure. */
const MAX_FAILURE_BYTES = 1_048_576

export interface PassEventsOptions {
  progress: EventProgress
  /** Pass on complete events only, so that another upstream can continue behind the last of them. */
  completeEventsOnly: boolean
  watched: WatchedExchange
  /** Called before a part of this answer is passed on. Throws if another attempt has gone on with the answer. */
  claim: () => void
  /** Whether no other attempt may write the next part of the answer. */
  isAlone: () => boolean
  /** Called when the first event of this answer is complete, before it is passed on. */
  onFirst?: () => void
  /** Called whenever further events of this answer are complete, before they are passed on. */
  onEvents?: () => void
}

/**
 * Streams events to the caller. An answer that continues an interrupted one keeps the
 * status and headers of the first. Throws `UpstreamError` if it is interrupted.
 */
export async function passEvents (context: RelayContext, answer: RelayAnswer, times: AnswerTimes, opts: PassEventsOptions): Promise<void> {
  const { run, caller } = context
  const { progress, completeEventsOnly, watched, claim, isAlone, onFirst, onEvents } = opts
  const bounded = isEventStream(answer)
  let first = true
  let readBytes = 0
  if (!caller.begun) {
    claim()
    caller.begin(answer.status, answer.headers)
  }
  times.status = answer.status
  try {
    for await (const bytes of answer.body) {
      readBytes += bytes.byteLength
      if (answer.status >= FIRST_ERROR && readBytes > MAX_FAILURE_BYTES) throw new AnswerBoundExceeded(AnswerBound.Body, MAX_FAILURE_BYTES)
      const { events } = progress
      const complete = withinBudget(caller, progress, progress.push(bytes, { bounded }), { isEventStream: bounded, isAlone })
      if (!bounded || progress.isSignOfLife) watched.recordReceived()
      const hasEvents = bounded ? progress.events > events || progress.oversized : complete.byteLength > 0
      if (hasEvents) {
        claim()
        recordPartTime(times, run.elapsedMs)
        if (first) onFirst?.()
        onEvents?.()
        first = false
      }
      // Comments do not decide which of two attempts goes on.
      if (completeEventsOnly && !hasEvents && !isAlone()) continue
      const passed = completeEventsOnly ? complete : bytes
      // Time that a slow caller takes to read does not count as idle time of the upstream.
      if (passed.byteLength > 0) await watched.pauseDuring(caller.write(passed))
    }
  } catch (thrown) {
    // A partial event of the interrupted answer is dropped, since the next answer repeats it.
    times.restBytes = progress.flush().byteLength
    caller.buffer?.hold(0)
    throw boundError(context, watched.upstream, readBytes, thrown)
  }
  run.throwIfEnded()
  claim()
  const rest = progress.flush()
  times.restBytes = rest.byteLength
  caller.buffer?.hold(0)
  if (completeEventsOnly && rest.byteLength > 0) await watched.pauseDuring(caller.write(rest))
  times.parts = progress.events
  caller.finish()
  run.finish()
}
