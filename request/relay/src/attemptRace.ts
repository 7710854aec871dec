import { Notifier } from '@reelspan/core.env'
import { type Attempt, CancelCause } from './attempt.js'

/** The failure of the last open attempt. */
export interface AttemptFailure {
  attempt: Attempt
  error: unknown
}

interface AttemptEnd extends Partial<AttemptFailure> {
  attempt: Attempt
  failed: boolean
}

/**
 * The open attempts at one request. An attempt that has sent the request ends only if it fails
 * by itself or another one has written the next part of the answer.
 */
export class AttemptRace {
  readonly #onFailedBeside: (failure: AttemptFailure) => void
  readonly #running = new Map<Attempt, Promise<AttemptEnd>>()
  readonly #joined = new Notifier()
  /** Attempts that go on only if no other one may. */
  readonly #waiting = new Set<Attempt>()
  /** Notified when an attempt ends or begins to wait. */
  readonly #changed = new Notifier()

  /** @param onFailedBeside called with an attempt that failed while another one is open */
  constructor (onFailedBeside: (failure: AttemptFailure) => void) {
    this.#onFailedBeside = onFailedBeside
  }

  /** Attempts that neither have ended nor were cancelled. */
  get open (): Attempt[] {
    return [...this.#running.keys()].filter(({ cancelCause }) => cancelCause === undefined)
  }

  othersOf (attempt: Attempt): Attempt[] {
    return this.open.filter((other) => other !== attempt)
  }

  /** Starts an attempt beside those that are open. */
  join (attempt: Attempt): void {
    this.#running.set(attempt, attempt.run().then(() => ({ attempt, failed: false }), (error: unknown) => ({ attempt, failed: true, error })))
    this.#joined.notify()
  }

  /** Runs an attempt and those that join it. Returns the failure of the last one, or nothing if the answer is whole. */
  async run (first: Attempt): Promise<AttemptFailure | undefined> {
    this.join(first)
    for (;;) {
      const end = await Promise.race([...this.#running.values(), this.#joined.wait()])
      if (!end) continue
      const { attempt, failed, error } = end
      this.#running.delete(attempt)
      this.#changed.notify()
      if (!failed) return undefined
      if (this.open.length === 0 && attempt.cancelCause === undefined) return { attempt, error }
      if (attempt.cancelCause === undefined) this.#onFailedBeside({ attempt, error })
    }
  }

  /** Resolves once all other open attempts wait for this as well and were begun later, or this one is cancelled. */
  async waitUntilAlone (attempt: Attempt): Promise<void> {
    this.#waiting.add(attempt)
    this.#changed.notify()
    const isNext = () => this.open[0] === attempt && this.open.every((other) => this.#waiting.has(other))
    while (!isNext() && !attempt.signal.aborted) await this.#changed.wait(attempt.signal)
  }

  /** Called right before an attempt sends the request to an upstream that runs it: those that have not done so are cancelled. */
  recordSent (attempt: Attempt): void {
    attempt.throwIfCancelled()
    attempt.recordSent()
    this.othersOf(attempt).filter(({ sent }) => !sent).forEach((other) => other.cancel(CancelCause.Superseded, attempt))
  }

  /** Called before an attempt passes on a part of the answer. Throws if another one has done so first. */
  claim (attempt: Attempt): void {
    attempt.throwIfCancelled()
    this.othersOf(attempt).forEach((other) => other.cancel(CancelCause.Superseded, attempt))
  }

  /** Cancels what is still open when the request has ended. */
  end (): void {
    this.open.forEach((attempt) => attempt.cancel(CancelCause.Ended))
  }
}
