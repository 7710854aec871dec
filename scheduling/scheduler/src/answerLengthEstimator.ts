/** Used until the first answer ends. Longer than most answers are, so that memory is not overcommitted. */
const INITIAL_SHARE = 0.6
/** Weight of one answer: the average covers about 40 answers. */
const EWMA_WEIGHT = 0.025
/** Lower bound of the share: the answers that end during a burst are mostly short ones. */
const MIN_SHARE = 0.2
/** Answers kept for the distribution: enough for its tails, and few seconds of a busy shard. */
const MAX_RECENT = 200
/** Fewer answers than this say little about the distribution. */
const MIN_RECENT = 8

/** Estimates the length of answers as a share of their maximum length. */
export class AnswerLengthEstimator {
  #share = INITIAL_SHARE
  #recent: number[] = []
  #sorted?: number[]

  /** EWMA of answer length divided by maximum length over recent answers. */
  get typicalShare (): number {
    return Math.max(MIN_SHARE, this.#share)
  }

  /** Whether enough answers have ended for `endShare`. */
  get isKnown (): boolean {
    return this.#recent.length >= MIN_RECENT
  }

  observe (tokens: number, maxTokens: number): void {
    const share = Math.min(1, tokens / maxTokens)
    this.#share += EWMA_WEIGHT * (share - this.#share)
    this.#recent = [...this.#recent, share].slice(-MAX_RECENT)
    this.#sorted = undefined
  }

  /**
   * A quantile of the lengths of recent answers that were longer than a share of their maximum, as a share as well;
   * undefined if none was longer.
   */
  endShare (longerThan: number, quantile: number): number | undefined {
    const sorted = this.#sorted ??= [...this.#recent].sort((a, b) => a - b)
    let low = 0
    let high = sorted.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (sorted[middle] > longerThan) high = middle
      else low = middle + 1
    }
    return sorted[low + Math.floor(quantile * (sorted.length - low))]
  }
}
