/** What a client may be ahead of the one furthest behind before it waits, in cost units (ms of engine time). */
const FAIR_WINDOW_MS = 400
/** Accounts beyond this many are dropped, those furthest behind first: they owe nothing. */
const MAX_CLIENTS = 2000

/** Weighted shares of client accounts: each client's used engine time, divided by its weight. */
export class ClientShares {
  readonly #usedMs = new Map<string, number>()
  #floorMs = 0

  /** A client that was idle does not save its share up: it starts level with the others. */
  usedMs (client: string): number {
    return Math.max(this.#floorMs, this.#usedMs.get(client) ?? 0)
  }

  /** Whether a client is so far ahead of the waiting ones that it lets them go first. */
  isAhead (client: string, leastUsedMs: number): boolean {
    return this.usedMs(client) > leastUsedMs + FAIR_WINDOW_MS
  }

  charge (client: string, costMs: number, weight: number): void {
    this.#usedMs.set(client, this.usedMs(client) + costMs / weight)
  }

  /** No waiting client has used less than this. */
  raiseFloor (leastUsedMs: number): void {
    this.#floorMs = Math.max(this.#floorMs, leastUsedMs)
    if (this.#usedMs.size <= MAX_CLIENTS) return
    this.#usedMs.forEach((usedMs, client) => {
      if (usedMs <= this.#floorMs) this.#usedMs.delete(client)
    })
  }
}
