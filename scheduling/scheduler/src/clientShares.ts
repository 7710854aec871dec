/** Use is forgotten with this time constant. */
const MEMORY_MS = 5000
/** A client may use this much more than its share before it lets others go first: shares are uneven in the short run. */
const TOLERANCE = 1.5
/** Use below this (engine time in ms) counts as none. */
const LITTLE_USE_MS = 50
/** The fair share is worked out again this often. */
const RECOUNT_MS = 100

interface ClientUse {
  usedMs: number
  weight: number
  atMs: number
}

/**
 * Weighted shares of client accounts, by the engine time that each has used of
 * late. A client over its share goes behind all others that wait, so that one
 * that floods takes what is left over and no more.
 */
export class ClientShares {
  readonly #uses = new Map<string, ClientUse>()
  #fairMsPerWeight = 0
  #countedAtMs = Number.NEGATIVE_INFINITY

  /** Whether a client has used more than its share. */
  isAhead (client: string, nowMs: number): boolean {
    const use = this.#uses.get(client)
    if (!use) return false
    return usedMs(use, nowMs) / use.weight > TOLERANCE * this.#fairShareMs(nowMs) + LITTLE_USE_MS
  }

  charge (client: string, costMs: number, weight: number, nowMs: number): void {
    const use = this.#uses.get(client)
    this.#uses.set(client, { usedMs: (use ? usedMs(use, nowMs) : 0) + costMs, weight, atMs: nowMs })
  }

  /** What each unit of weight would have used if all clients that use anything had used alike. */
  #fairShareMs (nowMs: number): number {
    if (nowMs - this.#countedAtMs < RECOUNT_MS) return this.#fairMsPerWeight
    this.#countedAtMs = nowMs
    let totalMs = 0
    let totalWeight = 0
    this.#uses.forEach((use, client) => {
      const nowUsedMs = usedMs(use, nowMs)
      totalMs += nowUsedMs
      if (nowUsedMs >= LITTLE_USE_MS) totalWeight += use.weight
      else if (nowMs - use.atMs > MEMORY_MS) this.#uses.delete(client)
    })
    this.#fairMsPerWeight = totalWeight > 0 ? totalMs / totalWeight : 0
    return this.#fairMsPerWeight
  }
}

function usedMs ({ usedMs: thenMs, atMs }: ClientUse, nowMs: number): number {
  return thenMs * Math.exp((atMs - nowMs) / MEMORY_MS)
}
