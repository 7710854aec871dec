import { STOPPED } from '@reelspan/core.env'
import { FailureCause, type UpstreamPaths } from './upstreamPaths.js'

export interface KindPathsOptions {
  /** Paths to all upstreams. */
  all: UpstreamPaths
  /** Paths to the upstreams of this kind alone. */
  ofKind: UpstreamPaths
  /** Whether another box is known to reach upstreams of this kind. Otherwise they may be down themselves. */
  othersReach: () => boolean
}

/** This box's network paths to the upstreams of one kind. They are lost with those to all upstreams, or alone while another box reaches the kind. */
export class KindPaths {
  readonly #all: UpstreamPaths
  readonly #ofKind: UpstreamPaths
  readonly #othersReach: () => boolean

  constructor ({ all, ofKind, othersReach }: KindPathsOptions) {
    this.#all = all
    this.#ofKind = ofKind
    this.#othersReach = othersReach
  }

  get lost (): boolean {
    return this.#all.lost || (this.#ofKind.lost && this.#othersReach())
  }

  /** Whether open connections bring nothing. */
  get silent (): boolean {
    return this.#all.lost ? this.#all.silent : this.#ofKind.silent
  }

  get lastReceivedMs (): number {
    return this.#ofKind.lastReceivedMs
  }

  /** Resolves once the paths are lost, or the signal is aborted. */
  async waitUntilLost (signal: AbortSignal): Promise<void> {
    while (!this.lost && !signal.aborted) await this.#waitForChange(signal)
  }

  recordReceived (): void {
    this.#all.recordReceived()
    this.#ofKind.recordReceived()
  }

  recordFailure (): void {
    this.#all.recordFailure()
    this.#ofKind.recordFailure()
  }

  trackRequest (): () => void {
    const ends = [this.#all.trackRequest(), this.#ofKind.trackRequest()]
    return () => ends.forEach((end) => end())
  }

  /** Checks now why a call to an upstream of this kind has failed. */
  async judge (): Promise<FailureCause> {
    if (this.lost) return FailureCause.OwnPaths
    const judgingKind = this.#ofKind.judge()
    const cause = await this.#all.judge()
    if (!this.lost) await judgingKind
    return this.lost ? FailureCause.OwnPaths : cause
  }

  async #waitForChange (signal: AbortSignal): Promise<void> {
    const stop = new AbortController()
    const stopped = AbortSignal.any([signal, stop.signal])
    // Paths to this kind that are lost without another box that has them are as good as those to all.
    const candidates = this.#ofKind.lost ? [this.#all] : [this.#all, this.#ofKind]
    await Promise.race(candidates.map((paths) => paths.waitUntilLost(stopped)))
    stop.abort(STOPPED)
  }
}
