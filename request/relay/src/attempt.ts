import { STOPPED } from '@reelspan/core.env'
import { type RunContext } from '@reelspan/request.owner'
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

/** How an attempt was cancelled. */
export interface Cancellation {
  cause: CancelCause
  /** Name of the attempt that goes on. */
  by?: string
  /** For how long both were open. */
  bothOpenMs?: number
}

/** What an attempt needs of the run that it belongs to. */
type AttemptRun = Pick<RunContext, 'signal' | 'elapsedMs'>

/** One attempt to answer a request. Several may be open at once; which of them writes the answer is decided by their `AttemptRace`. */
export abstract class Attempt {
  readonly #cancelled = new AbortController()
  readonly #run: AttemptRun
  readonly #startedAtMs: number
  #cancellation?: Cancellation
  #sent = false
  /** Aborted when this attempt or the run ends. */
  readonly signal: AbortSignal

  constructor (run: AttemptRun) {
    this.#run = run
    this.#startedAtMs = run.elapsedMs
    this.signal = AbortSignal.any([run.signal, this.#cancelled.signal])
  }

  /** Whether the request was sent to an upstream that runs it. */
  get sent (): boolean {
    return this.#sent
  }

  get cancellation (): Cancellation | undefined {
    return this.#cancellation
  }

  get cancelCause (): CancelCause | undefined {
    return this.#cancellation?.cause
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

  /** @param by the attempt that goes on, if one does */
  cancel (cause: CancelCause, by?: Attempt): void {
    this.#cancellation ??= { cause, by: by?.name, bothOpenMs: by && Math.round(this.#run.elapsedMs - Math.max(this.#startedAtMs, by.#startedAtMs)) }
    this.#cancelled.abort(STOPPED)
  }

  throwIfCancelled (): void {
    if (this.cancelCause !== undefined) throw new UpstreamError(`the attempt was cancelled (${this.cancelCause})`, { mayHaveRun: this.#sent })
  }
}
