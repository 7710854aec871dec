/** Used until the first answer ends. Longer than most answers are, so that memory is not overcommitted. */
const INITIAL_SHARE = 0.6
/** Weight of one answer: the average covers about 40 answers. */
const EWMA_WEIGHT = 0.025
/** Lower bound of the share: the answers that end during a burst are mostly short ones. */
const MIN_SHARE = 0.2

/** Estimates the length of answers as a share of their maximum length. */
export class AnswerLengthEstimator {
  #share = INITIAL_SHARE

  /** EWMA of answer length divided by maximum length over recent answers. */
  get typicalShare (): number {
    return Math.max(MIN_SHARE, this.#share)
  }

  observe (tokens: number, maxTokens: number): void {
    this.#share += EWMA_WEIGHT * (Math.min(1, tokens / maxTokens) - this.#share)
  }
}
