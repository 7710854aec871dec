import { type ListedUpstream } from '@reelspan/config.fleet'
import { type Clock, type Random } from '@reelspan/core.env'
import { type UpstreamHealth } from '@reelspan/upstream.health'
import { CallTimes } from './callTimes.js'

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
const FAR_FACTOR = 1.25
/** An upstream works on some calls at once: one more of this box's makes it slower by about a fifth. Where each counted in full, 45 in 100 calls left their zone. */
const CALLS_AT_ONCE = 5

/** Picks upstreams of service pools by how long calls take there, and by what this box has in flight. */
export class UpstreamPicker {
  readonly #opts: UpstreamPickerOptions
  readonly #inFlight = new Map<string, number>()
  readonly #times = new CallTimes()

  constructor (opts: UpstreamPickerOptions) {
    this.#opts = opts
  }

  /** The one where a call is expected to end first; suspects and those that failed the request only when there is no other. */
  pick (listed: readonly ListedUpstream[], tried: ReadonlySet<string>): ListedUpstream | undefined {
    const { health, isFailing, random } = this.#opts
    const untried = listed.filter(({ name }) => !tried.has(name))
    const trusted = untried.filter(({ name }) => !health.isSuspect(name) && !isFailing(name))
    const candidates = trusted.length > 0 ? trusted : untried
    const costs = candidates.map((candidate) => this.#expectedMs(candidate))
    const least = Math.min(...costs)
    const [picked] = random.sample(candidates.filter((_, i) => costs[i] === least), 1)
    return picked
  }

  /** A call took this long there, or it was turned away and lost this much. */
  noteTime (upstream: string, durationMs: number): void {
    this.#times.note(upstream, durationMs, this.#opts.clock.nowMs())
  }

  #expectedMs ({ name, availabilityZone }: ListedUpstream): number {
    const far = availabilityZone === this.#opts.availabilityZone() ? 1 : FAR_FACTOR
    return (1 + this.inFlightAt(name) / CALLS_AT_ONCE) * this.#times.expectedMs(name, this.#opts.clock.nowMs()) * far
  }

  /** Forgets upstreams that are gone. */
  retain (names: ReadonlySet<string>): void {
    this.#times.retain(names)
  }

  inFlightAt (upstream: string): number {
    return this.#inFlight.get(upstream) ?? 0
  }

  noteStart (upstream: string): void {
    this.#inFlight.set(upstream, this.inFlightAt(upstream) + 1)
  }

  noteEnd (upstream: string): void {
    const left = this.inFlightAt(upstream) - 1
    if (left > 0) this.#inFlight.set(upstream, left)
    else this.#inFlight.delete(upstream)
  }
}
