import { type RelayAnswer } from '@reelspan/upstream.client'

/** Reads an unused answer to its end, so that its connection can be reused. */
export async function drainAnswer (answer: RelayAnswer): Promise<void> {
  try {
    for await (const bytes of answer.body) void bytes
  } catch {
    // The answer is not used, so a failure does not matter.
  }
}
