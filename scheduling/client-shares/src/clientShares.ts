/** Time constant with which usage decays. */
const USAGE_DECAY_MS = 5000
/** A client may exceed its share by this factor before others go first: usage is uneven in the short run. */
const TOLERANCE = 1.5
/** Usage below this (engine time in ms) counts as none. */
const NEGLIGIBLE_USAGE_MS = 50
/** Interval at which the fair share is recomputed. */
const FAIR_SHARE_REFRESH_MS = 100

interface ClientUsage {
  usedMs: number
  weight: number
  atMs: number
}

/**
 * Weighted fair shares of client accounts, by the engine time that each has used
 * recently. Clients over their share are placed after all others, so that a client
 * that sends too much only gets the capacity that the others leave.
 */
export class ClientShares {
  readonly #usages = new Map<string, ClientUsage>()
  #fairMsPerWeight = 0
  #refreshedAtMs = Number.NEGATIVE_INFINITY

  /** Whether a client's recent usage exceeds its share. */
  isOverShare (client: string, nowMs: number): boolean {
    const use = this.#usages.get(client)
    if (!use) return false
    return decayedUsageMs(use, nowMs) / use.weight > TOLERANCE * this.#fairShareMs(nowMs) + NEGLIGIBLE_USAGE_MS
  }

  charge (client: string, costMs: number, weight: number, nowMs: number): void {
    const use = this.#usages.get(client)
    this.#usages.set(client, { usedMs: (use ? decayedUsageMs(use, nowMs) : 0) + costMs, weight, atMs: nowMs })
  }

  /** Usage per unit of weight if the total were split evenly over the active clients. */
  #fairShareMs (nowMs: number): number {
    if (nowMs - this.#refreshedAtMs < FAIR_SHARE_REFRESH_MS) return this.#fairMsPerWeight
    this.#refreshedAtMs = nowMs
    let totalMs = 0
    let totalWeight = 0
    this.#usages.forEach((use, client) => {
      const nowUsedMs = decayedUsageMs(use, nowMs)
      totalMs += nowUsedMs
      if (nowUsedMs >= NEGLIGIBLE_USAGE_MS) totalWeight += use.weight
      else if (nowMs - use.atMs > USAGE_DECAY_MS) this.#usages.delete(client)
    })
    this.#fairMsPerWeight = totalWeight > 0 ? totalMs / totalWeight : 0
    return this.#fairMsPerWeight
  }
}

function decayedUsageMs ({ usedMs: thenMs, atMs }: ClientUsage, nowMs: number): number {
  return thenMs * Math.exp((atMs - nowMs) / USAGE_DECAY_MS)
}
