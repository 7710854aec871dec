import { type RelayAnswer, UpstreamError } from '@reelspan/upstream.client'
import { EventProgress } from './eventProgress.js'
import { isEventStream } from './isEventStream.js'

const WHOLE_NUMBER = /^\d+$/
/** A first event beyond this size is not checked. */
const MAX_CHECKED_BYTES = 65_536

export interface CheckedStart {
  sender: string
  /** Id of the event behind which the answer should go on. */
  resumeAfter?: string
}

/**
 * Checks that a stream goes on behind an event: ids rise, so that one whose first id does not began anew, and would repeat
 * what its caller has. Its body then throws `UpstreamError` before that event is passed on.
 */
export function withCheckedStart (answer: RelayAnswer, { sender, resumeAfter }: CheckedStart): RelayAnswer {
  if (resumeAfter === undefined || !WHOLE_NUMBER.test(resumeAfter) || !isEventStream(answer)) return answer
  return { ...answer, body: checkStart(answer.body, sender, Number(resumeAfter)) }
}

async function * checkStart (body: AsyncIterable<Uint8Array>, sender: string, after: number): AsyncGenerator<Uint8Array> {
  const progress = new EventProgress()
  let checked = false
  for await (const bytes of body) {
    if (checked) {
      yield bytes
      continue
    }
    const complete = progress.push(bytes)
    const first = progress.firstId
    if (first !== undefined && WHOLE_NUMBER.test(first) && Number(first) <= after) throw new UpstreamError(`${sender} began the stream at event ${first} again, which should go on behind ${after}`, { mayHaveRun: true, failed: true })
    checked = progress.events > 0 || progress.incompleteBytes > MAX_CHECKED_BYTES
    const passed = checked ? Buffer.concat([complete, progress.flush()]) : complete
    if (passed.byteLength > 0) yield passed
  }
  const rest = progress.flush()
  if (rest.byteLength > 0) yield rest
}
