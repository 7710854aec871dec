import { fairLevel } from './fairLevel.js'

export interface ClientSharesOptions {
  /** Time constant with which usage decays. */
  decayMs?: number
}

/** A few answers of 400 ms to 3 s each, so that an account that exceeded its share is served again within seconds. */
const DEFAULT_DECAY_MS = 2000
/** A client with less than this, relative to the total, neither uses nor requests anything: decayed amounts never become 0. */
const NEGLIGIBLE = 1e-3
/** Clients without requests are removed after this many times the decay: less than a hundredth of their usage is left. */
const PRUNE_AFTER_DECAYS = 5

/** A client with a request that waits, and what the request will cost. */
export interface WaitingDemand {
  client: string
  cost: number
  weight: number
}

interface ClientUsage {
  weight: number
  /** Cost of running requests. It does not decay. */
  held: number
  /** Cost of ended requests and of those charged without being held, at `atMs`. */
  spent: number
  /** Cost of requests that were refused, at `atMs`. */
  refused: number
  /** Cost of requests that wait. */
  waiting: number
  atMs: number
}

/** Usage and demand of a client at one time. */
interface ClientLoad {
  weight: number
  used: number
  demand: number
}

/** The level up to which clients are served, per unit of weight, and what it was computed from. */
interface Level {
  perWeight: number
  total: number
  demand: number
  /** Demand of the clients that request no more than their shares. */
  demandWithinShares: number
}

/**
 * Weighted max-min fair shares of client accounts. Costs are in units of a resource
 * times milliseconds. A client is over its share if it used more of the recent total
 * than its share, where clients that request less than theirs leave the rest to the
 * others. So nobody is over its share while all get what they request.
 *
 * Where demand is not recorded (`setWaiting`, `recordRefusal`), all clients with recent
 * usage are assumed to request more than their share.
 */
export class ClientShares {
  /** Time constant with which usage decays. */
  readonly decayMs: number
  readonly #clients = new Map<string, ClientUsage>()
  #capacity = 0
  #recordsDemand = false
  #level?: Level & { atMs: number }
  #prunedAtMs = 0

  constructor ({ decayMs = DEFAULT_DECAY_MS }: ClientSharesOptions = {}) {
    this.decayMs = decayMs
  }

  /**
   * The cost of holding a part of a resource for some time, in the same decaying terms as
   * other usage: a client that constantly holds a part reaches the cost for an infinite time.
   */
  costOfHolding (part: number, durationMs: number): number {
    return part * this.decayMs * (1 - Math.exp(-durationMs / this.decayMs))
  }

  /**
   * Whether a client's recent usage exceeds its share.
   *
   * @param ahead cost of requests of the client that go first
   */
  isOverShare (client: string, nowMs: number, ahead = 0): boolean {
    return this.excessOf(client, nowMs, ahead) > 0
  }

  /** The cost by which a client's recent usage, and that of its requests that go first, exceeds its share; 0 if it does not. */
  excessOf (client: string, nowMs: number, ahead = 0): number {
    const usage = this.#clients.get(client)
    if (!usage) return 0
    const { perWeight, total } = this.#levelAt(nowMs)
    const excess = this.#loadAt(usage, nowMs).used + ahead - usage.weight * perWeight
    return excess > NEGLIGIBLE * total ? excess : 0
  }

  /** The part of the capacity that a client may use, from 0 to 1. */
  shareOf (client: string, nowMs: number): number {
    const { perWeight, total } = this.#levelAt(nowMs)
    const usage = this.#clients.get(client)
    return usage && total > 0 ? Math.min(1, usage.weight * perWeight / total) : 1
  }

  /** Whether a client requests more than its share, so that shares limit someone. */
  isContended (nowMs: number): boolean {
    return Number.isFinite(this.#levelAt(nowMs).perWeight)
  }

  /** Recent usage and demand of all clients. */
  totalDemand (nowMs: number): number {
    return this.#levelAt(nowMs).demand
  }

  /** Recent usage and demand of the clients that request no more than their shares. */
  demandWithinShares (nowMs: number): number {
    return this.#levelAt(nowMs).demandWithinShares
  }

  /** Recent usage and demand of a client. */
  demandOf (client: string, nowMs: number): number {
    const usage = this.#clients.get(client)
    return usage ? this.#loadAt(usage, nowMs).demand : 0
  }

  /** Charges a cost that decays from now on. */
  charge (client: string, cost: number, weight: number, nowMs: number): void {
    this.#update(client, weight, nowMs).spent += cost
  }

  /** Charges the expected cost of a request that starts. It counts in full until `end`. */
  start (client: string, cost: number, weight: number, nowMs: number): void {
    this.#update(client, weight, nowMs).held += cost
  }

  /** Replaces the expected cost of a request by the actual one, which decays from now on. */
  end (client: string, { expected, actual }: { expected: number, actual: number }, nowMs: number): void {
    const known = this.#clients.get(client)
    if (!known) return
    const usage = this.#update(client, known.weight, nowMs)
    usage.held = Math.max(0, usage.held - expected)
    usage.spent += actual
  }

  /** Records the demand of all requests that wait now, in place of what was recorded before. */
  setWaiting (waiting: readonly WaitingDemand[], nowMs: number): void {
    this.#recordsDemand = true
    this.#clients.forEach((usage) => { usage.waiting = 0 })
    waiting.forEach(({ client, cost, weight }) => { this.#update(client, weight, nowMs).waiting += cost })
    this.#level = undefined
  }

  /** Records the demand of a request that was refused. */
  recordRefusal ({ client, cost, weight }: WaitingDemand, nowMs: number): void {
    this.#recordsDemand = true
    this.#update(client, weight, nowMs).refused += cost
  }

  /** Sets the usage that clients together would reach in the long run with what they hold now. */
  setCapacity (capacity: number): void {
    this.#capacity = capacity
    this.#level = undefined
  }

  #update (client: string, weight: number, nowMs: number): ClientUsage {
    this.#level = undefined
    const usage = this.#clients.get(client) ?? { weight, held: 0, spent: 0, refused: 0, waiting: 0, atMs: nowMs }
    const kept = this.#keptSince(usage, nowMs)
    usage.spent *= kept
    usage.refused *= kept
    usage.atMs = nowMs
    usage.weight = weight
    this.#clients.set(client, usage)
    return usage
  }

  #levelAt (nowMs: number): Level {
    if (this.#level?.atMs === nowMs) return this.#level
    this.#prune(nowMs)
    const loads: ClientLoad[] = []
    let used = 0
    let demand = 0
    this.#clients.forEach((usage) => {
      const load = this.#loadAt(usage, nowMs)
      used += load.used
      demand += load.demand
      loads.push(load)
    })
    const total = Math.max(used, this.#capacity)
    const active = loads.filter((load) => load.demand > NEGLIGIBLE * total)
    const demanded = this.#recordsDemand ? active : active.map((load) => ({ ...load, demand: Number.POSITIVE_INFINITY }))
    // Shares limit nobody if there is enough for all, or only one client.
    const isEnough = active.length <= 1 || (this.#recordsDemand && demand <= (1 + NEGLIGIBLE) * total)
    const perWeight = isEnough ? Number.POSITIVE_INFINITY : fairLevel(demanded, total)
    const demandWithinShares = isEnough ? demand : loads.reduce((sum, load) => load.demand <= load.weight * perWeight ? sum + load.demand : sum, 0)
    this.#level = { perWeight, total, demand, demandWithinShares, atMs: nowMs }
    return this.#level
  }

  #loadAt (usage: ClientUsage, nowMs: number): ClientLoad {
    const kept = this.#keptSince(usage, nowMs)
    const used = usage.held + usage.spent * kept
    return { weight: usage.weight, used, demand: used + usage.waiting + usage.refused * kept }
  }

  #keptSince ({ atMs }: ClientUsage, nowMs: number): number {
    return Math.exp((atMs - nowMs) / this.decayMs)
  }

  #prune (nowMs: number): void {
    const pruneAfterMs = PRUNE_AFTER_DECAYS * this.decayMs
    if (nowMs - this.#prunedAtMs < pruneAfterMs) return
    this.#prunedAtMs = nowMs
    this.#clients.forEach(({ held, waiting, atMs }, client) => {
      if (held === 0 && waiting === 0 && nowMs - atMs > pruneAfterMs) this.#clients.delete(client)
    })
  }
}
