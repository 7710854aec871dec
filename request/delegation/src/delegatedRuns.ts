import { ErrorCode, ReelspanError, Verdict } from '@reelspan/core.error'
import { type DelegatedEvent, type DelegatedRequest, type DelegationTerms } from '@reelspan/core.messages'
import { DelegatedCaller } from './delegatedCaller.js'

/** Runs a request and answers its caller. */
export type DelegatedRunner = (request: DelegatedRequest, terms: DelegationTerms, caller: DelegatedCaller) => Promise<void>

export interface DelegatedRunsOptions {
  run: DelegatedRunner
  /** Why this box cannot run requests of others now, or undefined if it can. */
  unavailable: () => ReelspanError | undefined
  maxRuns: number
  /** What the bodies of all these requests may take. */
  maxBodyBytes: number
}

const FULL_RETRY_AFTER_MS = 500

/** The requests that this box runs for boxes that cannot reach any upstream. */
export class DelegatedRuns {
  readonly #opts: DelegatedRunsOptions
  readonly #callers = new Map<string, DelegatedCaller>()
  #bodyBytes = 0

  constructor (opts: DelegatedRunsOptions) {
    this.#opts = opts
  }

  get size (): number {
    return this.#callers.size
  }

  /** Runs a request and yields its answer. Throws before anything is sent if this box cannot run it. */
  async * run (request: DelegatedRequest, terms: DelegationTerms, signal: AbortSignal): AsyncGenerator<DelegatedEvent> {
    this.#checkAvailable(request)
    const caller = new DelegatedCaller()
    const disconnect = () => caller.disconnect()
    signal.addEventListener('abort', disconnect, { once: true })
    this.#callers.set(terms.runId, caller)
    this.#bodyBytes += request.body.byteLength
    // Requests that the relay rejects before they begin to run are thrown, all others are answered.
    const running = this.#opts.run(request, terms, caller).then(() => caller.events.end(), (thrown: unknown) => caller.events.fail(thrown))
    try {
      if (signal.aborted) disconnect()
      yield * caller.events
    } finally {
      disconnect()
      await running
      signal.removeEventListener('abort', disconnect)
      this.#callers.delete(terms.runId)
      this.#bodyBytes -= request.body.byteLength
    }
  }

  /** Called when the delegating box has passed on so many bytes of an answer. */
  recordRead (runId: string, totalBytes: number): void {
    this.#callers.get(runId)?.recordRead(totalBytes)
  }

  #checkAvailable ({ body }: DelegatedRequest): void {
    const { unavailable, maxRuns, maxBodyBytes } = this.#opts
    const reason = unavailable()
    if (reason) throw reason
    const isFull = this.#callers.size >= maxRuns || (this.#callers.size > 0 && this.#bodyBytes + body.byteLength > maxBodyBytes)
    if (isFull) throw new ReelspanError(ErrorCode.Overloaded, `this box already runs ${this.#callers.size} requests of other boxes`, { verdict: Verdict.NotRun, retryAfterMs: FULL_RETRY_AFTER_MS })
  }
}
