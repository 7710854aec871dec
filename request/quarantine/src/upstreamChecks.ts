import { type FleetList, type ListedUpstream } from '@reelspan/config.fleet'
import { type Clock } from '@reelspan/core.env'
import { UpstreamIdentity, type UpstreamProbe, UpstreamProbeResult } from '@reelspan/upstream.client'

export interface UpstreamChecksOptions {
  clock: Clock
  probe: UpstreamProbe
  /** The list of upstreams in force at this box. */
  fleet: () => FleetList
  /** Asks an upstream whether it is still the start that the list names. Never rejects. */
  identify?: (upstream: ListedUpstream) => Promise<UpstreamIdentity>
  /** Whether a connection was refused because this box has lost its own network paths. */
  hasLostPaths?: () => Promise<boolean>
}

/** What a check of an upstream has found, which held when the check began. */
export interface CheckResult {
  startedAtMs: number
  identity: UpstreamIdentity
  /** Undefined if the upstream has answered for itself. */
  presence?: UpstreamProbeResult
}

const MIN_INTERVAL_MS = 200
const MAX_CHECKS_PER_SECOND = 50
const MS_PER_SECOND = 1000

/** Checks upstreams: one at a time for each, at most every `MIN_INTERVAL_MS`, and a limited number in all. */
export class UpstreamChecks {
  readonly #opts: UpstreamChecksOptions
  /** Probes in flight by address, since all runs of an upstream are interrupted at the same time. */
  readonly #probes = new Map<string, Promise<UpstreamProbeResult>>()
  /** Checks in flight by upstream. */
  readonly #checks = new Map<string, Promise<CheckResult>>()
  readonly #lastStartedMs = new Map<string, number>()
  #left = MAX_CHECKS_PER_SECOND
  #refilledAtMs = 0

  constructor (opts: UpstreamChecksOptions) {
    this.#opts = opts
  }

  /** Opens a connection. A refusal proves that the process has exited only if this box reaches other upstreams. */
  async presenceOf (address: string): Promise<UpstreamProbeResult> {
    const presence = await this.#probe(address)
    return presence === UpstreamProbeResult.Refused && await this.#opts.hasLostPaths?.() ? UpstreamProbeResult.Unresponsive : presence
  }

  /** Finds out whether an upstream lives, or returns undefined if it was checked just now or too many are checked. */
  async check (upstream: string, address: string): Promise<CheckResult | undefined> {
    const pending = this.#checks.get(upstream)
    if (pending) return pending
    const nowMs = this.#opts.clock.nowMs()
    if (nowMs < (this.#lastStartedMs.get(upstream) ?? Number.NEGATIVE_INFINITY) + MIN_INTERVAL_MS || !this.#acquire(nowMs)) return undefined
    this.#lastStartedMs.set(upstream, nowMs)
    const check = this.#run(upstream, address, nowMs).finally(() => this.#checks.delete(upstream))
    this.#checks.set(upstream, check)
    return check
  }

  /** Forgets upstreams that are not listed any more. */
  retainListed (): void {
    const fleet = this.#opts.fleet();
    [...this.#lastStartedMs.keys()].filter((name) => fleet.upstream(name) === undefined).forEach((name) => this.#lastStartedMs.delete(name))
  }

  async #run (upstream: string, address: string, startedAtMs: number): Promise<CheckResult> {
    const identity = await this.#identify(upstream)
    if (identity !== UpstreamIdentity.Unknown) return { startedAtMs, identity }
    return { startedAtMs, identity, presence: await this.presenceOf(address) }
  }

  async #identify (name: string): Promise<UpstreamIdentity> {
    const upstream = this.#opts.fleet().upstream(name)
    return upstream && this.#opts.identify ? this.#opts.identify(upstream) : UpstreamIdentity.Unknown
  }

  #probe (address: string): Promise<UpstreamProbeResult> {
    const pending = this.#probes.get(address)
    if (pending) return pending
    const probe = this.#opts.probe.probe(address).finally(() => this.#probes.delete(address))
    this.#probes.set(address, probe)
    return probe
  }

  #acquire (nowMs: number): boolean {
    if (nowMs >= this.#refilledAtMs + MS_PER_SECOND) {
      this.#left = MAX_CHECKS_PER_SECOND
      this.#refilledAtMs = nowMs
    }
    if (this.#left === 0) return false
    this.#left--
    return true
  }
}
