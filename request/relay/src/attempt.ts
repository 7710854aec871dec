import { STOPPED } from '@reelspan/core.env'
import { UpstreamError } from '@reelspan/upstream.client'

/** Why an attempt was cancelled while another one of its request goes on. */
export enum CancelCause {
  /** The other attempt has written the next part of the answer, or has sent the request first. */
  Superseded = 'superseded',
  /** It was started beside a silent attempt, and its own prefill is silent too. */
  SilentToo = 'silentToo',
  /** The request has ended. */
  Ended = 'ended',
}

/** One attempt to answer a request. Several may be open at once; which of them writes the answer is decided by their `AttemptRace`. */
export abstract class Attempt {
  readonly #cancelled = new AbortController()
  #cancelCause?: CancelCause
  #sent = false
  /** Aborted when this attempt or the run ends. */
  readonly signal: AbortSignal

  constructor (runSignal: AbortSignal) {
    this.signal = AbortSignal.any([runSignal, this.#cancelled.signal])
  }

  /** Whether the request was sent to an upstream that runs it. */
  get sent (): boolean {
    return this.#sent
  }

  get cancelCause (): CancelCause | undefined {
    return this.#cancelCause
  }

  /** Names what runs the attempt, for logs. */
  abstract get name (): string

  /** Whether the request may be retried when this attempt fails. */
  abstract get retryable (): boolean

  /** Runs the attempt. Resolves when the whole answer was passed on. */
  abstract run (): Promise<void>

  recordSent (): void {
    this.#sent = true
  }

  cancel (cause: CancelCause): void {
    this.#cancelCause ??= cause
    this.#cancelled.abort(STOPPED)
  }

  throwIfCancelled (): void {
    if (this.#cancelCause !== undefined) throw new UpstreamError(`the attempt was cancelled (${this.#cancelCause})`, { mayHaveRun: this.#sent })
  }
}
