import { setTimeout as sleep } from 'node:timers/promises'
import { SeededRandom } from '@reelspan/utils.fakes'
import { type Attempt, RouteKind } from './attempt.js'
import { checkBounds, type Probe } from './checkBounds.js'
import { checkKeys, type KeyProbe } from './checkKeys.js'
import { checkLimits } from './checkLimits.js'
import { checkSignals } from './checkSignals.js'
import { checkHeldUpStops } from './checkHeldUpStops.js'
import { checkSilences } from './checkSilences.js'
import { checkHistory } from './checkHistory.js'
import { SoakClient } from './client.js'
import { CrashPhase } from './crashPhase.js'
import { isOfCrashPhase } from './crashVariant.js'
import { drawOne } from './drawOne.js'
import { ENDLESS_KINDS, FaultKind, UNDRAWN_KINDS } from './faultKind.js'
import { FaultInjector } from './faults.js'
import { groupBy } from './groupBy.js'
import { isOfLoadPhase, LoadPhase } from './loadPhase.js'
import { DisruptionKind } from './disruptionLog.js'
import { measureMemory } from './measureMemory.js'
import { PathLossPhase } from './pathLossPhase.js'
import { runSilencePhase } from './runSilencePhase.js'
import { HeldUpStops } from './heldUpStops.js'
import { SilenceInjector } from './silenceInjector.js'
import { ACCOUNT, OVERLOAD_ACCOUNT, OVERLOAD_KEY, DEFAULT_KEY, keyOf, SoakFleet } from './soakFleet.js'
import { type SoakBox } from './soakMembers.js'
import { overlaps, StallDetector } from './stallDetector.js'
import { type TimeInterval } from './timeInterval.js'

export interface SoakOptions {
  seed: number
  boxes: number
  clients: number
  /** Rounds of faults, each followed by a phase with planned work only. */
  rounds: number
  /** Fault kinds to use instead of random ones. */
  kinds?: readonly FaultKind[]
  /** Whether each round ends with a phase of more load than capacity. */
  load?: boolean
  /** Whether each round ends with a phase in which a prompt part crashes engines. */
  crashes?: boolean
  /** Whether each round ends with a phase in which boxes lose their paths to all upstreams. */
  pathLoss?: boolean
  /** Whether engines are silent beside the faults of each round, and in a phase of their own at its end. */
  silence?: boolean
  /** Whether each round stops boxes whose processes are held up around the signal. */
  heldUpStops?: boolean
  /** Whether engines send each refusal a second time, late, and a part of the handles lapses at once. */
  lateRefusals?: boolean
}

export interface SoakResult {
  attempts: number
  /** Number of attempts by HTTP status, `broken` for those that ended with an error, or `left` for those that the client aborted. */
  outcomes: Record<string, number>
  /** The same of those that took a stream up. */
  takeUps: Record<string, number>
  faults: string[]
  /** Served shares during each loss of paths. */
  pathLosses: string[]
  /** What each phase of a crashing prompt part saw. */
  crashPhases: string[]
  /** Silences of engines. */
  silences: string[]
  heldUpStops: string[]
  violations: string[]
  /** Number of cases that each check examined. */
  checkCounts: Record<string, number>
  /** Duration of each phase. */
  durationsMs: Record<string, number>
  /** `maxBoxMb` is the largest box while callers read nothing of large answers. */
  memory: { processes: number, pssMb: number, maxBoxMb: number }
  /** Output of each box. */
  logs: Record<string, string>
}

/** A start takes about a second. The timeout allows for a machine that is busy with other tests. */
const READY_TIMEOUT_MS = 40_000
const FAULT_PHASE_MS = 7000
const MAX_FAULT_GAP_MS = 700
/** Share of the rounds with a silence of engines if none is asked for. */
const SILENCE_SHARE = 0.05
/** Share of the rounds with an answer that has no end. */
const ENDLESS_SHARE = 0.2
const MAX_SILENCE_GAP_MS = 1500
/** Maximum outage of the store before it is restored from a backup. */
const MAX_STORE_OUTAGE_MS = 2500
/** Number of fault kinds per round. With few kinds, some boxes stay undisrupted, and time bounds can be checked there. */
const FAULT_KINDS_PER_ROUND = { least: 2, most: 6 }
/** Time bounds hold again this long after the last fault. */
const SETTLE_MS = 3000
const PUBLISH_INTERVAL_MS = 2500
const PUBLICATIONS_PER_ROUND = 3
/** Planned stops of boxes per round, one after the other. */
const PLANNED_STOPS_PER_ROUND = 2
/** A request that was sent this long ago has most likely reached an upstream. */
const BUSY_AFTER_MS = 15
const BUSY_POLL_INTERVAL_MS = 5
/** Clients refresh their box addresses every two seconds, so every box receives a request within this time. */
const BUSY_TIMEOUT_MS = 5000
const MAX_SEND_PAUSE_MS = 80
const PROBE_INTERVAL_MS = 40
const PROBE_DEADLINE_MS = 1500
/** Keys are probed for the newest versions of the configuration: the current one and the recently replaced ones. */
const PROBED_KEY_VERSIONS = 4
/** Every third client uses box addresses past their TTL. */
const STALE_CLIENT_STRIDE = 3
/** Unclaimed prefill results have expired by then. */
const HANDLE_EXPIRY_MS = 1500
/** How long an upstream advertises a rate limit: some seconds longer than boxes may take to learn of it. */
const LIMIT_DURATION_MS = 9000
const LIMITS_PER_SECOND = [0.5, 2, 3, 5]
/** How long an upstream refuses all requests. Shorter than the backoff that it asks for. */
const REFUSAL_DURATION_MS = 1500
const REFUSAL_BACKOFF_MS = 2500
/** Number of attempts that decide whether the system has recovered. */
const RECOVERY_ATTEMPTS = 40
const MIN_RECOVERY_SHARE = 0.8
/** Served share of the clients' attempts while another account floods the engines. Upstreams refuse or lose some 2 of 100, and a client's attempt may arrive while all engines are full. */
const MIN_LOAD_SHARE = 0.8
/** The memory of the smallest machines that boxes run on, which kill a process that exceeds it. */
const MAX_BOX_MB = 178

/** Runs one seed of the soak test. Reports failures as `violations` instead of throwing. */
export async function soak (opts: SoakOptions): Promise<SoakResult> {
  const random = new SeededRandom(opts.seed)
  const fleet = await SoakFleet.start(random, opts.boxes, opts)
  const run = new SoakRun(fleet, random, opts)
  try {
    await run.run()
  } catch (thrown) {
    run.violations.push(String(thrown))
  } finally {
    await fleet.stop()
  }
  return run.result()
}

class SoakRun {
  readonly violations: string[] = []
  readonly #fleet: SoakFleet
  readonly #random: SeededRandom
  /** Separate from the clients' generator, which is used in the order in which answers arrive. */
  readonly #faultRandom: SeededRandom
  readonly #opts: SoakOptions
  readonly #faults: FaultInjector
  readonly #clients: SoakClient[]
  readonly #endedAttempts: Attempt[] = []
  readonly #probes: (Probe & { id: string })[] = []
  readonly #keyProbes: KeyProbe[] = []
  // Each of these draws from a generator of its own, so that it does not change the draws of the others.
  readonly #keyRandom: SeededRandom
  readonly #limitRandom: SeededRandom
  readonly #signalRandom: SeededRandom
  readonly #restoreRandom: SeededRandom
  readonly #loadRandom: SeededRandom
  readonly #pathLossRandom: SeededRandom
  readonly #crashRandom: SeededRandom
  readonly #silenceRandom: SeededRandom
  readonly #endlessRandom: SeededRandom
  readonly #endless: FaultInjector
  readonly #silences: SilenceInjector
  readonly #heldUpStops: HeldUpStops
  readonly #streamRandom: SeededRandom
  readonly #stallDetector: StallDetector
  readonly #durationsMs: Record<string, number> = {}
  #checkCounts: Record<string, number> = {}
  readonly #pathLosses: string[] = []
  readonly #crashPhases: string[] = []
  #memory = { processes: 0, pssMb: 0, maxBoxMb: 0 }
  #isSending = true

  constructor (fleet: SoakFleet, random: SeededRandom, opts: SoakOptions) {
    this.#fleet = fleet
    this.#random = random
    this.#opts = opts
    this.#faultRandom = new SeededRandom(opts.seed)
    this.#keyRandom = new SeededRandom(opts.seed)
    this.#limitRandom = new SeededRandom(opts.seed)
    this.#signalRandom = new SeededRandom(opts.seed)
    this.#restoreRandom = new SeededRandom(opts.seed)
    this.#loadRandom = new SeededRandom(opts.seed)
    this.#pathLossRandom = new SeededRandom(opts.seed)
    this.#crashRandom = new SeededRandom(opts.seed)
    this.#silenceRandom = new SeededRandom(opts.seed)
    this.#endlessRandom = new SeededRandom(opts.seed)
    this.#streamRandom = new SeededRandom(opts.seed)
    this.#silences = new SilenceInjector({ fleet, random: this.#silenceRandom })
    this.#stallDetector = new StallDetector(fleet.boxes)
    this.#heldUpStops = new HeldUpStops({ fleet, random: new SeededRandom(opts.seed), stallDetector: this.#stallDetector, onViolation: (text) => this.violations.push(text) })
    this.#faults = new FaultInjector({ fleet, random: this.#faultRandom, onViolation: (text) => this.violations.push(text), isBusy: (box) => this.#isBusy(box) })
    this.#endless = new FaultInjector({ fleet, random: this.#endlessRandom, onViolation: (text) => this.violations.push(text), isBusy: (box) => this.#isBusy(box) })
    this.#clients = Array.from({ length: opts.clients }, (_, i) => new SoakClient(`c${i}`, { random, boxes: fleet.boxes, holds: i % STALE_CLIENT_STRIDE === 0 }))
    if (opts.silence || opts.heldUpStops) this.#clients.push(...Array.from({ length: opts.clients / 2 }, (_, i) => new SoakClient(`s${i}`, { random: this.#streamRandom, boxes: fleet.boxes, holds: false, longStreams: true })))
  }

  async run (): Promise<void> {
    const loops = [...this.#clients.map((client) => this.#sendContinuously(client)), this.#probeContinuously(), this.#probeKeysContinuously()]
    try {
      for (let round = 0; round < this.#opts.rounds; round++) {
        await this.#measure('trouble', () => this.#injectFaults())
        await this.#measure('calm', () => this.#runPlannedWork())
        if (this.#opts.load) await this.#measure('load', () => this.#runLoadPhase())
        if (this.#opts.crashes) await this.#measure('crashes', () => this.#runCrashPhase())
        if (this.#opts.pathLoss) await this.#measure('pathLoss', () => this.#runPathLossPhase())
        if (this.#opts.heldUpStops) await this.#measure('heldUpStops', () => this.#runHeldUpStops())
        if (this.#opts.silence) await this.#measure('silence', () => runSilencePhase({ silences: this.#silences, random: this.#silenceRandom }))
      }
      await this.#measure('recovery', () => this.#checkRecovery())
    } finally {
      this.#stallDetector.stop()
      this.#memory = { ...this.#memory, ...measureMemory([process.pid, ...this.#fleet.boxes.filter(({ process }) => process.running).map(({ process }) => process.pid)]) }
      this.#isSending = false
      await this.#measure('ends', () => Promise.all(loops))
      await Promise.all(this.#clients.map((client) => client.close()))
    }
    await sleep(HANDLE_EXPIRY_MS)
    this.#check()
  }

  result (): SoakResult {
    const attempts = this.#attempts()
    return {
      attempts: attempts.length,
      outcomes: countOutcomes(attempts),
      takeUps: countOutcomes(attempts.filter(({ resumes }) => resumes !== undefined)),
      faults: [...this.#faults.log, ...this.#endless.log],
      pathLosses: this.#pathLosses,
      crashPhases: this.#crashPhases,
      silences: this.#silences.log,
      heldUpStops: this.#heldUpStops.log,
      durationsMs: this.#durationsMs,
      checkCounts: this.#checkCounts,
      memory: this.#memory,
      violations: this.violations,
      logs: Object.fromEntries(this.#fleet.boxes.map(({ name, process, earlierOutput }) => [name, earlierOutput + process.output])),
    }
  }

  #check (): void {
    const { fleet, attempts } = { fleet: this.#fleet, attempts: this.#attempts() }
    const { runs, arrivals, departures, publications, stops, handles } = fleet
    if (handles.size > 0) this.violations.push(`${handles.size} prefill results are still held though no request uses them`)
    attempts.forEach((attempt) => { attempt.wasStalled = this.#wasStalled(attempt) })
    const probes = this.#probes.map((probe): Attempt => ({ ...probe, kind: RouteKind.Repeatable, deadlineMs: PROBE_DEADLINE_MS, body: `done ${probe.id}`, retryAfter: '' }))
    const history = { attempts: [...attempts, ...probes], runs, arrivals, departures, publications, stops, probes: this.#probes, isUndisrupted: this.#isUndisrupted.bind(this) }
    const bounds = checkBounds(history)
    const signals = checkSignals({ ...history, draining: fleet.draining, refusals: fleet.refusals })
    const silences = checkSilences({ ...history, silences: this.#silences.silences, wasInterrupted: this.#wasInterrupted.bind(this) })
    const heldUpStops = checkHeldUpStops({ ...history, stops: this.#heldUpStops.stops, wasInterrupted: this.#wasInterrupted.bind(this) })
    this.#checkCounts = { ...bounds.checkCounts, ...signals.checkCounts, ...silences.checkCounts, ...heldUpStops.checkCounts, keys: this.#keyProbes.length, limits: fleet.limitPeriods.length, lateRefusals: fleet.lateRefusalCount }
    // Calls with keys that expire are checked by checkKeys only.
    const keyProbeIds = new Set(this.#keyProbes.map(({ id }) => id))
    this.violations.push(...fleet.problems, ...checkHistory([...attempts, ...probes], runs.filter(({ id }) => !keyProbeIds.has(id) && !isOfLoadPhase(id) && !isOfCrashPhase(id))), ...bounds.violations, ...checkLimits(fleet.limitPeriods, history), ...signals.violations, ...silences.violations, ...heldUpStops.violations, ...this.#checkKeys())
  }

  #checkKeys (): string[] {
    const { runs, publications, received, staleReads } = this.#fleet
    const keys = [DEFAULT_KEY, OVERLOAD_KEY, ...publications.map(({ version }) => keyOf(version))]
    return checkKeys({ probes: this.#keyProbes, runs, publications, received, staleReads, keys, accounts: [ACCOUNT, OVERLOAD_ACCOUNT] })
  }

  #attempts (): Attempt[] {
    return this.#clients.flatMap(({ attempts }) => attempts)
  }

  #stallsOf (box: string): TimeInterval[] {
    const pauses = this.#fleet.boxes.find(({ addresses }) => addresses.front === box)?.pauses ?? []
    return [...pauses, ...this.#stallDetector.stalls]
  }

  #wasStalled ({ box, sentAtMs, endedAtMs = Number.POSITIVE_INFINITY }: Attempt): boolean {
    return overlaps(this.#stallsOf(box), sentAtMs, endedAtMs)
  }

  #isUndisrupted (box: string, instances: readonly string[], within: TimeInterval, kinds?: readonly DisruptionKind[]): boolean {
    const subjects = [box, ...instances.map((instance) => this.#fleet.replicaNameOf(instance))]
    return this.#fleet.disruptions.isUndisrupted(subjects, within, kinds) && !overlaps(this.#stallsOf(box), within.fromMs, within.toMs)
  }

  #wasInterrupted (box: string, instances: readonly string[], within: TimeInterval): boolean {
    const subjects = [box, ...instances.map((instance) => this.#fleet.replicaNameOf(instance))]
    return subjects.some((subject) => this.#fleet.disruptions.wasDisrupted(subject, within, [DisruptionKind.Unplanned]))
  }

  async #runHeldUpStops (): Promise<void> {
    await this.#heldUpStops.run()
    await this.#waitUntilReady()
  }

  async #sendContinuously (client: SoakClient): Promise<void> {
    while (this.#isSending) {
      const attempt = await client.send()
      if (attempt) this.#endedAttempts.push(attempt)
      await sleep(this.#random.nextFloat() * MAX_SEND_PAUSE_MS)
    }
  }

  /** Continuously probes random boxes for the routes of the newest and the previous configuration. */
  async #probeContinuously (): Promise<void> {
    while (this.#isSending) {
      const { newestVersion } = this.#fleet
      const version = Math.max(1, drawOne(this.#random, [newestVersion, newestVersion - 1]))
      await this.#probe(drawOne(this.#random, this.#fleet.boxes), version)
      await sleep(PROBE_INTERVAL_MS)
    }
  }

  /** Continuously calls random boxes with keys that are declared or were declared until recently. */
  async #probeKeysContinuously (): Promise<void> {
    while (this.#isSending) {
      const version = Math.max(1, this.#fleet.newestVersion - this.#keyRandom.nextInt(PROBED_KEY_VERSIONS))
      const probe = { id: `key-${this.#keyProbes.length}`, version, sentAtMs: performance.now() }
      this.#keyProbes.push(probe)
      await this.#fleet.callWithKeyOf(version, drawOne(this.#keyRandom, this.#fleet.boxes), probe.id)
      await sleep(PROBE_INTERVAL_MS)
    }
  }

  async #probe (box: SoakBox, version: number): Promise<void> {
    const probe = { id: `probe-${this.#probes.length}`, box: box.addresses.front, incarnation: `${box.name}#${box.process.pid}`, version, sentAtMs: performance.now(), endedAtMs: 0, status: 0 }
    this.#probes.push(probe)
    probe.status = await this.#fleet.probe(box, version, probe.id)
    probe.endedAtMs = performance.now()
  }

  async #injectFaults (): Promise<void> {
    const untilMs = performance.now() + FAULT_PHASE_MS
    const count = FAULT_KINDS_PER_ROUND.least + Math.floor(this.#faultRandom.nextFloat() * (FAULT_KINDS_PER_ROUND.most - FAULT_KINDS_PER_ROUND.least + 1))
    const drawn = this.#faultRandom.sample(Object.values(FaultKind).filter((kind) => !UNDRAWN_KINDS.includes(kind)), count)
    const kinds = this.#opts.kinds ?? drawn
    const silences = this.#injectSilences(untilMs)
    // Drawn on its own, so that recorded seeds keep their other faults.
    if (!this.#opts.kinds && this.#endlessRandom.nextFloat() < ENDLESS_SHARE) this.#endless.injectRandom(ENDLESS_KINDS)
    while (performance.now() < untilMs) {
      this.#faults.injectRandom(kinds)
      await sleep(this.#faultRandom.nextFloat() * MAX_FAULT_GAP_MS)
    }
    await silences
    await this.#endless.waitUntilOver()
    await this.#faults.waitUntilOver()
    await this.#waitUntilReady()
    await this.#faults.restoreStore(Math.round(this.#restoreRandom.nextFloat() * MAX_STORE_OUTAGE_MS))
  }

  async #injectSilences (untilMs: number): Promise<void> {
    // The recorded seeds draw none.
    const once = this.#silenceRandom.nextFloat() >= 1 - SILENCE_SHARE
    if (!this.#opts.silence && !once) return
    do {
      await sleep(this.#silenceRandom.nextFloat() * MAX_SILENCE_GAP_MS)
      await this.#silences.injectRandom()
    } while (this.#opts.silence && performance.now() < untilMs)
  }

  async #measure (phase: string, work: () => Promise<unknown>): Promise<void> {
    const fromMs = performance.now()
    await work()
    this.#durationsMs[phase] = Math.round((this.#durationsMs[phase] ?? 0) + performance.now() - fromMs)
  }

  async #waitUntilReady (): Promise<void> {
    const unready = await this.#fleet.waitUntilReady(READY_TIMEOUT_MS)
    if (unready.length > 0) throw new Error(`not ready after ${READY_TIMEOUT_MS} ms: ${unready.map(({ name }) => name).join(', ')}`)
  }

  /** Does planned work only, so that the checks apply to every box. */
  async #runPlannedWork (): Promise<void> {
    await sleep(SETTLE_MS)
    await Promise.all([
      this.#publishRepeatedly(),
      this.#faults.drainUpstream(drawOne(this.#random, this.#fleet.replicas)),
      this.#stopRandomBoxes(),
      this.#limitRandomUpstream(),
      this.#refuseAndDrainUnlisted(),
    ])
  }

  async #limitRandomUpstream (): Promise<void> {
    await this.#fleet.limit(drawOne(this.#limitRandom, this.#fleet.replicas), drawOne(this.#limitRandom, LIMITS_PER_SECOND), LIMIT_DURATION_MS)
  }

  /** One upstream refuses requests for a while, and another one advertises draining only in its responses. */
  async #refuseAndDrainUnlisted (): Promise<void> {
    const active = this.#fleet.replicas.filter(({ leaving }) => !leaving)
    const drainingReplica = drawOne(this.#signalRandom, active)
    const refusingReplica = drawOne(this.#signalRandom, active.filter((replica) => replica !== drainingReplica))
    await Promise.all([this.#faults.drainUnlisted(drainingReplica), this.#fleet.refuse(refusingReplica, REFUSAL_BACKOFF_MS, REFUSAL_DURATION_MS)])
  }

  async #publishRepeatedly (): Promise<void> {
    for (let i = 0; i < PUBLICATIONS_PER_ROUND; i++) {
      this.#fleet.publish()
      await sleep(PUBLISH_INTERVAL_MS)
    }
  }

  async #stopRandomBoxes (): Promise<void> {
    for (let stops = 0; stops < PLANNED_STOPS_PER_ROUND; stops++) {
      const box = drawOne(this.#random, this.#fleet.boxes)
      await this.#waitUntilBusy(box)
      await this.#faults.stopBox(box)
      await this.#waitUntilReady()
    }
  }

  #isBusy ({ addresses }: SoakBox): boolean {
    const isInFlight = ({ box, sentAtMs, endedAtMs }: Attempt) => box === addresses.front && endedAtMs === undefined && performance.now() - sentAtMs > BUSY_AFTER_MS
    return this.#clients.some(({ attempts }) => attempts.slice(-1).some(isInFlight))
  }

  /** Resolves while the box has a request in flight, which a stop could interrupt. */
  async #waitUntilBusy (box: SoakBox): Promise<void> {
    for (let waitedMs = 0; waitedMs < BUSY_TIMEOUT_MS; waitedMs += BUSY_POLL_INTERVAL_MS) {
      if (this.#isBusy(box)) return
      await sleep(BUSY_POLL_INTERVAL_MS)
    }
    this.violations.push(`${box.name} received no request for ${BUSY_TIMEOUT_MS} ms`)
  }

  async #runLoadPhase (): Promise<void> {
    const from = this.#endedAttempts.length
    const phase = new LoadPhase({ random: this.#loadRandom, boxes: this.#fleet.boxes })
    await phase.run()
    this.#memory.maxBoxMb = Math.max(this.#memory.maxBoxMb, phase.maxBoxMb)
    if (phase.maxBoxMb > MAX_BOX_MB) this.violations.push(`a box had ${phase.maxBoxMb} MB while callers read nothing of large answers`)
    this.#checkServedShare(from, MIN_LOAD_SHARE, 'while another account flooded the engines')
  }

  async #runPathLossPhase (): Promise<void> {
    const phase = new PathLossPhase({ fleet: this.#fleet, random: this.#pathLossRandom, attempts: () => this.#attempts().map((attempt) => ({ ...attempt, wasStalled: this.#wasStalled(attempt) })) })
    await phase.run()
    this.#pathLosses.push(...phase.log)
    this.violations.push(...phase.violations)
  }

  async #runCrashPhase (): Promise<void> {
    const phase = new CrashPhase({ fleet: this.#fleet, random: this.#crashRandom, attempts: () => this.#attempts().map((attempt) => ({ ...attempt, wasStalled: this.#wasStalled(attempt) })) })
    await phase.run()
    this.#crashPhases.push(...phase.log)
    this.violations.push(...phase.violations)
  }

  async #checkRecovery (): Promise<void> {
    const from = this.#endedAttempts.length
    while (this.#endedAttempts.length < from + RECOVERY_ATTEMPTS) await sleep(MAX_SEND_PAUSE_MS)
    this.#checkServedShare(from, MIN_RECOVERY_SHARE, 'after the last fault')
  }

  /** @param from number of attempts that had ended before the first one that is checked */
  #checkServedShare (from: number, minShare: number, when: string): void {
    const completed = this.#endedAttempts.slice(from).filter(({ abortedAtMs }) => abortedAtMs === undefined)
    const served = completed.filter(({ status, error }) => status === 200 && error === undefined).length
    if (served < minShare * completed.length) this.violations.push(`${when} only ${served} of ${completed.length} attempts were served`)
  }
}

function countOutcomes (attempts: readonly Attempt[]): Record<string, number> {
  const outcomes = groupBy(attempts, ({ status, error, abortedAtMs }) => abortedAtMs !== undefined ? 'left' : error === undefined ? String(status) : 'broken')
  return Object.fromEntries([...outcomes].map(([outcome, group]) => [outcome, group.length]))
}
