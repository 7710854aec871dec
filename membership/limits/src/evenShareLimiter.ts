import { LimitBook, type LimitBookOptions } from './limitBook.js'
import { type LimitedCost, SharedLimiter } from './sharedLimiter.js'

/** Each box has its part of each limit and asks nobody. */
export class EvenShareLimiter extends SharedLimiter {
  readonly #book: LimitBook

  constructor (opts: LimitBookOptions) {
    super()
    this.#book = new LimitBook(opts)
  }

  async take ({ name, cost }: LimitedCost): Promise<number> {
    return this.#book.take(name, cost)
  }

  giveBack ({ name, cost }: LimitedCost): void {
    this.#book.giveBack(name, cost)
  }

  /** The next cost is taken as if it were the first. */
  forget (name: string): void {
    this.#book.forget(name)
  }
}
