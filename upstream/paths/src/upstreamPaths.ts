import { type Clock, Notifier, type Random, raceTimeout, TaskGroup, type TaskErrorListener } from '@reelspan/core.env'
import { type UpstreamProbe, UpstreamProbeResult } from '@reelspan/upstream.client'

/** What a failed call to an upstream says, judged by whether other upstreams can be reached. */
export enum FailureCause {
  /** Another upstream accepts connections from this box, so the fault is not in this box's own paths. */
  Upstream = 'upstream',
  /** No upstream accepts connections from this box. */
  OwnPaths = 'ownPaths',
  /** There are too few upstreams to compare. */
  Unknown = 'unknown',
}

export interface UpstreamPathsOptions {
  clock: Clock
  random: Random
  probe: UpstreamProbe
  /** Addresses of all upstreams that this box may call. */
  addresses: () => readonly string[]
  /** Called when this box has lost its paths to all upstreams. */
  onLost: (evidence: LossEvidence) => void
  /** Called when it has regained them after `lostMs`. */
  onRegained: (lostMs: number) => void
  onTaskError?: TaskErrorListener
}

/** The check by which the loss was found. */
export interface LossEvidence {
  /** Upstreams that were probed. */
  probed: number
  /** Upstreams whose machine refused the connection. */
  refused: number
  /** Time since anything was last received from an upstream. */
  silentMs: number
}

/** Upstreams on different machines that are probed before paths count as lost. */
const MAX_PROBED = 6
/** Addresses among which different machines are looked for. */
const MAX_SAMPLED = 32
/** With fewer machines to compare, a failure cannot be attributed to this box's paths. */
const MIN_PROBED = 2
/** Upstreams that are probed first, since one that answers is sufficient. */
const FIRST_PROBED = 2
/** Many times the round trip to an upstream; the other upstreams are probed then. */
const ESCALATE_AFTER_MS = 100
/** Limits probes while failures of single upstreams follow each other. */
const CHECK_INTERVAL_MS = 200
/** A request that is outstanding for this long while nothing is received from any upstream. */
const SILENT_AFTER_MS = 400
/** Upper bound of the interval between checks while the same silence lasts, which doubles each time. */
const MAX_SILENCE_INTERVAL_MS = 6400
const SILENCE_CHECK_MS = 100
/** A check that took longer than its probes may take was interrupted by a pause of this process, and its timeouts are ignored. */
const MAX_CHECK_MS = 1000
/** Checks in succession that must reach an upstream before paths count as regained. */
const REGAINED_CHECKS = 2
/** The same for paths that were lost again soon after they were regained. */
const REGAINED_CHECKS_FLAPPING = 4
const FLAPPING_WITHIN_MS = 5000

interface CheckResult {
  cause: FailureCause
  probed: number
  refused: number
}

/**
 * Judges this box's own network paths. Any single upstream may fail; if none of several on different machines accepts
 * a connection, the fault is this box's. Open connections are not considered: they may work while new ones are refused.
 */
export class UpstreamPaths {
  readonly #opts: UpstreamPathsOptions
  readonly #tasks: TaskGroup
  readonly #lostNotifier = new Notifier()
  #lostSinceMs?: number
  #regainedAtMs = Number.NEGATIVE_INFINITY
  #lastReceivedMs: number
  #lastCheckMs = Number.NEGATIVE_INFINITY
  #pendingCheck?: Promise<CheckResult>
  /** When each outstanding request was sent. */
  readonly #outstanding = new Map<symbol, number>()
  /** Whether a machine refused a connection in the last check. */
  #machinesRefuse = false
  #watchingSilence = false
  /** When a silence was last found to be the upstreams' own, and when it is checked again. */
  #silenceCheckedMs = Number.NEGATIVE_INFINITY
  #silenceIntervalMs = SILENT_AFTER_MS

  constructor (opts: UpstreamPathsOptions) {
    this.#opts = opts
    this.#tasks = new TaskGroup(opts.clock, opts.onTaskError)
    this.#lastReceivedMs = opts.clock.nowMs()
  }

  /** Whether no upstream accepts connections from this box. */
  get lost (): boolean {
    return this.#lostSinceMs !== undefined
  }

  /** Whether nothing was received from any upstream for a while. If machines refuse connections, packets reach them, so this counts only while an answer is outstanding. */
  get silent (): boolean {
    const sinceMs = this.#machinesRefuse ? Math.max(this.#lastReceivedMs, this.#oldestSentMs) : this.#lastReceivedMs
    return this.#opts.clock.nowMs() - sinceMs >= SILENT_AFTER_MS
  }

  /** When anything was last received from an upstream. */
  get lastReceivedMs (): number {
    return this.#lastReceivedMs
  }

  /** Resolves once the paths are lost, or the signal is aborted. */
  async waitUntilLost (signal: AbortSignal): Promise<void> {
    while (!this.lost && !signal.aborted) await this.#lostNotifier.wait(signal)
  }

  /** Records that a part of an answer was received. */
  recordReceived (): void {
    this.#lastReceivedMs = this.#opts.clock.nowMs()
    this.#silenceIntervalMs = SILENT_AFTER_MS
  }

  /** Records that an upstream could not be reached or broke off an answer. */
  recordFailure (): void {
    this.#tasks.run(async () => { await this.judge() })
  }

  /** Records that a request is outstanding. Returns a function to be called when it is no longer. */
  trackRequest (): () => void {
    const key = Symbol('request')
    this.#outstanding.set(key, this.#opts.clock.nowMs())
    if (!this.#watchingSilence) this.#tasks.run(() => this.#watchSilence())
    return () => this.#outstanding.delete(key)
  }

  /** When the oldest outstanding request was sent. */
  get #oldestSentMs (): number {
    const [oldestSentMs = Number.POSITIVE_INFINITY] = this.#outstanding.values()
    return oldestSentMs
  }

  /** Checks now why a call has failed. */
  async judge (): Promise<FailureCause> {
    if (this.lost) return FailureCause.OwnPaths
    this.#pendingCheck ??= this.#checkAfterInterval().finally(() => { this.#pendingCheck = undefined })
    const { cause } = await this.#pendingCheck
    return cause
  }

  /** State for the dump. */
  describe () {
    const nowMs = this.#opts.clock.nowMs()
    return { lost: this.lost, lostMs: this.#lostSinceMs === undefined ? undefined : Math.round(nowMs - this.#lostSinceMs), silentMs: Math.round(nowMs - this.#lastReceivedMs) }
  }

  async stop (): Promise<void> {
    await this.#tasks.stop()
  }

  async #checkAfterInterval (): Promise<CheckResult> {
    const { clock, onLost } = this.#opts
    await clock.sleep(this.#lastCheckMs + CHECK_INTERVAL_MS - clock.nowMs(), { signal: this.#tasks.signal })
    const result = await this.#check(MAX_PROBED)
    if (result.cause !== FailureCause.OwnPaths || this.lost || this.#tasks.stopped) return result
    this.#lostSinceMs = clock.nowMs()
    onLost({ probed: result.probed, refused: result.refused, silentMs: this.#lostSinceMs - this.#lastReceivedMs })
    this.#lostNotifier.notify()
    this.#tasks.run(() => this.#checkUntilRegained())
    return result
  }

  async #check (maxProbed: number): Promise<CheckResult> {
    const { clock } = this.#opts
    const startedAtMs = clock.nowMs()
    const addresses = this.#sampleMachines(maxProbed)
    if (addresses.length < MIN_PROBED) return { cause: FailureCause.Unknown, probed: 0, refused: 0 }
    const results: UpstreamProbeResult[] = []
    const first = this.#probeAny(addresses.slice(0, FIRST_PROBED), results)
    const reached = await raceTimeout(clock, first, ESCALATE_AFTER_MS) === true || (await Promise.all([first, this.#probeAny(addresses.slice(FIRST_PROBED), results)])).includes(true)
    // After a pause of this process, an accepted connection may not have been noticed yet.
    await clock.awaitPendingInput()
    this.#lastCheckMs = clock.nowMs()
    const refused = results.filter((result) => result === UpstreamProbeResult.Refused).length
    this.#machinesRefuse = refused > 0
    if (!reached && this.#lastCheckMs - startedAtMs > MAX_CHECK_MS) return { cause: FailureCause.Unknown, probed: addresses.length, refused }
    return { cause: reached ? FailureCause.Upstream : FailureCause.OwnPaths, probed: addresses.length, refused }
  }

  /** Resolves with whether one of the upstreams accepts a connection, as soon as that is known. */
  #probeAny (addresses: readonly string[], results: UpstreamProbeResult[]): Promise<boolean> {
    return new Promise((resolve) => {
      const probes = addresses.map(async (address) => {
        const result = await this.#opts.probe.probe(address)
        results.push(result)
        if (result === UpstreamProbeResult.Listening) resolve(true)
      })
      void Promise.all(probes).then(() => resolve(false))
    })
  }

  /** Addresses on different machines: upstreams on the same machine share its failures. */
  #sampleMachines (count: number): string[] {
    const { random, addresses } = this.#opts
    const byMachine = new Map(random.sample(addresses(), MAX_SAMPLED).map((address) => [address.slice(0, address.lastIndexOf(':')), address]))
    return [...byMachine.values()].slice(0, count)
  }

  async #checkUntilRegained (): Promise<void> {
    const { clock, onRegained } = this.#opts
    const lostSinceMs = clock.nowMs()
    const neededChecks = lostSinceMs - this.#regainedAtMs < FLAPPING_WITHIN_MS ? REGAINED_CHECKS_FLAPPING : REGAINED_CHECKS
    for (let reached = 0; reached < neededChecks;) {
      await clock.sleep(CHECK_INTERVAL_MS, { signal: this.#tasks.signal })
      if (this.#tasks.stopped) return
      const { cause, probed } = await this.#check(FIRST_PROBED)
      // A loss cannot be confirmed once the remaining upstreams are on a single machine.
      reached = cause === FailureCause.Upstream || probed === 0 ? reached + 1 : 0
    }
    this.#lostSinceMs = undefined
    this.#regainedAtMs = clock.nowMs()
    this.recordReceived()
    onRegained(this.#regainedAtMs - lostSinceMs)
  }

  /** Judges the paths whenever requests are outstanding for a while and nothing is received. */
  async #watchSilence (): Promise<void> {
    const { clock } = this.#opts
    this.#watchingSilence = true
    while (this.#outstanding.size > 0 && !this.#tasks.stopped) {
      await clock.sleep(SILENCE_CHECK_MS, { signal: this.#tasks.signal })
      await clock.awaitPendingInput()
      if (this.lost || clock.nowMs() - Math.max(this.#oldestSentMs, this.#lastReceivedMs, this.#silenceCheckedMs) < this.#silenceIntervalMs) continue
      if (await this.judge() !== FailureCause.Upstream) continue
      this.#silenceCheckedMs = clock.nowMs()
      this.#silenceIntervalMs = Math.min(MAX_SILENCE_INTERVAL_MS, 2 * this.#silenceIntervalMs)
    }
    this.#watchingSilence = false
  }
}
