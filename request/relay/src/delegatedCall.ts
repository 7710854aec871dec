import { Attempt } from './attempt.js'
import { DelegatedRelay } from './delegatedRelay.js'
import { type AnswerTimes } from './passAnswer.js'
import { type ServiceState } from './serviceState.js'

/** Has a call to a service run by another box. */
export class DelegatedCall extends Attempt {
  readonly #state: ServiceState
  readonly #times: AnswerTimes

  constructor (state: ServiceState, times: AnswerTimes) {
    super(state.context.run)
    this.#state = state
    this.#times = times
  }

  get name (): string {
    return 'delegate'
  }

  /** The delegates have retried it. */
  get retryable (): boolean {
    return false
  }

  async run (): Promise<void> {
    const { context, race, sent } = this.#state
    await new DelegatedRelay(context, {
      attemptsUsed: sent,
      signal: this.signal,
      onSent: () => {
        this.#state.sent++
        // The delegate has sent it, even if this attempt was cancelled in the meantime.
        this.recordSent()
        race.recordSent(this)
      },
      claim: () => this.#state.claim(this),
      hasOther: () => race.othersOf(this).length > 0,
    }).execute(this.#times)
  }
}
