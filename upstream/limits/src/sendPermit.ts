/** Why an upstream may not be sent a request now. */
export enum WaitReason {
  /** It has got as many requests as it takes for now, from all boxes together. */
  RateLimit = 'rateLimit',
  /** It asked this box to wait. */
  Backoff = 'backoff',
}

/** A wait until an upstream may be sent a request. */
export interface SendWait {
  reason: WaitReason
  durationMs: number
}

/** What a box needs to send an upstream one request, or how long it would have to wait for it. */
export class SendPermit {
  /** Undefined when the request may be sent. */
  readonly wait?: SendWait
  readonly #onUnused?: () => void
  #over = false

  constructor ({ wait, onUnused }: { wait?: SendWait, onUnused?: () => void } = {}) {
    this.wait = wait
    this.#onUnused = onUnused
  }

  get granted (): boolean {
    return this.wait === undefined
  }

  /** The upstream names a limit, so that another box may have been asked. */
  get limited (): boolean {
    return this.#onUnused !== undefined || this.wait?.reason === WaitReason.RateLimit
  }

  /** The request is about to reach the upstream. */
  noteSent (): void {
    this.#over = true
  }

  /** The request does not go there any more. If it has not been sent, another one may. */
  release (): void {
    if (this.#over) return
    this.#over = true
    this.#onUnused?.()
  }
}
