/** What a box needs to send an upstream one request, or how long it would have to wait for it. */
export class SendPermit {
  /** 0 when the request may be sent. */
  readonly waitMs: number
  readonly #onUnused?: () => void
  #over = false

  constructor (waitMs: number, onUnused?: () => void) {
    this.waitMs = waitMs
    this.#onUnused = onUnused
  }

  get granted (): boolean {
    return this.waitMs === 0
  }

  /** The upstream names a limit, so that another box may have been asked. */
  get limited (): boolean {
    return this.#onUnused !== undefined || this.waitMs > 0
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
