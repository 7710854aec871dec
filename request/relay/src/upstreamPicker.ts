import { type ListedUpstream } from '@reelspan/config.fleet'
import { type Random } from '@reelspan/core.env'
import { type UpstreamHealth } from '@reelspan/upstream.health'

export interface UpstreamPickerOptions {
  random: Random
  health: UpstreamHealth
}

/** Picks upstreams of service pools by what this box has in flight there. */
export class UpstreamPicker {
  readonly #opts: UpstreamPickerOptions
  readonly #inFlight = new Map<string, number>()

  constructor (opts: UpstreamPickerOptions) {
    this.#opts = opts
  }

  /** One of those with the fewest requests of this box; suspects and those that failed the request only when there is no other. */
  pick (listed: readonly ListedUpstream[], tried: ReadonlySet<string>): ListedUpstream | undefined {
    const { health, random } = this.#opts
    const untried = listed.filter(({ name }) => !tried.has(name))
    const trusted = untried.filter(({ name }) => !health.isSuspect(name))
    const candidates = trusted.length > 0 ? trusted : untried
    const fewest = Math.min(...candidates.map(({ name }) => this.inFlightAt(name)))
    const [picked] = random.sample(candidates.filter(({ name }) => this.inFlightAt(name) === fewest), 1)
    return picked
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
