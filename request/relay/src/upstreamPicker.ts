import { type ListedUpstream } from '@reelspan/config.fleet'
import { type Clock, type Random } from '@reelspan/core.env'
import { type UpstreamHealth } from '@reelspan/upstream.health'
import { CallLatencies } from './callLatencies.js'

export interface UpstreamPickerOptions {
  clock: Clock
  random: Random
  health: UpstreamHealth
  /** Whether several boxes report that an upstream fails. */
  isFailing: (upstream: string) => boolean
  /** Availability zone of this box. */
  availabilityZone: () => string
}

/**
 * Factor on the expected latency in other availability zones. It exceeds the round trip (some 3 ms on
 * calls of 60 ms), so that noise in one box's few samples does not move calls between zones.
 */
const REMOTE_ZONE_FACTOR = 1.25
/** An upstream runs several calls concurrently, so each call in flight adds about a fifth to the expected latency. Counting each in full moves 45 of 100 calls to another zone. */
const UPSTREAM_CONCURRENCY = 5

/** Picks upstreams of service pools by their recent latency and the calls that this box has in flight there. */
export class UpstreamPicker {
  readonly #opts: UpstreamPickerOptions
  readonly #inFlight = new Map<string, number>()
  readonly #latencies = new CallLatencies()

  constructor (opts: UpstreamPickerOptions) {
    this.#opts = opts
  }

  /** Picks the untried upstream with the lowest expected latency. Picks a suspect or failing one only if there is no other. */
  pick (listed: readonly ListedUpstream[], tried: ReadonlySet<string>): ListedUpstream | undefined {
    const { health, isFailing, random } = this.#opts
    const untried = listed.filter(({ name }) => !tried.has(name))
    const healthy = untried.filter(({ name }) => !health.isSuspect(name) && !isFailing(name))
    const candidates = healthy.length > 0 ? healthy : untried
    const expectedMs = candidates.map((candidate) => this.#expectedMs(candidate))
    const lowestMs = Math.min(...expectedMs)
    const [picked] = random.sample(candidates.filter((_, i) => expectedMs[i] === lowestMs), 1)
    return picked
  }

  /** Records how long a call took, or the equivalent cost of a refused one. */
  recordLatency (upstream: string, durationMs: number): void {
    this.#latencies.record(upstream, durationMs, this.#opts.clock.nowMs())
  }

  #expectedMs ({ name, availabilityZone }: ListedUpstream): number {
    const zoneFactor = availabilityZone === this.#opts.availabilityZone() ? 1 : REMOTE_ZONE_FACTOR
    return (1 + this.inFlightAt(name) / UPSTREAM_CONCURRENCY) * this.#latencies.expectedMs(name, this.#opts.clock.nowMs()) * zoneFactor
  }

  /** Drops the latencies of all other upstreams. */
  retain (names: ReadonlySet<string>): void {
    this.#latencies.retain(names)
  }

  inFlightAt (upstream: string): number {
    return this.#inFlight.get(upstream) ?? 0
  }

  recordStart (upstream: string): void {
    this.#inFlight.set(upstream, this.inFlightAt(upstream) + 1)
  }

  recordEnd (upstream: string): void {
    const remaining = this.inFlightAt(upstream) - 1
    if (remaining > 0) this.#inFlight.set(upstream, remaining)
    else this.#inFlight.delete(upstream)
  }
}
