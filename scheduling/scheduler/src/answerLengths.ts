/** Before any answer has ended: longer than most turn out, so that memory is not promised twice. */
const FIRST_SHARE = 0.6
/** Weight of one answer: some forty are remembered. */
const SMOOTHING = 0.025
/** Answers that end during a burst are the short ones; the share is not believed below this. */
const LEAST_SHARE = 0.2

/** Learns how much of their longest length answers usually reach. */
export class AnswerLengths {
  #share = FIRST_SHARE

  /** Mean length over longest length of late answers. */
  get usualShare (): number {
    return Math.max(LEAST_SHARE, this.#share)
  }

  learn (tokens: number, maxTokens: number): void {
    this.#share += SMOOTHING * (Math.min(1, tokens / maxTokens) - this.#share)
  }
}
