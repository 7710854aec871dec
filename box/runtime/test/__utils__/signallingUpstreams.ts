import { type FakeFleet } from '@reelspan/utils.fake-fleet'
import { type RelayedArrival } from '@reelspan/utils.fakes'

/** From so long after a box passed on a response that advertises draining, nothing reaches the upstream from that box. */
export const DRAIN_MS = 2000
/** Requests that cross a refusal on the way are not counted for this long. */
export const IN_FLIGHT_MS = 500
/** A request that cannot be served is refused within this time: some calls between boxes. */
export const REFUSAL_BOUND_MS = 100
/** What an upstream may get of a box in the rest of the time for which it asked for nothing. */
export const MAX_IN_BACKOFF = 2

/** When upstreams advertised something to boxes: first and every time, by upstream and address of the box. */
export class Advertisements {
  readonly #atMs = new Map<string, number[]>()

  record (upstream: string, box: string, nowMs: number): void {
    const key = `${upstream} ${box}`
    this.#atMs.set(key, [...this.#atMs.get(key) ?? [], nowMs])
  }

  all ({ upstream, from }: RelayedArrival): readonly number[] {
    return this.#atMs.get(`${upstream} ${from}`) ?? []
  }

  get count (): number {
    return [...this.#atMs.values()].reduce((sum, times) => sum + times.length, 0)
  }
}

/** Upstreams advertise in every response that they are draining, from now on. The fleet list goes on without it. */
export function drain ({ relayed, clock }: FakeFleet, upstreams: readonly string[]): Advertisements {
  const advertised = new Advertisements()
  relayed.signalsOf = (upstream, box) => {
    if (!upstreams.includes(upstream)) return {}
    advertised.record(upstream, box, clock.nowMs())
    return { draining: { draining: true, text: '1' } }
  }
  return advertised
}

/** What reached draining upstreams from boxes that had been told long enough before. */
export function arrivalsAfterDrain ({ relayed }: FakeFleet, advertised: Advertisements): RelayedArrival[] {
  return relayed.arrivals.filter((arrival) => advertised.all(arrival).some((atMs) => arrival.atMs > atMs + DRAIN_MS))
}

export interface BackoffOptions {
  durationMs: number
  /** Upstreams refuse until then; for good without it. */
  untilMs?: number
  /** Only these boxes are refused; all without it. */
  boxes?: readonly string[]
}

/** Upstreams refuse every request with 503 and ask the box for nothing more for a time. */
export function refuseWithBackoff ({ relayed, clock }: FakeFleet, upstreams: readonly string[], { durationMs, untilMs = Number.POSITIVE_INFINITY, boxes }: BackoffOptions): Advertisements {
  const advertised = new Advertisements()
  const refuses = (upstream: string, box: string) => upstreams.includes(upstream) && clock.nowMs() < untilMs && (boxes?.includes(box) ?? true)
  relayed.refusalStatusOf = (upstream, box) => refuses(upstream, box) ? 503 : undefined
  relayed.signalsOf = (upstream, box) => {
    if (!refuses(upstream, box)) return {}
    advertised.record(upstream, box, clock.nowMs())
    return { backoff: { durationMs, text: String(durationMs / 1000) } }
  }
  return advertised
}

/** The most that one of some upstreams got of a box in a time for which it had asked that box for nothing. */
export function mostInBackoff ({ relayed }: FakeFleet, advertised: Advertisements, { upstreams, durationMs }: { upstreams: readonly string[], durationMs: number }): number {
  const arrivals = relayed.arrivals.filter(({ upstream }) => upstreams.includes(upstream))
  const counts = arrivals.flatMap((first) => advertised.all(first).map((atMs) => arrivals.filter(({ upstream, from, atMs: arrivedAtMs }) =>
    upstream === first.upstream && from === first.from && arrivedAtMs > atMs + IN_FLIGHT_MS && arrivedAtMs < atMs + durationMs).length))
  return Math.max(0, ...counts)
}
