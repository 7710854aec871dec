import { setTimeout as sleep } from 'node:timers/promises'
import { SeededRandom } from '@reelspan/utils.fakes'
import { type Attempt, RouteKind } from './attempt.js'
import { checkHistory } from './checkHistory.js'
import { SoakClient } from './client.js'
import { drawOne } from './drawOne.js'
import { Faults } from './faults.js'
import { groupBy } from './groupBy.js'
import { type SoakBox, SoakFleet } from './soakFleet.js'
import { overlaps, StallWatch } from './stallWatch.js'

export interface SoakOptions {
  seed: number
  boxes: number
  clients: number
  /** Rounds of faults, each followed by a calm in which what has a bound is checked. */
  rounds: number
}

export interface SoakResult {
  attempts: number
  /** Attempts by their status, or `broken`. */
  outcomes: Record<string, number>
  faults: string[]
  violations: string[]
  /** How long each part took. */
  tookMs: Record<string, number>
  /** What each box wrote. */
  logs: Record<string, string>
}

const PROBE_KIND = RouteKind.Repeatable
/** A check that a stall of the machine spoilt is made again so often. */
const MOST_TRIES = 3
/** A start takes about a second; this leaves room for a machine that is busy with other tests. */
const READY_LIMIT_MS = 40_000
const PROBE_DEADLINE_MS = 1500
const TROUBLE_MS = 5000
const LONGEST_GAP_MS = 700
/** This long after the last fault, bounds hold. */
const CONTACT_MS = 3000
const CONFIGURATION_BOUND_MS = 2000
const LEAVING_BOUND_MS = 2000
/** How long an upstream that leaves is watched for arrivals. */
const LEAVING_WATCH_MS = 800
/** Boxes that are stopped as planned in each calm, one after the other. */
const PLANNED_STOPS = 2
/** A request that was sent this long ago is with an upstream, most likely. */
const BUSY_AFTER_MS = 15
const BUSY_POLL_MS = 5
/** Clients ask anew which boxes to use every two seconds. */
const BUSY_LIMIT_MS = 5000
const LONGEST_PAUSE_MS = 80
/** Prefill results that nobody takes lapse by then. */
const HANDLES_GONE_MS = 1500
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
  readonly #opts: SoakOptions
  readonly #faults: Faults
  readonly #clients: SoakClient[]
  readonly #ended: Attempt[] = []
  readonly #probes: Attempt[] = []
  /** Unset while there is trouble. */
  #calmSinceMs?: number
  #sending = true
  readonly #stalls: StallWatch
  readonly #tookMs: Record<string, number> = {}

  constructor (fleet: SoakFleet, random: SeededRandom, opts: SoakOptions) {
    this.#fleet = fleet
    this.#random = random
    this.#opts = opts
    this.#stalls = new StallWatch(fleet.boxes)
    this.#faults = new Faults({ fleet, random, violation: (text) => this.violations.push(text) })
    const isCalm = () => this.#calmSinceMs !== undefined && performance.now() - this.#calmSinceMs > CONTACT_MS
    this.#clients = Array.from({ length: opts.clients }, (_, i) => new SoakClient(`c${i}`, { random, boxes: fleet.boxes, isCalm }))
  }

  async play (): Promise<void> {
    this.#calmSinceMs = performance.now()
    const sending = this.#clients.map((client) => this.#keepSending(client))
    try {
      for (let round = 0; round < this.#opts.rounds; round++) {
        await this.#timed('trouble', () => this.#trouble())
        await this.#timed('calm', () => this.#calm())
      }
      await this.#timed('recovery', () => this.#checkRecovery())
    } finally {
      this.#stalls.stop()
      this.#sending = false
      await this.#timed('ends', () => Promise.all(sending))
      await Promise.all(this.#clients.map((client) => client.close()))
    }
    await sleep(HANDLES_GONE_MS)
    if (this.#fleet.handles.size > 0) this.violations.push(`${this.#fleet.handles.size} prefill results are held for nobody`)
    this.#attempts().forEach((attempt) => { attempt.stoodStill = this.#stoodStill(attempt) })
    this.violations.push(...checkHistory([...this.#attempts(), ...this.#probes], this.#fleet.runs))
  }

  result (): SoakResult {
    const attempts = this.#attempts()
    const outcomes = groupBy(attempts, ({ status, error }) => error === undefined ? String(status) : 'broken')
    return {
      attempts: attempts.length,
      outcomes: Object.fromEntries([...outcomes].map(([outcome, those]) => [outcome, those.length])),
      faults: this.#faults.log,
      tookMs: this.#tookMs,
      violations: this.violations,
      logs: Object.fromEntries(this.#fleet.boxes.map(({ name, process, pastOutput }) => [name, pastOutput + process.output])),
    }
  }

  #attempts (): Attempt[] {
    return this.#clients.flatMap(({ attempts }) => attempts)
  }

  #stoodStill ({ box, sentAtMs, endedAtMs = Number.POSITIVE_INFINITY }: Attempt): boolean {
    const pauses = this.#fleet.boxes.find(({ addresses }) => addresses.front === box)?.pauses ?? []
    return overlaps([...pauses, ...this.#stalls.stalls], sentAtMs, endedAtMs)
  }

  #stalledAnywhere (fromMs: number, toMs: number): boolean {
    return overlaps([...this.#stalls.stalls, ...this.#fleet.boxes.flatMap(({ pauses }) => pauses)], fromMs, toMs)
  }

  /** Runs a check of something that has a bound in time. It is made again where the machine stood still meanwhile. */
  async #bounded (check: () => Promise<string[]>): Promise<void> {
    for (let tries = 1; ; tries++) {
      const fromMs = performance.now()
      const found = await check()
      if (found.length === 0) return
      if (tries === MOST_TRIES || !this.#stalledAnywhere(fromMs, performance.now())) {
        this.violations.push(...found)
        return
      }
    }
  }

  async #keepSending (client: SoakClient): Promise<void> {
    while (this.#sending) {
      const attempt = await client.send()
      if (attempt) this.#ended.push(attempt)
      await sleep(this.#random.nextFloat() * LONGEST_PAUSE_MS)
    }
  }

  async #trouble (): Promise<void> {
    this.#calmSinceMs = undefined
    const untilMs = performance.now() + TROUBLE_MS
    while (performance.now() < untilMs) {
      this.#faults.begin()
      await sleep(this.#random.nextFloat() * LONGEST_GAP_MS)
    }
    await this.#faults.over()
    await this.#waitReady()
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

  /** Planned work only. What has a bound is checked once the trouble is long enough ago. */
  async #calm (): Promise<void> {
    this.#calmSinceMs = performance.now()
    await sleep(CONTACT_MS)
    await this.#bounded(() => this.#checkConfiguration())
    await this.#bounded(() => this.#checkLeaving())
    for (let stops = 0; stops < PLANNED_STOPS; stops++) {
      const box = drawOne(this.#random, this.#fleet.boxes)
      await this.#waitBusy(box)
      await this.#faults.stopBox(box)
      await this.#waitReady()
    }
  }

  /** Resolves while the box answers a request, so that a stop has something to cut. */
  async #waitBusy ({ name, addresses }: SoakBox): Promise<void> {
    const isRunningThere = ({ box, sentAtMs, endedAtMs }: Attempt) => box === addresses.front && endedAtMs === undefined && performance.now() - sentAtMs > BUSY_AFTER_MS
    for (let waitedMs = 0; waitedMs < BUSY_LIMIT_MS; waitedMs += BUSY_POLL_MS) {
      if (this.#clients.some(({ attempts }) => attempts.slice(-1).some(isRunningThere))) return
      await sleep(BUSY_POLL_MS)
    }
    this.violations.push(`${name} got no request for ${BUSY_LIMIT_MS} ms`)
  }

  async #checkConfiguration (): Promise<string[]> {
    const old = this.#fleet.publish()
    await sleep(CONFIGURATION_BOUND_MS)
    const path = this.#fleet.publish()
    await sleep(CONFIGURATION_BOUND_MS)
    const found = await Promise.all(this.#fleet.boxes.map(async (box) => {
      const [added, removed] = await Promise.all([this.#probe(box.name, path), this.#probe(box.name, old)])
      return [
        ...added === 404 ? [`${box.name} does not know ${path} ${CONFIGURATION_BOUND_MS} ms after it was published`] : [],
        ...removed === 404 ? [] : [`${box.name} still knows ${old} ${CONFIGURATION_BOUND_MS} ms after it was removed (${removed})`],
      ]
    }))
    return found.flat()
  }

  async #probe (boxName: string, path: string): Promise<number> {
    const box = this.#fleet.boxes.find(({ name }) => name === boxName)
    const id = `probe-${this.#probes.length}`
    const sentAtMs = performance.now()
    const status = box ? await this.#fleet.probe(box, path, id) : 0
    this.#probes.push({ id, kind: PROBE_KIND, box: boxName, sentAtMs, deadlineMs: PROBE_DEADLINE_MS, endedAtMs: performance.now(), status, body: `done ${id}`, retryAfter: '' })
    return status
  }

  /** An upstream says that it leaves: after the bound nothing new arrives there. */
  async #checkLeaving (): Promise<string[]> {
    const place = drawOne(this.#random, this.#fleet.places)
    const { instance } = place
    place.leaving = true
    this.#fleet.announce(place)
    await sleep(LEAVING_BOUND_MS)
    const boundMs = performance.now()
    await sleep(LEAVING_WATCH_MS)
    const late = this.#fleet.runsAt(instance, boundMs)
    await this.#fleet.crash(place)
    await this.#fleet.revive(place)
    return late.length === 0 ? [] : [`${instance} got ${late.map(({ id }) => id).join(', ')} more than ${LEAVING_BOUND_MS} ms after it began to leave`]
  }

  async #checkRecovery (): Promise<void> {
    const from = this.#ended.length
    while (this.#ended.length < from + RECOVERY_ATTEMPTS) await sleep(LONGEST_PAUSE_MS)
    const served = this.#ended.slice(from).filter(({ status, error }) => status === 200 && error === undefined).length
    if (served < RECOVERY_SHARE * RECOVERY_ATTEMPTS) this.violations.push(`after the last fault only ${served} of ${RECOVERY_ATTEMPTS} attempts were served`)
  }
}
