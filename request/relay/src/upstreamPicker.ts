import { type ListedUpstream } from '@reelspan/config.fleet'
import { type Clock, type Random } from '@reelspan/core.env'
import { type UpstreamHealth } from '@reelspan/upstream.health'
import { CallLatencies } from './callLatencies.js'

export interface UpstreamPickerOptions {
  clock: Clock
  random: Random
  health: UpstreamHealth
  /** Whether other boxes agree that an upstream fails. */
  isFailing: (upstream: string) => boolean
  /** Where this box is. */
  availabilityZone: () => string
}

/**
 * An upstream in another availability zone is taken for this much slower: more than the way (some 3 ms
 * on calls of 60), so that the noise of the few calls that one box sees does not send calls between zones.
 */
const REMOTE_ZONE_FACTOR = 1.25
/** An upstream works on some calls at once: one more of this box's makes it slower by about a fifth. Where each counted in full, 45 in 100 calls left their zone. */
const UPSTREAM_CONCURRENCY = 5

/** Picks upstreams of service pools by how long calls take there, and by what this box has in flight. */
export class UpstreamPicker {
  readonly #opts: UpstreamPickerOptions
  readonly #inFlight = new Map<string, number>()
  readonly #latencies = new CallLatencies()

  constructor (opts: UpstreamPickerOptions) {
    this.#opts = opts
  }

  /** The one where a call is expected to end first; suspects and those that failed the request only when there is no other. */
  pick (listed: readonly ListedUpstream[], tried: ReadonlySet<string>): ListedUpstream | undefined {
    const { health, isFailing, random } = this.#opts
    const untried = listed.filter(({ name }) => !tried.has(name))
    const healthy = untried.filter(({ name }) => !health.isSuspect(name) && !isFailing(name))
    const candidates = healthy.length > 0 ? healthy : untried
    const costs = candidates.map((candidate) => this.#expectedMs(candidate))
    const least = Math.min(...costs)
    const [picked] = random.sample(candidates.filter((_, i) => costs[i] === least), 1)
    return picked
  }

  /** A call took this long there, or it was turned away and lost this much. */
  recordLatency (upstream: string, durationMs: number): void {
    this.#latencies.record(upstream, durationMs, this.#opts.clock.nowMs())
  }

  #expectedMs ({ name, availabilityZone }: ListedUpstream): number {
    const zoneFactor = availabilityZone === this.#opts.availabilityZone() ? 1 : REMOTE_ZONE_FACTOR
    return (1 + this.inFlightAt(name) / UPSTREAM_CONCURRENCY) * this.#latencies.expectedMs(name, this.#opts.clock.nowMs()) * zoneFactor
  }

  /** Forgets upstreams that are gone. */
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
