import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { FleetProcess } from '@reelspan/utils.bench'
import { type SeededRandom } from '@reelspan/utils.fakes'
import { type BoxAddresses, enterUpstream, HandleTable, publishRoutes, removeUpstream, requestHeaders, Role, settingsFileText, StandInStore, StandInUpstream, type UpstreamRun } from '@reelspan/utils.platform-stand-ins'
import { Agent, request } from 'undici'
import { FaultProxy } from './faultProxy.js'
import { type Stall } from './stallWatch.js'

const REELSPAN = fileURLToPath(import.meta.resolve('reelspan').replace('lib/index.js', 'bin/reelspan.js'))
const ZONES = ['hall-a', 'hall-b', 'hall-c']
const PORTS = { front: 8149, ready: 8141, control: 8144, directory: 8143 }
const SEEDS = 3
const START_LIMIT_MS = 30_000
const POLL_MS = 50
const HEARTBEAT_MS = 1000
const SERVICE_WORK_MS = 20
const EVENT_PAUSE_MS = 15
const HANDLE_LIFE_MS = 500
const REFUSED_SHARE = 0.01
const LOST_ANSWER_SHARE = 0.01

export interface SoakBox {
  name: string
  zone: string
  addresses: BoxAddresses
  process: FleetProcess
  /** Times for which its process stood still, on `performance.now()`. */
  pauses: Stall[]
  /** What its earlier processes wrote. */
  pastOutput: string
}

/** A place for an upstream. Its proxy keeps the address over restarts. */
interface UpstreamPlace {
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
  /** Two ways to the store, each used by half of the boxes. */
  readonly storePaths: FaultProxy[] = []
  readonly handles = new HandleTable()
  readonly #past: StandInUpstream[] = []
  readonly #agent = new Agent()
  readonly #random: SeededRandom
  readonly #folder: string
  readonly #subnet: string
  #storeAddress = ''
  #incarnations = 0
  #version = 0
  #heartbeat?: NodeJS.Timeout

  private constructor (random: SeededRandom, folder: string) {
    this.#random = random
    this.#folder = folder
    // Loopback addresses of this run alone, so that runs beside it do not meet.
    this.#subnet = `127.${10 + process.pid % 200}.${1 + Math.floor(process.pid / 200) % 200}`
  }

  static async start (random: SeededRandom, boxCount: number): Promise<SoakFleet> {
    const fleet = new SoakFleet(random, await mkdtemp(join(tmpdir(), 'reelspan-soak-')))
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
    return [...this.#past, ...this.places.map(({ upstream }) => upstream)].flatMap(({ runs }) => runs)
  }

  /** Runs of an incarnation that began after a time. */
  runsAt (instance: string, afterMs: number): UpstreamRun[] {
    return this.runs.filter((run) => run.instance === instance && run.beganAtMs > afterMs)
  }

  /** Publishes a configuration whose probe route has a new path. Answers that path. */
  publish (): string {
    this.#version++
    return publishRoutes(this.store, this.#version)
  }

  /** The status that a box answers to a call of a path. */
  async probe (box: SoakBox, path: string, id: string): Promise<number> {
    const response = await request(`http://${box.addresses.front}${path}x`, { headers: requestHeaders(id, {}), dispatcher: this.#agent, signal: AbortSignal.timeout(1500) })
    await response.body.dump()
    return response.statusCode
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
    place.instance = `i-${place.name}-${++this.#incarnations}`
    place.upstream = await this.#startUpstream(place.role, place.instance)
    place.listed = true
    place.leaving = false
    this.announce(place)
  }

  announce (place: UpstreamPlace): void {
    enterUpstream(this.store, { ...place, address: place.proxy.address })
  }

  startBox (box: SoakBox): void {
    if (box.process) box.pastOutput += box.process.output
    box.process = new FleetProcess(box.name, REELSPAN, ['serve', '--platform'], { REELSPAN_BOOT: this.#settingsPath(box.name) })
  }

  /** Writes the settings again, with other seeds. */
  async changeSettings (box: SoakBox): Promise<void> {
    const seeds = this.#random.sample(this.boxes, SEEDS).map(({ addresses }) => addresses.control)
    const store = this.storePaths[this.boxes.indexOf(box) % this.storePaths.length].address
    await writeFile(this.#settingsPath(box.name), settingsFileText({ ...box, seeds, store }))
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
      // The platform starts what has ended again. A SIGHUP ends a process that has not come to listen for it yet.
      waiting.filter(({ process }) => !process.running).forEach((box) => this.startBox(box))
      const ready = await Promise.all(waiting.map((box) => this.isReady(box)))
      waiting = waiting.filter((_, i) => !ready[i])
      await new Promise((resolve) => setTimeout(resolve, POLL_MS))
    }
    return waiting
  }

  /** Ends the processes that this fleet started, and no others. */
  async stop (): Promise<void> {
    clearInterval(this.#heartbeat)
    await Promise.all(this.boxes.map(({ process }) => process.running ? process.kill() : undefined))
    this.places.forEach(({ proxy, upstream }) => {
      proxy.stop()
      upstream.stop()
    })
    this.storePaths.forEach((path) => path.stop())
    this.store.stop()
    await this.#agent.destroy()
    await rm(this.#folder, { recursive: true, force: true })
  }

  async #start (boxCount: number): Promise<void> {
    this.#storeAddress = await this.store.start()
    this.store.itemsPerPage = 100
    for (let i = 0; i < 2; i++) this.storePaths.push(new FaultProxy(() => this.#storeAddress))
    await Promise.all(this.storePaths.map((path) => path.start()))
    const roles = [Role.Prefill, Role.Prefill, Role.Decode, Role.Decode, Role.Decode, Role.Service, Role.Service, Role.Service]
    await Promise.all(roles.map((role, i) => this.#addPlace(role, `${role}-${i}`)))
    this.publish()
    this.#heartbeat = setInterval(() => this.#beat(), HEARTBEAT_MS)
    for (let i = 0; i < boxCount; i++) this.boxes.push(this.#describeBox(i))
    await Promise.all(this.boxes.map(async (box) => {
      await this.changeSettings(box)
      this.startBox(box)
    }))
    const waiting = await this.waitReady(START_LIMIT_MS)
    if (waiting.length > 0) throw new Error(`did not start: ${waiting.map(({ name, process }) => `${name}: ${process.output.slice(-500)}`).join('\n')}`)
  }

  #describeBox (i: number): SoakBox {
    const address = (port: number) => `${this.#subnet}.${i + 1}:${port}`
    const addresses = { front: address(PORTS.front), ready: address(PORTS.ready), control: address(PORTS.control), directory: address(PORTS.directory) }
    return { name: `box-${i + 1}`, zone: ZONES[i % ZONES.length], addresses, process: undefined as unknown as FleetProcess, pauses: [], pastOutput: '' }
  }

  async #addPlace (role: Role, name: string): Promise<void> {
    const instance = `i-${name}-0`
    const place: UpstreamPlace = { name, role, proxy: new FaultProxy(() => place.upstream.address), upstream: await this.#startUpstream(role, instance), instance, listed: true, leaving: false, sequence: 0 }
    await place.proxy.start()
    this.places.push(place)
    this.announce(place)
  }

  async #startUpstream (role: Role, instance: string): Promise<StandInUpstream> {
    const draws = (share: number) => () => this.#random.nextFloat() < share
    const upstream = new StandInUpstream(role, {
      instance,
      workMs: role === Role.Service ? SERVICE_WORK_MS : EVENT_PAUSE_MS,
      handles: this.handles,
      handleLifeMs: HANDLE_LIFE_MS,
      refuses: draws(REFUSED_SHARE),
      losesAnswer: draws(LOST_ANSWER_SHARE),
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
