/** Before any answer has ended: longer than most turn out, so that memory is not promised twice. */
const INITIAL_SHARE = 0.6
/** Weight of one answer: some forty are remembered. */
const EWMA_WEIGHT = 0.025
/** Answers that end during a burst are the short ones; the share is not believed below this. */
const MIN_SHARE = 0.2

/** Learns how much of their longest length answers usually reach. */
export class AnswerLengthEstimator {
  #share = INITIAL_SHARE

  /** Mean length over longest length of late answers. */
  get typicalShare (): number {
    return Math.max(MIN_SHARE, this.#share)
  }

  observe (tokens: number, maxTokens: number): void {
    this.#share += EWMA_WEIGHT * (Math.min(1, tokens / maxTokens) - this.#share)
  }
}
