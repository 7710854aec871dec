import { type FakeFleet } from '@reelspan/utils.fake-fleet'
import { type RelayedArrival } from '@reelspan/utils.fakes'

/** Time after a response that advertises draining until the box that got it must send nothing more to the upstream. */
export const DRAIN_MS = 2000
/** Requests that may already be in flight when a refusal arrives; they are not counted for this long. */
export const IN_FLIGHT_MS = 500
/** A request that cannot be served is refused within this time, which allows for a few calls between boxes. */
export const REFUSAL_BOUND_MS = 100
/** Maximum number of requests that an upstream may get from a box during the rest of the backoff. */
export const MAX_IN_BACKOFF = 2

/** All times at which upstreams advertised a signal to boxes, by upstream and address of the box. */
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

/** Makes upstreams advertise draining in every response from now on. The fleet list does not show it. */
export function drain ({ relayedUpstreams, clock }: FakeFleet, upstreams: readonly string[]): Advertisements {
  const advertised = new Advertisements()
  relayedUpstreams.signalsOf = (upstream, box) => {
    if (!upstreams.includes(upstream)) return {}
    advertised.record(upstream, box, clock.nowMs())
    return { draining: { draining: true, text: '1' } }
  }
  return advertised
}

/** Requests that reached draining upstreams from boxes that must already have known it. */
export function arrivalsAfterDrain ({ relayedUpstreams }: FakeFleet, advertised: Advertisements): RelayedArrival[] {
  return relayedUpstreams.arrivals.filter((arrival) => advertised.all(arrival).some((atMs) => arrival.atMs > atMs + DRAIN_MS))
}

export interface BackoffOptions {
  durationMs: number
  /** Upstreams refuse until then; by default for the whole test. */
  untilMs?: number
  /** Boxes that are refused; by default all. */
  boxes?: readonly string[]
}

/** Makes upstreams refuse every request with 503 and a backoff. */
export function refuseWithBackoff ({ relayedUpstreams, clock }: FakeFleet, upstreams: readonly string[], { durationMs, untilMs = Number.POSITIVE_INFINITY, boxes }: BackoffOptions): Advertisements {
  const advertised = new Advertisements()
  const refuses = (upstream: string, box: string) => upstreams.includes(upstream) && clock.nowMs() < untilMs && (boxes?.includes(box) ?? true)
  relayedUpstreams.refusalStatusOf = (upstream, box) => refuses(upstream, box) ? 503 : undefined
  relayedUpstreams.signalsOf = (upstream, box) => {
    if (!refuses(upstream, box)) return {}
    advertised.record(upstream, box, clock.nowMs())
    return { backoff: { durationMs, text: String(durationMs / 1000) } }
  }
  return advertised
}

/** The most requests that any of the upstreams got from a box during a backoff that it had asked of that box. */
export function mostInBackoff ({ relayedUpstreams }: FakeFleet, advertised: Advertisements, { upstreams, durationMs }: { upstreams: readonly string[], durationMs: number }): number {
  const arrivals = relayedUpstreams.arrivals.filter(({ upstream }) => upstreams.includes(upstream))
  const counts = arrivals.flatMap((first) => advertised.all(first).map((atMs) => arrivals.filter(({ upstream, from, atMs: arrivedAtMs }) =>
    upstream === first.upstream && from === first.from && arrivedAtMs > atMs + IN_FLIGHT_MS && arrivedAtMs < atMs + durationMs).length))
  return Math.max(0, ...counts)
}
