import { AccountLimiter, type LimitedCost } from './accountLimiter.js'
import { LimitBook, type LimitBookOptions } from './limitBook.js'

/** Each box has its part of each limit and asks nobody. */
export class EvenShareLimiter extends AccountLimiter {
  readonly #book: LimitBook

  constructor (opts: LimitBookOptions) {
    super()
    this.#book = new LimitBook(opts)
  }

  async take ({ account, cost }: LimitedCost): Promise<number> {
    return this.#book.take(account, cost)
  }

  giveBack ({ account, cost }: LimitedCost): void {
    this.#book.giveBack(account, cost)
  }
}
