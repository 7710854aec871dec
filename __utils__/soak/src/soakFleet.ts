import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { FleetProcess } from '@reelspan/utils.bench'
import { type SeededRandom } from '@reelspan/utils.fakes'
import { type BoxAddresses, enterUpstream, HandleTable, listedInstances, publishRoutes, type ReceivedHead, removeUpstream, requestHeaders, Role, settingsFileText, StandInStore, StandInUpstream, type UpstreamArrival, type UpstreamRun } from '@reelspan/utils.platform-stand-ins'
import { Agent, request } from 'undici'
import { REVOKE_MS } from './checkKeys.js'
import { type Departure, type PlannedStop, type Publication } from './checkBounds.js'
import { type Naming } from './checkLimits.js'
import { type Draining, type Refusing } from './checkSignals.js'
import { FaultProxy } from './faultProxy.js'
import { HarmKind, HarmLog } from './harmLog.js'
import { PORT_SHIFT } from './listenBehindProxy.js'
import { shapeOfId } from './requestShape.js'
import { type Stall } from './stallWatch.js'

const REELSPAN = fileURLToPath(import.meta.resolve('reelspan').replace('lib/index.js', 'bin/reelspan.js'))
const LISTEN_BEHIND_PROXY = new URL('./listenBehindProxy.js', import.meta.url).href
const ZONES = ['hall-a', 'hall-b', 'hall-c']
/** The account of all callers, and the key that they send. */
export const ACCOUNT = 'callers'
export const CALLERS_KEY = 'key-of-all-callers'
const ACCOUNT_SETTINGS = ['contracts=tenants', 'bounds.strict_revoke=true', `bounds.revoke_ms=${REVOKE_MS}`]
const PORTS = { front: 8149, ready: 8141, control: 8144, directory: 8143 }
const SEEDS = 3
const START_LIMIT_MS = 30_000
/** Processes that start at once share the machine's cores. */
const START_LIMIT_PER_BOX_MS = 500
const POLL_MS = 50
const HEARTBEAT_MS = 1000
const SERVICE_WORK_MS = 20
const EVENT_PAUSE_MS = 15
const HANDLE_LIFE_MS = 500
const REFUSED_SHARE = 0.01
const LOST_ANSWER_SHARE = 0.01
/** The platform starts a process that has ended by itself again after so long. */
const RESTART_MS = 200
/** The platform ends a process that has not stopped by then. */
const GRACE_MS = 8000
/** An upstream that leaves goes on for so long at most, for what it runs. */
const LONGEST_RUN_MS = 7000
const PROBE_TIMEOUT_MS = 1500
/** Networks of one process lie this far apart, to keep clear of those of processes with near ids. */
const NETWORK_STEP = 97

let fleets = 0
const running = new Set<SoakFleet>()

/** Ends the processes of all fleets that run, for a harness that is told to end. */
export async function stopFleets (): Promise<void> {
  await Promise.all([...running].map((fleet) => fleet.stop()))
}

export interface SoakBox {
  name: string
  zone: string
  addresses: BoxAddresses
  process: FleetProcess
  /** Its way to the store. */
  storePath: FaultProxy
  /** The way of the other boxes to it. */
  peerPath: FaultProxy
  /** Times for which its process stood still, on `performance.now()`. */
  pauses: Stall[]
  /** What its earlier processes wrote. */
  pastOutput: string
}

/** A place for an upstream. Its proxy keeps the address over restarts. */
export interface UpstreamPlace {
  name: string
  role: Role
  proxy: FaultProxy
  upstream: StandInUpstream
  instance: string
  listed: boolean
  leaving: boolean
  sequence: number
}

/** Boxes as processes, and the platform's store and upstreams as stand-ins behind proxies. */
export class SoakFleet {
  readonly boxes: SoakBox[] = []
  readonly places: UpstreamPlace[] = []
  readonly store = new StandInStore()
  readonly handles = new HandleTable()
  readonly harms = new HarmLog()
  readonly departures: Departure[] = []
  readonly publications: Publication[] = []
  readonly stops: PlannedStop[] = []
  /** Limits that upstreams named. One that is named now has no end yet. */
  readonly namings: Naming[] = []
  /** Upstreams that advertise draining, which their entries do not show. */
  readonly draining: Draining[] = []
  /** Times in which upstreams refuse everything. One that goes on has no end yet. */
  readonly refusing: Refusing[] = []
  /** Times throughout which the store's reads were stale, or those of a copy whose loss was not written again yet. */
  readonly staleReads: Stall[] = []
  /** What boxes did that they may not do, whatever happens to them. */
  readonly problems: string[] = []
  readonly #past: StandInUpstream[] = []
  readonly #placeOf = new Map<string, string>()
  /** Processes that were told to end. */
  readonly #toldToEnd = new WeakSet<FleetProcess>()
  readonly #agent = new Agent()
  readonly #random: SeededRandom
  readonly #folder: string
  readonly #subnet: string
  readonly #zones: readonly string[]
  #storeAddress = ''
  #incarnations = 0
  #heartbeat?: NodeJS.Timeout
  #stopping = false

  private constructor (random: SeededRandom, folder: string) {
    this.#random = random
    this.#folder = folder
    // Loopback addresses of this run alone, so that runs beside it, in this process or others, do not meet.
    this.#subnet = `127.${10 + process.pid % 200}.${1 + (Math.floor(process.pid / 200) + NETWORK_STEP * fleets++) % 200}`
    // In a single zone only some boxes watch the store, and the others hear from them.
    this.#zones = random.nextFloat() < 0.5 ? ZONES : ZONES.slice(0, 1)
  }

  static async start (random: SeededRandom, boxCount: number): Promise<SoakFleet> {
    const fleet = new SoakFleet(random, await mkdtemp(join(tmpdir(), 'reelspan-soak-')))
    running.add(fleet)
    try {
      await fleet.#start(boxCount)
      return fleet
    } catch (thrown) {
      await fleet.stop()
      throw thrown
    }
  }

  /** Everything that upstreams ran, those that are gone included. */
  get runs (): UpstreamRun[] {
    return this.#upstreams.flatMap(({ runs }) => runs)
  }

  get arrivals (): UpstreamArrival[] {
    return this.#upstreams.flatMap(({ arrivals }) => arrivals)
  }

  get newestVersion (): number {
    return this.publications.length
  }

  get #upstreams (): StandInUpstream[] {
    return [...new Set([...this.#past, ...this.places.map(({ upstream }) => upstream)])]
  }

  /** The place of an incarnation, by which harm to its path is noted. */
  placeNameOf (instance: string): string {
    return this.#placeOf.get(instance) ?? ''
  }

  /** Publishes a configuration whose probe route has a new path. */
  publish (): void {
    const version = this.newestVersion + 1
    const path = this.#write(version)
    this.publications.push({ version, path, atMs: performance.now() })
  }

  /** Operator and upstreams write again what the store lost when it came back from a copy. */
  writeAgain (): void {
    this.#write(this.newestVersion)
    const listed = this.places.filter((place) => place.listed)
    const present = new Set(listed.map(({ instance }) => instance))
    const inCopy = new Set(listedInstances(this.store))
    const ended = [...inCopy].filter((instance) => !present.has(instance))
    ended.forEach((instance) => removeUpstream(this.store, instance))
    listed.filter(({ instance, leaving }) => leaving || !inCopy.has(instance)).forEach((place) => this.announce(place))
  }

  #write (version: number): string {
    return publishRoutes(this.store, version, { name: ACCOUNT, keys: [CALLERS_KEY, keyOf(version)] })
  }

  /** Heads of everything that upstreams received. */
  get received (): ReceivedHead[] {
    return this.#upstreams.flatMap(({ received }) => received)
  }

  /** Calls a service with the key of one version. */
  async callWithKeyOf (version: number, box: SoakBox, id: string): Promise<void> {
    await this.#get(box, '/fetch/status/x', requestHeaders(id, { key: keyOf(version) }))
  }

  /** The status that a box answers to a call of a version's own route, 0 when there is no answer. */
  async probe (box: SoakBox, version: number, id: string): Promise<number> {
    const { path } = this.publications[version - 1]
    return this.#get(box, `${path}x`, requestHeaders(id, { key: CALLERS_KEY }))
  }

  async #get (box: SoakBox, path: string, headers: Record<string, string>): Promise<number> {
    try {
      const response = await request(`http://${box.addresses.front}${path}`, { headers, dispatcher: this.#agent, signal: AbortSignal.timeout(PROBE_TIMEOUT_MS) })
      await response.body.dump()
      return response.statusCode
    } catch {
      // A box that is down or paused; what it says matters only where it answers.
      return 0
    }
  }

  /** An upstream leaves: it says so, or its entry just goes, and it serves on. */
  depart (place: UpstreamPlace, { saysSo }: { saysSo: boolean }): void {
    place.leaving = true
    place.listed = saysSo
    if (saysSo) this.announce(place)
    else removeUpstream(this.store, place.instance)
    this.departures.push({ instance: place.instance, atMs: performance.now() })
  }

  /** An upstream names a limit in its answers for a while. */
  async limit ({ instance }: UpstreamPlace, perSecond: number, durationMs: number): Promise<void> {
    const naming = { instance, perSecond, fromMs: performance.now(), toMs: Number.POSITIVE_INFINITY }
    this.namings.push(naming)
    await sleep(durationMs)
    naming.toMs = performance.now()
  }

  /** An upstream says in its responses alone that it is draining. */
  advertiseDraining ({ instance }: UpstreamPlace): void {
    this.draining.push({ instance, fromMs: performance.now() })
  }

  /** An upstream refuses everything for a while, and asks each box that it refuses to wait. */
  async refuse ({ instance }: UpstreamPlace, waitMs: number, durationMs: number): Promise<void> {
    const refusing = { instance, waitMs, fromMs: performance.now(), toMs: Number.POSITIVE_INFINITY }
    this.refusing.push(refusing)
    await sleep(durationMs)
    refusing.toMs = performance.now()
  }

  #headersOf (instance: string): Record<string, string> {
    const isNow = (one: Naming | Refusing) => one.instance === instance && one.toMs === Number.POSITIVE_INFINITY
    const naming = this.namings.find(isNow)
    const refusing = this.refusing.find(isNow)
    return {
      ...naming ? { 'Server-Limit': naming.perSecond.toString() } : {},
      ...refusing ? { 'Retry-After': (refusing.waitMs / 1000).toString() } : {},
      ...this.draining.some((one) => one.instance === instance) ? { 'Server-Leaving': '1' } : {},
    }
  }

  /** Resolves when an upstream runs nothing, or has been given long enough for it. */
  async waitIdle ({ upstream }: UpstreamPlace): Promise<void> {
    const untilMs = performance.now() + LONGEST_RUN_MS
    while (performance.now() < untilMs && upstream.runs.some(({ endedAtMs }) => endedAtMs === undefined)) await sleep(POLL_MS)
  }

  /** Ends an upstream at once; its entry goes later. */
  async crash (place: UpstreamPlace): Promise<void> {
    place.listed = false
    place.upstream.stop()
    this.#past.push(place.upstream)
  }

  /** Starts a new incarnation in a place. */
  async revive (place: UpstreamPlace): Promise<void> {
    removeUpstream(this.store, place.instance)
    place.instance = this.#nameInstance(place.name)
    place.upstream = await this.#startUpstream(place.role, place.instance)
    place.listed = true
    place.leaving = false
    this.announce(place)
  }

  announce (place: UpstreamPlace): void {
    enterUpstream(this.store, { ...place, address: place.proxy.address })
  }

  /** Starts a box that is not running. */
  startBox (box: SoakBox): void {
    if (box.process?.running) return
    if (box.process) box.pastOutput += box.process.output
    const started = new FleetProcess(box.name, REELSPAN, ['serve', '--platform'], {
      REELSPAN_BOOT: this.#settingsPath(box.name),
      NODE_OPTIONS: `${process.env.NODE_OPTIONS ?? ''} --import=${LISTEN_BEHIND_PROXY}`,
      SOAK_PROXIED_PORT: String(PORTS.control),
    })
    box.process = started
    void started.waitExit().then((code) => this.#exited(box, started, code))
  }

  async killBox ({ process }: SoakBox): Promise<void> {
    this.#toldToEnd.add(process)
    await process.kill()
  }

  /** A planned stop as the platform does it: what has not ended within the grace is killed. */
  async stopBox (box: SoakBox, onLate: () => void): Promise<void> {
    const { process, addresses } = box
    // The platform asks once. A box takes a second SIGTERM as an order to end at once.
    if (this.#toldToEnd.has(process)) return
    this.#toldToEnd.add(process)
    this.stops.push({ box: addresses.front, atMs: performance.now() })
    const over = this.harms.begin(addresses.front, HarmKind.Planned)
    process.signal('SIGTERM')
    const late = sleep(GRACE_MS, 'late', { ref: false })
    if (await Promise.race([process.waitExit(), late]) === 'late') {
      onLate()
      await process.kill()
    }
    this.startBox(box)
    over()
  }

  /** Writes the settings again, with other seeds. */
  async changeSettings (box: SoakBox): Promise<void> {
    const seeds = this.#random.sample(this.boxes, SEEDS).map(({ addresses }) => addresses.control)
    await writeFile(this.#settingsPath(box.name), settingsFileText({ ...box, seeds, store: box.storePath.address }, ACCOUNT_SETTINGS))
  }

  async isReady ({ addresses }: SoakBox): Promise<boolean> {
    const response = await request(`http://${addresses.ready}/v1/readiness`, { dispatcher: this.#agent, signal: AbortSignal.timeout(1000) }).catch(() => undefined)
    await response?.body.dump()
    return response?.statusCode === 200
  }

  /** Resolves once every box is ready, or with those that are not by then. */
  async waitReady (limitMs: number): Promise<SoakBox[]> {
    const untilMs = performance.now() + limitMs
    let waiting = [...this.boxes]
    while (waiting.length > 0 && performance.now() < untilMs) {
      const ready = await Promise.all(waiting.map((box) => this.isReady(box)))
      waiting = waiting.filter((_, i) => !ready[i])
      await sleep(POLL_MS)
    }
    return waiting
  }

  /** Ends the processes that this fleet started, and no others. */
  async stop (): Promise<void> {
    this.#stopping = true
    running.delete(this)
    clearInterval(this.#heartbeat)
    await Promise.all(this.boxes.map((box) => box.process?.running ? this.killBox(box) : undefined))
    this.places.forEach(({ proxy, upstream }) => {
      proxy.stop()
      upstream.stop()
    })
    this.boxes.forEach(({ storePath, peerPath }) => {
      storePath.stop()
      peerPath.stop()
    })
    this.store.stop()
    await this.#agent.destroy()
    await rm(this.#folder, { recursive: true, force: true })
  }

  async #start (boxCount: number): Promise<void> {
    this.#storeAddress = await this.store.start()
    this.store.itemsPerPage = 100
    this.store.era = 0
    const roles = [Role.Prefill, Role.Prefill, Role.Decode, Role.Decode, Role.Decode, Role.Service, Role.Service, Role.Service]
    await Promise.all(roles.map((role, i) => this.#addPlace(role, `${role}-${i}`)))
    this.publish()
    this.#heartbeat = setInterval(() => this.#beat(), HEARTBEAT_MS)
    for (let i = 0; i < boxCount; i++) this.boxes.push(await this.#describeBox(i))
    await Promise.all(this.boxes.map(async (box) => {
      await this.changeSettings(box)
      this.startBox(box)
    }))
    const waiting = await this.waitReady(START_LIMIT_MS + boxCount * START_LIMIT_PER_BOX_MS)
    if (waiting.length > 0) throw new Error(`did not start: ${waiting.map(({ name, process }) => `${name}: ${process.output.slice(-500)}`).join('\n')}`)
  }

  async #describeBox (i: number): Promise<SoakBox> {
    const host = `${this.#subnet}.${i + 1}`
    const addresses = { front: `${host}:${PORTS.front}`, ready: `${host}:${PORTS.ready}`, control: `${host}:${PORTS.control}`, directory: `${host}:${PORTS.directory}` }
    const storePath = new FaultProxy(() => this.#storeAddress)
    const peerPath = new FaultProxy(() => `${host}:${PORTS.control + PORT_SHIFT}`)
    await storePath.start()
    await peerPath.start(addresses.control)
    return { name: `box-${i + 1}`, zone: this.#zones[i % this.#zones.length], addresses, process: undefined as unknown as FleetProcess, storePath, peerPath, pauses: [], pastOutput: '' }
  }

  /** The platform starts a process again that ended by itself. One that ends with a code of its own is a fault. */
  #exited (box: SoakBox, ended: FleetProcess, code: number | null): void {
    if (this.#stopping || this.#toldToEnd.has(ended)) return
    // A SIGHUP ends a process that has not come to listen for it yet.
    if (code !== null) this.problems.push(`${box.name} ended by itself with code ${code}: ${ended.output.slice(-500)}`)
    const over = this.harms.begin(box.addresses.front)
    setTimeout(() => {
      if (!this.#stopping) this.startBox(box)
      over()
    }, RESTART_MS)
  }

  async #addPlace (role: Role, name: string): Promise<void> {
    const instance = this.#nameInstance(name)
    const place: UpstreamPlace = { name, role, proxy: new FaultProxy(() => place.upstream.address), upstream: await this.#startUpstream(role, instance), instance, listed: true, leaving: false, sequence: 0 }
    await place.proxy.start()
    this.places.push(place)
    this.announce(place)
  }

  #nameInstance (placeName: string): string {
    const instance = `i-${placeName}-${this.#incarnations++}`
    this.#placeOf.set(instance, placeName)
    return instance
  }

  async #startUpstream (role: Role, instance: string): Promise<StandInUpstream> {
    const draws = (share: number) => () => this.#random.nextFloat() < share
    const refusesByChance = draws(REFUSED_SHARE)
    const upstream = new StandInUpstream(role, {
      instance,
      workMs: role === Role.Service ? SERVICE_WORK_MS : EVENT_PAUSE_MS,
      shapeOf: shapeOfId,
      handles: this.handles,
      handleLifeMs: HANDLE_LIFE_MS,
      refuses: () => refusesByChance() || this.refusing.some((one) => one.instance === instance && one.toMs === Number.POSITIVE_INFINITY),
      losesAnswer: draws(LOST_ANSWER_SHARE),
      advertises: () => this.#headersOf(instance),
    })
    await upstream.start()
    return upstream
  }

  /** Upstreams show that they live. */
  #beat (): void {
    this.places.filter(({ listed }) => listed).forEach((place) => {
      place.sequence++
      this.announce(place)
    })
  }

  #settingsPath (boxName: string): string {
    return join(this.#folder, `${boxName}.conf`)
  }
}

/** The key that is declared in one version alone. */
export function keyOf (version: number): string {
  return `key-of-version-${version}`
}
