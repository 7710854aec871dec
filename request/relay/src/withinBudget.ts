import { type RelayCaller } from '@reelspan/request.caller'
import { type EventProgress } from './eventProgress.js'

/** What is kept of an answer that is not declared to be a stream of events, and most likely has none. */
const MAX_UNDECLARED_BYTES = 65_536

export interface WithinBudgetOptions {
  /** Whether the answer is known to be a stream of events. */
  isEventStream: boolean
  /** Whether no other attempt may write the next part of the answer. */
  isAlone: () => boolean
}

/**
 * Accounts for the incomplete event of a stream. If the box is short of memory for it and no other attempt may write the
 * next part of the answer, adds its bytes to those that are passed on.
 */
export function withinBudget ({ buffer }: RelayCaller, progress: EventProgress, complete: Uint8Array, { isEventStream, isAlone }: WithinBudgetOptions): Uint8Array {
  const { heldBytes } = progress
  const mayHold = buffer?.hold(heldBytes) ?? true
  const isKept = mayHold && (isEventStream || heldBytes <= MAX_UNDECLARED_BYTES)
  if (isKept || !isAlone()) return complete
  const incomplete = progress.releaseIncomplete()
  buffer?.hold(0)
  return complete.byteLength === 0 ? incomplete : Buffer.concat([complete, incomplete])
}
