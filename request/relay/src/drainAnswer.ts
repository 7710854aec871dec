import { type RelayAnswer } from '@reelspan/upstream.client'

/** Reads an answer that is not passed on to its end, so that its connection can be used again. */
export async function drainAnswer (answer: RelayAnswer): Promise<void> {
  try {
    for await (const bytes of answer.body) void bytes
  } catch {
    // It was of no use, whole or not.
  }
}
