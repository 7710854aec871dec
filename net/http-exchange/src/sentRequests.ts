import { type RequestIdentity } from './exchange.js'

/** Bounds the memory of a connection. A connection that reaches it is replaced. */
const MAX_SENT_REQUESTS = 256

/** The requests that were sent on a connection and may be sent again, each until its end. */
export class SentRequests {
  readonly #endsAtMs = new Map<string, number>()

  has (id: string, nowMs: number): boolean {
    return (this.#endsAtMs.get(id) ?? Number.NEGATIVE_INFINITY) > nowMs
  }

  add ({ id, endsAtMs }: RequestIdentity): void {
    this.#endsAtMs.set(id, endsAtMs)
  }

  removeEnded (nowMs: number): void {
    this.#endsAtMs.forEach((endsAtMs, id) => {
      if (endsAtMs <= nowMs) this.#endsAtMs.delete(id)
    })
  }

  /** Whether no other request can be remembered. */
  get isFull (): boolean {
    return this.#endsAtMs.size >= MAX_SENT_REQUESTS
  }
}
