import { setTimeout as sleep } from 'node:timers/promises'
import { SeededRandom } from '@reelspan/utils.fakes'
import { type Attempt, RouteKind } from './attempt.js'
import { checkBounds, type Probe } from './checkBounds.js'
import { checkKeys, type KeyProbe } from './checkKeys.js'
import { checkLimits } from './checkLimits.js'
import { checkSignals } from './checkSignals.js'
import { checkHistory } from './checkHistory.js'
import { SoakClient } from './client.js'
import { drawOne } from './drawOne.js'
import { FaultKind, Faults } from './faults.js'
import { groupBy } from './groupBy.js'
import { type HarmKind } from './harmLog.js'
import { measureMemory } from './measureMemory.js'
import { ACCOUNT, CALLERS_KEY, keyOf, type SoakBox, SoakFleet } from './soakFleet.js'
import { overlaps, type Stall, StallWatch } from './stallWatch.js'

export interface SoakOptions {
  seed: number
  boxes: number
  clients: number
  /** Rounds of faults, each followed by a calm of planned work alone. */
  rounds: number
  /** Kinds of faults in place of drawn ones. */
  kinds?: readonly FaultKind[]
}

export interface SoakResult {
  attempts: number
  /** Attempts by their status, `broken` or `left`. */
  outcomes: Record<string, number>
  faults: string[]
  violations: string[]
  /** What each bound was judged on. */
  judged: Record<string, number>
  /** How long each part took. */
  tookMs: Record<string, number>
  memory: { processes: number, sharedOnceMb: number }
  /** What each box wrote. */
  logs: Record<string, string>
}

/** A start takes about a second; this leaves room for a machine that is busy with other tests. */
const READY_LIMIT_MS = 40_000
const TROUBLE_MS = 7000
const LONGEST_GAP_MS = 700
/** Longest time for which the store is away before it comes back from a copy. */
const LONGEST_AWAY_MS = 2500
/** Kinds of faults in one round. With few, some boxes stay unharmed, and bounds are judged there. */
const KINDS_A_ROUND = { least: 2, most: 6 }
/** This long after the last fault, bounds hold. */
const CONTACT_MS = 3000
const PUBLISH_GAP_MS = 2500
const PUBLICATIONS = 3
/** Boxes that are stopped as planned in each calm, one after the other. */
const PLANNED_STOPS = 2
/** A request that was sent this long ago is with an upstream, most likely. */
const BUSY_AFTER_MS = 15
const BUSY_POLL_MS = 5
/** Clients ask anew which boxes to use every two seconds. */
const BUSY_LIMIT_MS = 5000
const LONGEST_PAUSE_MS = 80
const PROBE_GAP_MS = 40
const PROBE_DEADLINE_MS = 1500
/** Keys of this many versions are tried: those that went of late. */
const VERSIONS_TRIED = 4
/** Every so many clients, one holds old addresses. */
const HOLDERS_AMONG = 3
/** Prefill results that nobody takes lapse by then. */
const HANDLES_GONE_MS = 1500
/** An upstream names a limit for some seconds after boxes must know it. */
const LIMITED_MS = 9000
const LIMITS_PER_SECOND = [0.5, 2, 3, 5]
/** An upstream refuses for a part of the time for which it asks for nothing. */
const REFUSING_MS = 1500
const BACKOFF_MS = 2500
/** Attempts by which it is judged whether the system serves again. */
const RECOVERY_ATTEMPTS = 40
const RECOVERY_SHARE = 0.8

/** Runs the soak. Never throws for what it finds: see `violations`. */
export async function soak (opts: SoakOptions): Promise<SoakResult> {
  const random = new SeededRandom(opts.seed)
  const fleet = await SoakFleet.start(random, opts.boxes)
  const run = new SoakRun(fleet, random, opts)
  try {
    await run.play()
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
  /** Apart from the clients', whose draws come in whatever order they are answered. */
  readonly #faultRandom: SeededRandom
  readonly #opts: SoakOptions
  readonly #faults: Faults
  readonly #clients: SoakClient[]
  readonly #ended: Attempt[] = []
  readonly #probes: (Probe & { id: string })[] = []
  readonly #keyProbes: KeyProbe[] = []
  /** Apart from the others, whose draws stay what they were. */
  readonly #keyRandom: SeededRandom
  /** Apart for the same reason. */
  readonly #limitRandom: SeededRandom
  /** Apart as well. */
  readonly #signalRandom: SeededRandom
  readonly #restoreRandom: SeededRandom
  readonly #stalls: StallWatch
  readonly #tookMs: Record<string, number> = {}
  #judged: Record<string, number> = {}
  #memory = { processes: 0, sharedOnceMb: 0 }
  #sending = true

  constructor (fleet: SoakFleet, random: SeededRandom, opts: SoakOptions) {
    this.#fleet = fleet
    this.#random = random
    this.#opts = opts
    this.#faultRandom = new SeededRandom(opts.seed)
    this.#keyRandom = new SeededRandom(opts.seed)
    this.#limitRandom = new SeededRandom(opts.seed)
    this.#signalRandom = new SeededRandom(opts.seed)
    this.#restoreRandom = new SeededRandom(opts.seed)
    this.#stalls = new StallWatch(fleet.boxes)
    this.#faults = new Faults({ fleet, random: this.#faultRandom, violation: (text) => this.violations.push(text), isBusy: (box) => this.#isBusy(box) })
    this.#clients = Array.from({ length: opts.clients }, (_, i) => new SoakClient(`c${i}`, { random, boxes: fleet.boxes, holds: i % HOLDERS_AMONG === 0 }))
  }

  async play (): Promise<void> {
    const sending = [...this.#clients.map((client) => this.#keepSending(client)), this.#keepProbing(), this.#keepTryingKeys()]
    try {
      for (let round = 0; round < this.#opts.rounds; round++) {
        await this.#timed('trouble', () => this.#trouble())
        await this.#timed('calm', () => this.#calm())
      }
      await this.#timed('recovery', () => this.#checkRecovery())
    } finally {
      this.#stalls.stop()
      this.#memory = measureMemory([process.pid, ...this.#fleet.boxes.filter(({ process }) => process.running).map(({ process }) => process.pid)])
      this.#sending = false
      await this.#timed('ends', () => Promise.all(sending))
      await Promise.all(this.#clients.map((client) => client.close()))
    }
    await sleep(HANDLES_GONE_MS)
    this.#judge()
  }

  result (): SoakResult {
    const attempts = this.#attempts()
    const outcomes = groupBy(attempts, ({ status, error, leftAtMs }) => leftAtMs !== undefined ? 'left' : error === undefined ? String(status) : 'broken')
    return {
      attempts: attempts.length,
      outcomes: Object.fromEntries([...outcomes].map(([outcome, those]) => [outcome, those.length])),
      faults: this.#faults.log,
      tookMs: this.#tookMs,
      judged: this.#judged,
      memory: this.#memory,
      violations: this.violations,
      logs: Object.fromEntries(this.#fleet.boxes.map(({ name, process, pastOutput }) => [name, pastOutput + process.output])),
    }
  }

  #judge (): void {
    const { fleet, attempts } = { fleet: this.#fleet, attempts: this.#attempts() }
    const { runs, arrivals, departures, publications, stops, handles } = fleet
    if (handles.size > 0) this.violations.push(`${handles.size} prefill results are held for nobody`)
    attempts.forEach((attempt) => { attempt.stoodStill = this.#stoodStill(attempt) })
    const probes = this.#probes.map((probe): Attempt => ({ ...probe, kind: RouteKind.Repeatable, deadlineMs: PROBE_DEADLINE_MS, body: `done ${probe.id}`, retryAfter: '' }))
    const history = { attempts: [...attempts, ...probes], runs, arrivals, departures, publications, stops, probes: this.#probes, isUnharmed: this.#isUnharmed.bind(this) }
    const bounds = checkBounds(history)
    const signals = checkSignals({ ...history, draining: fleet.draining, refusing: fleet.refusing })
    this.#judged = { ...bounds.judged, ...signals.judged, keys: this.#keyProbes.length, limits: fleet.namings.length }
    // Calls with keys that come and go are judged by their keys alone.
    const tried = new Set(this.#keyProbes.map(({ id }) => id))
    this.violations.push(...fleet.problems, ...checkHistory([...attempts, ...probes], runs.filter(({ id }) => !tried.has(id))), ...bounds.violations, ...checkLimits(fleet.namings, history), ...signals.violations, ...this.#keyViolations())
  }

  #keyViolations (): string[] {
    const { runs, publications, received, staleReads } = this.#fleet
    const keys = [CALLERS_KEY, ...publications.map(({ version }) => keyOf(version))]
    return checkKeys({ probes: this.#keyProbes, runs, publications, received, staleReads, keys, account: ACCOUNT })
  }

  #attempts (): Attempt[] {
    return this.#clients.flatMap(({ attempts }) => attempts)
  }

  #stallsOf (box: string): Stall[] {
    const pauses = this.#fleet.boxes.find(({ addresses }) => addresses.front === box)?.pauses ?? []
    return [...pauses, ...this.#stalls.stalls]
  }

  #stoodStill ({ box, sentAtMs, endedAtMs = Number.POSITIVE_INFINITY }: Attempt): boolean {
    return overlaps(this.#stallsOf(box), sentAtMs, endedAtMs)
  }

  #isUnharmed (box: string, instances: readonly string[], within: Stall, kinds?: readonly HarmKind[]): boolean {
    const subjects = [box, ...instances.map((instance) => this.#fleet.placeNameOf(instance))]
    return this.#fleet.harms.isUnharmed(subjects, within, kinds) && !overlaps(this.#stallsOf(box), within.fromMs, within.toMs)
  }

  async #keepSending (client: SoakClient): Promise<void> {
    while (this.#sending) {
      const attempt = await client.send()
      if (attempt) this.#ended.push(attempt)
      await sleep(this.#random.nextFloat() * LONGEST_PAUSE_MS)
    }
  }

  /** Asks boxes for the routes of the newest configuration and of the one before it, all the while. */
  async #keepProbing (): Promise<void> {
    while (this.#sending) {
      const { newestVersion } = this.#fleet
      const version = Math.max(1, drawOne(this.#random, [newestVersion, newestVersion - 1]))
      await this.#probe(drawOne(this.#random, this.#fleet.boxes), version)
      await sleep(PROBE_GAP_MS)
    }
  }

  /** Tries keys that are declared, or were until a moment ago, at all boxes and all the while. */
  async #keepTryingKeys (): Promise<void> {
    while (this.#sending) {
      const version = Math.max(1, this.#fleet.newestVersion - this.#keyRandom.nextInt(VERSIONS_TRIED))
      const probe = { id: `key-${this.#keyProbes.length}`, version, sentAtMs: performance.now() }
      this.#keyProbes.push(probe)
      await this.#fleet.callWithKeyOf(version, drawOne(this.#keyRandom, this.#fleet.boxes), probe.id)
      await sleep(PROBE_GAP_MS)
    }
  }

  async #probe (box: SoakBox, version: number): Promise<void> {
    const probe = { id: `probe-${this.#probes.length}`, box: box.addresses.front, life: `${box.name}#${box.process.pid}`, version, sentAtMs: performance.now(), endedAtMs: 0, status: 0 }
    this.#probes.push(probe)
    probe.status = await this.#fleet.probe(box, version, probe.id)
    probe.endedAtMs = performance.now()
  }

  async #trouble (): Promise<void> {
    const untilMs = performance.now() + TROUBLE_MS
    const count = KINDS_A_ROUND.least + Math.floor(this.#faultRandom.nextFloat() * (KINDS_A_ROUND.most - KINDS_A_ROUND.least + 1))
    const drawn = this.#faultRandom.sample(Object.values(FaultKind), count)
    const kinds = this.#opts.kinds ?? drawn
    while (performance.now() < untilMs) {
      this.#faults.begin(kinds)
      await sleep(this.#faultRandom.nextFloat() * LONGEST_GAP_MS)
    }
    await this.#faults.over()
    await this.#waitReady()
    await this.#faults.restoreStore(Math.round(this.#restoreRandom.nextFloat() * LONGEST_AWAY_MS))
  }

  async #timed (part: string, work: () => Promise<unknown>): Promise<void> {
    const fromMs = performance.now()
    await work()
    this.#tookMs[part] = Math.round((this.#tookMs[part] ?? 0) + performance.now() - fromMs)
  }

  async #waitReady (): Promise<void> {
    const waiting = await this.#fleet.waitReady(READY_LIMIT_MS)
    if (waiting.length > 0) throw new Error(`not ready after ${READY_LIMIT_MS} ms: ${waiting.map(({ name }) => name).join(', ')}`)
  }

  /** Planned work only, so that every box is judged. */
  async #calm (): Promise<void> {
    await sleep(CONTACT_MS)
    await Promise.all([
      this.#publishSome(),
      this.#faults.leave(drawOne(this.#random, this.#fleet.places)),
      this.#stopSome(),
      this.#limitOne(),
      this.#refuseAndLeaveUnlisted(),
    ])
  }

  async #limitOne (): Promise<void> {
    await this.#fleet.limit(drawOne(this.#limitRandom, this.#fleet.places), drawOne(this.#limitRandom, LIMITS_PER_SECOND), LIMITED_MS)
  }

  /** One upstream refuses for a while, another one is draining. */
  async #refuseAndLeaveUnlisted (): Promise<void> {
    const staying = this.#fleet.places.filter(({ leaving }) => !leaving)
    const draining = drawOne(this.#signalRandom, staying)
    const refusing = drawOne(this.#signalRandom, staying.filter((place) => place !== draining))
    await Promise.all([this.#faults.leaveUnlisted(draining), this.#fleet.refuse(refusing, BACKOFF_MS, REFUSING_MS)])
  }

  async #publishSome (): Promise<void> {
    for (let i = 0; i < PUBLICATIONS; i++) {
      this.#fleet.publish()
      await sleep(PUBLISH_GAP_MS)
    }
  }

  async #stopSome (): Promise<void> {
    for (let stops = 0; stops < PLANNED_STOPS; stops++) {
      const box = drawOne(this.#random, this.#fleet.boxes)
      await this.#waitBusy(box)
      await this.#faults.stopBox(box)
      await this.#waitReady()
    }
  }

  #isBusy ({ addresses }: SoakBox): boolean {
    const isRunningThere = ({ box, sentAtMs, endedAtMs }: Attempt) => box === addresses.front && endedAtMs === undefined && performance.now() - sentAtMs > BUSY_AFTER_MS
    return this.#clients.some(({ attempts }) => attempts.slice(-1).some(isRunningThere))
  }

  /** Resolves while the box answers a request, so that a stop has something to cut. */
  async #waitBusy (box: SoakBox): Promise<void> {
    for (let waitedMs = 0; waitedMs < BUSY_LIMIT_MS; waitedMs += BUSY_POLL_MS) {
      if (this.#isBusy(box)) return
      await sleep(BUSY_POLL_MS)
    }
    this.violations.push(`${box.name} got no request for ${BUSY_LIMIT_MS} ms`)
  }

  async #checkRecovery (): Promise<void> {
    const from = this.#ended.length
    while (this.#ended.length < from + RECOVERY_ATTEMPTS) await sleep(LONGEST_PAUSE_MS)
    const stayed = this.#ended.slice(from).filter(({ leftAtMs }) => leftAtMs === undefined)
    const served = stayed.filter(({ status, error }) => status === 200 && error === undefined).length
    if (served < RECOVERY_SHARE * stayed.length) this.violations.push(`after the last fault only ${served} of ${stayed.length} attempts were served`)
  }
}
