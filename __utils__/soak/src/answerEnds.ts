import { SeededRandom } from '@reelspan/utils.fakes'
import { type AnswerEnd } from '@reelspan/utils.platform-stand-ins'

/** Shares of the answers that have neither a length nor chunks, and of the streams that end too early as if they were complete. */
const ENDED_BY_CONNECTION_SHARE = 0.2
const BROKEN_OFF_SHARE = 0.02
/** About the size of the first events of a stream. */
const MAX_CUT_BYTES = 120
/** Draws of answers have a sequence of their own, so that the faults of a seed stay the same. */
const ANSWER_SEED = 57

/** Draws how upstreams end their answers. */
export class AnswerEnds {
  readonly #random = new SeededRandom(ANSWER_SEED)

  draw (): AnswerEnd {
    return {
      withConnection: this.#random.nextFloat() < ENDED_BY_CONNECTION_SHARE,
      cutAtBytes: this.#random.nextFloat() < BROKEN_OFF_SHARE ? 1 + Math.floor(this.#random.nextFloat() * MAX_CUT_BYTES) : undefined,
    }
  }
}
