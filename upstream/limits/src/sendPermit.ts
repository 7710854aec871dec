/** Why a request may not be sent to an upstream now. */
export enum WaitReason {
  /** The boxes together have reached the rate limit of the upstream. */
  RateLimit = 'rateLimit',
  /** The upstream asked this box to back off. */
  Backoff = 'backoff',
}

/** Time to wait until a request may be sent to an upstream. */
export interface SendWait {
  reason: WaitReason
  durationMs: number
}

/** Permission to send one request to an upstream, or the time to wait for it. */
export class SendPermit {
  /** Undefined when the request may be sent. */
  readonly wait?: SendWait
  readonly #onUnused?: () => void
  #settled = false

  constructor ({ wait, onUnused }: { wait?: SendWait, onUnused?: () => void } = {}) {
    this.wait = wait
    this.#onUnused = onUnused
  }

  get granted (): boolean {
    return this.wait === undefined
  }

  /** The upstream advertises a limit, so another box may have been asked for the permit. */
  get limited (): boolean {
    return this.#onUnused !== undefined || this.wait?.reason === WaitReason.RateLimit
  }

  /** Called when the request is about to be sent. The permit is then used up. */
  recordSent (): void {
    this.#settled = true
  }

  /** Called when the request will not be sent to this upstream any more. A permit that was not used becomes available again. */
  release (): void {
    if (this.#settled) return
    this.#settled = true
    this.#onUnused?.()
  }
}
