import { type Clock, STOPPED } from '@reelspan/core.env'
import { AnswerBound, AnswerBoundExceeded, type RelayAnswer } from '@reelspan/upstream.client'

export interface DrainAnswerOptions {
  clock: Clock
  /** Called when the answer has more bytes than are read of it. */
  onExceeded?: (exceeded: AnswerBoundExceeded, readBytes: number) => void
}

/** More than the body of an error has. A new connection costs less than reading on. */
const MAX_DRAINED_BYTES = 65_536
const MAX_DRAIN_MS = 1000

/** Reads an unused answer to its end, so that its connection can be reused. Ends its exchange if it is too long or too slow. */
export async function drainAnswer ({ body, cancel }: Pick<RelayAnswer, 'body' | 'cancel'>, { clock, onExceeded }: DrainAnswerOptions): Promise<void> {
  const drained = new AbortController()
  void clock.sleep(MAX_DRAIN_MS, { signal: drained.signal }).then(() => {
    if (!drained.signal.aborted) cancel?.()
  })
  let readBytes = 0
  try {
    for await (const bytes of body) {
      readBytes += bytes.byteLength
      if (readBytes <= MAX_DRAINED_BYTES) continue
      onExceeded?.(new AnswerBoundExceeded(AnswerBound.Body, MAX_DRAINED_BYTES), readBytes)
      return
    }
  } catch {
    // The answer is not used, so a failure does not matter.
  } finally {
    drained.abort(STOPPED)
  }
}
