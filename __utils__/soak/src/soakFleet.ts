import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { FleetProcess } from '@reelspan/utils.bench'
import { type SeededRandom } from '@reelspan/utils.fakes'
import { registerUpstream, HandleTable, registeredInstances, publishRoutes, type ReceivedHeaders, removeUpstream, requestHeaders, Role, settingsFileText, StandInStore, StandInUpstream, type UpstreamArrival, type UpstreamRun } from '@reelspan/utils.platform-stand-ins'
import { Agent, request } from 'undici'
import { AnswerEnds } from './answerEnds.js'
import { type CrashingPart, isOfCrashPhase } from './crashVariant.js'
import { REVOCATION_BOUND_MS } from './checkKeys.js'
import { type Departure, type PlannedStop, type Publication } from './checkBounds.js'
import { type LimitPeriod } from './checkLimits.js'
import { type DrainingStart, type RefusalPeriod } from './checkSignals.js'
import { FaultProxy, NetworkFault } from './faultProxy.js'
import { DisruptionKind, DisruptionLog } from './disruptionLog.js'
import { PORT_OFFSET } from './listenBehindProxy.js'
import { ConnectFault } from './outgoingConnections.js'
import { PATH_FAULTS, type PathLoss } from './pathLoss.js'
import { parseShape } from './requestShape.js'
import { type SoakBox, type UpstreamReplica } from './soakMembers.js'
import { type TimeInterval } from './timeInterval.js'

const REELSPAN = fileURLToPath(import.meta.resolve('reelspan').replace('lib/index.js', 'bin/reelspan.js'))
const LISTEN_BEHIND_PROXY = new URL('./listenBehindProxy.js', import.meta.url).href
const OUTGOING_CONNECTIONS = new URL('./outgoingConnections.js', import.meta.url).href
const ZONES = ['hall-a', 'hall-b', 'hall-c']
/** The account of all clients, and the key that they send. */
export const ACCOUNT = 'callers'
export const DEFAULT_KEY = 'key-of-all-callers'
/** An account that sends more than its share, and its key. */
export const OVERLOAD_ACCOUNT = 'overloading'
export const OVERLOAD_KEY = 'key-of-the-overloading-account'
/** The smallest machines that boxes run on, and the limits of the heap with which the platform starts them. */
const MACHINE_SETTINGS = ['limits.memory_mb=178']
const HEAP_LIMITS = '--max-old-space-size=96 --max-semi-space-size=2'
const ACCOUNT_SETTINGS = ['contracts=tenants', 'bounds.strict_revoke=true', `bounds.revoke_ms=${REVOCATION_BOUND_MS}`]
const PORTS = { front: 8149, ready: 8141, control: 8144, directory: 8143 }
const SEED_ADDRESS_COUNT = 3
const START_TIMEOUT_MS = 30_000
/** Processes that start at the same time share the machine's cores. */
const START_TIMEOUT_PER_BOX_MS = 500
const POLL_INTERVAL_MS = 50
const HEARTBEAT_INTERVAL_MS = 1000
const SERVICE_WORK_MS = 20
const EVENT_INTERVAL_MS = 15
const HANDLE_TTL_MS = 500
/** How long an engine is gone after a prompt part has crashed it. */
const CRASH_DOWN_MS = 1500
const REFUSED_SHARE = 0.01
const LOST_ANSWER_SHARE = 0.01
/** Share of handles that lapse at once, where engines repeat refusals late. A decode engine refuses a lapsed handle, and is then asked once more. */
const LAPSED_HANDLE_SHARE = 0.05
/** How long the entry of an engine stays whose address goes on accepting connections. */
const CRASH_UNLIST_MS = 350
const FIRST_VERSION = 'v1'
/** The platform restarts a process that has exited by itself after this delay. */
const RESTART_DELAY_MS = 200
/** The platform kills a process that has not stopped within this time after SIGTERM. */
const STOP_GRACE_MS = 8000
/** Maximum time that a draining upstream keeps running to finish its requests. */
const MAX_RUN_MS = 7000
const PROBE_TIMEOUT_MS = 1500
/** Distance between the subnets of one process, so that they do not collide with those of processes with nearby ids. */
const SUBNET_STEP = 97

let fleetCount = 0
const runningFleets = new Set<SoakFleet>()

/** Stops all running fleets and their processes. Used when the harness itself is terminated. */
export async function stopFleets (): Promise<void> {
  await Promise.all([...runningFleets].map((fleet) => fleet.stop()))
}

export interface SoakFleetOptions {
  /** Whether engines send each refusal a second time, late, and a part of the handles lapses at once. */
  lateRefusals?: boolean
}

/** Runs boxes as processes, and stand-ins for the platform's store and upstreams behind proxies. */
export class SoakFleet {
  readonly boxes: SoakBox[] = []
  readonly replicas: UpstreamReplica[] = []
  /** Instances whose reports have no end. */
  readonly endlessReports = new Set<string>()
  /** Instances whose answers lack the signature. */
  readonly unsigned = new Set<string>()
  readonly store = new StandInStore()
  readonly handles = new HandleTable()
  readonly disruptions = new DisruptionLog()
  readonly departures: Departure[] = []
  readonly publications: Publication[] = []
  readonly stops: PlannedStop[] = []
  /** Rate limits that upstreams have advertised. The end of a current one is infinity. */
  readonly limitPeriods: LimitPeriod[] = []
  /** Upstreams that advertise draining in their responses but not in their entries. */
  readonly draining: DrainingStart[] = []
  /** Periods in which upstreams refuse all requests. The end of a current one is infinity. */
  readonly refusals: RefusalPeriod[] = []
  /** Intervals in which the store served stale reads, or a restored backup whose lost writes had not been repeated yet. */
  readonly staleReads: TimeInterval[] = []
  /** Crashes of engines because of a prompt part, with the request that caused each. */
  readonly crashes: { id: string, atMs: number }[] = []
  crashing?: CrashingPart
  /** Violations that no fault excuses. */
  readonly problems: string[] = []
  readonly #stoppedUpstreams: StandInUpstream[] = []
  readonly #replicaNameByInstance = new Map<string, string>()
  /** Processes that were sent SIGTERM or killed. */
  readonly #stopRequested = new WeakSet<FleetProcess>()
  readonly #agent = new Agent()
  readonly #random: SeededRandom
  readonly #opts: SoakFleetOptions
  readonly #answerEnds = new AnswerEnds()
  readonly #settingsFolder: string
  readonly #subnet: string
  /** Upstreams are on machines of their own. */
  readonly #upstreamSubnet: string
  readonly #zones: readonly string[]
  #storeAddress = ''
  #incarnationCount = 0
  #heartbeatTimer?: NodeJS.Timeout
  #isStopping = false

  private constructor (random: SeededRandom, folder: string, opts: SoakFleetOptions) {
    this.#random = random
    this.#opts = opts
    this.#settingsFolder = folder
    // Each run has loopback addresses of its own, so that concurrent runs, in this process or others, do not collide.
    const block = 1 + (Math.floor(process.pid / 200) + SUBNET_STEP * fleetCount++) % 200
    this.#subnet = `127.${10 + process.pid % 200}.${block}`
    this.#upstreamSubnet = `127.${210 + process.pid % 40}.${block}.`
    // Within one zone only some boxes watch the store; the others receive updates from them.
    this.#zones = random.nextFloat() < 0.5 ? ZONES : ZONES.slice(0, 1)
  }

  static async start (random: SeededRandom, boxCount: number, opts: SoakFleetOptions = {}): Promise<SoakFleet> {
    const fleet = new SoakFleet(random, await mkdtemp(join(tmpdir(), 'reelspan-soak-')), opts)
    runningFleets.add(fleet)
    try {
      await fleet.#start(boxCount)
      return fleet
    } catch (thrown) {
      await fleet.stop()
      throw thrown
    }
  }

  /** All runs of all upstreams, including those that have exited. */
  get runs (): UpstreamRun[] {
    return this.#upstreams.flatMap(({ runs }) => runs)
  }

  /** Number of refusals that were sent a second time. */
  get lateRefusalCount (): number {
    return this.#upstreams.flatMap(({ repeatedRefusals }) => repeatedRefusals).length
  }

  get arrivals (): UpstreamArrival[] {
    return this.#upstreams.flatMap(({ arrivals }) => arrivals)
  }

  get newestVersion (): number {
    return this.publications.length
  }

  get #upstreams (): StandInUpstream[] {
    return [...new Set([...this.#stoppedUpstreams, ...this.replicas.map(({ upstream }) => upstream)])]
  }

  /** Name of the replica that an instance belongs to. Disruptions of its network path are recorded under this name. */
  replicaNameOf (instance: string): string {
    return this.#replicaNameByInstance.get(instance) ?? ''
  }

  /** Publishes a new version of the configuration, whose probe route has a path of its own. */
  publish (): void {
    const version = this.newestVersion + 1
    const path = this.#publishVersion(version)
    this.publications.push({ version, path, atMs: performance.now() })
  }

  /** Repeats the writes of the operator and the upstreams that the store lost when it was restored from a backup. */
  rewriteLostEntries (): void {
    this.#publishVersion(this.newestVersion)
    const listedReplicas = this.replicas.filter((replica) => replica.listed)
    const listedInstanceNames = new Set(listedReplicas.map(({ instance }) => instance))
    const storedInstanceNames = new Set(registeredInstances(this.store))
    const staleInstanceNames = [...storedInstanceNames].filter((instance) => !listedInstanceNames.has(instance))
    staleInstanceNames.forEach((instance) => removeUpstream(this.store, instance))
    listedReplicas.filter(({ instance, leaving }) => leaving || !storedInstanceNames.has(instance)).forEach((replica) => this.writeEntry(replica))
  }

  #publishVersion (version: number): string {
    return publishRoutes(this.store, version, [{ name: ACCOUNT, keys: [DEFAULT_KEY, keyOf(version)] }, { name: OVERLOAD_ACCOUNT, keys: [OVERLOAD_KEY] }])
  }

  /** Headers of everything that upstreams received. */
  get received (): ReceivedHeaders[] {
    return this.#upstreams.flatMap(({ received }) => received)
  }

  /** Calls a service with the key that only this version of the configuration declares. */
  async callWithKeyOf (version: number, box: SoakBox, id: string): Promise<void> {
    await this.#get(box, '/fetch/status/x', requestHeaders(id, { key: keyOf(version) }))
  }

  /** Returns the status of a call to the probe route of a version at one box, or 0 without an answer. */
  async probe (box: SoakBox, version: number, id: string): Promise<number> {
    const { path } = this.publications[version - 1]
    return this.#get(box, `${path}x`, requestHeaders(id, { key: DEFAULT_KEY }))
  }

  async #get (box: SoakBox, path: string, headers: Record<string, string>): Promise<number> {
    try {
      const response = await request(`http://${box.addresses.front}${path}`, { headers, dispatcher: this.#agent, signal: AbortSignal.timeout(PROBE_TIMEOUT_MS) })
      await response.body.dump()
      return response.statusCode
    } catch {
      // The box is down or paused. Probes only check boxes that answer.
      return 0
    }
  }

  /** An upstream starts draining and keeps serving. Its entry is marked as leaving, or removed. */
  startDraining (replica: UpstreamReplica, { marksEntry }: { marksEntry: boolean }): void {
    replica.leaving = true
    replica.listed = marksEntry
    if (marksEntry) this.writeEntry(replica)
    else removeUpstream(this.store, replica.instance)
    this.departures.push({ instance: replica.instance, atMs: performance.now() })
  }

  /** Makes an upstream advertise a rate limit in its responses for a while. */
  async limit ({ instance }: UpstreamReplica, perSecond: number, durationMs: number): Promise<void> {
    const limitPeriod = { instance, perSecond, fromMs: performance.now(), toMs: Number.POSITIVE_INFINITY }
    this.limitPeriods.push(limitPeriod)
    await sleep(durationMs)
    limitPeriod.toMs = performance.now()
  }

  /** Makes an upstream advertise draining in its responses, but not in its entry. */
  advertiseDraining ({ instance }: UpstreamReplica): void {
    this.draining.push({ instance, fromMs: performance.now() })
  }

  /** Makes an upstream refuse all requests for a while, with a `Retry-After` header. */
  async refuse ({ instance }: UpstreamReplica, waitMs: number, durationMs: number): Promise<void> {
    const refusal = { instance, waitMs, fromMs: performance.now(), toMs: Number.POSITIVE_INFINITY }
    this.refusals.push(refusal)
    await sleep(durationMs)
    refusal.toMs = performance.now()
  }

  #headersOf (instance: string): Record<string, string> {
    const isCurrent = (period: LimitPeriod | RefusalPeriod) => period.instance === instance && period.toMs === Number.POSITIVE_INFINITY
    const limitPeriod = this.limitPeriods.find(isCurrent)
    const refusal = this.refusals.find(isCurrent)
    return {
      ...limitPeriod ? { 'Server-Limit': limitPeriod.perSecond.toString() } : {},
      ...refusal ? { 'Retry-After': (refusal.waitMs / 1000).toString() } : {},
      ...this.draining.some((one) => one.instance === instance) ? { 'Server-Leaving': '1' } : {},
    }
  }

  /** Resolves when an upstream has no running requests, or after a timeout. */
  async waitUntilIdle ({ upstream }: UpstreamReplica): Promise<void> {
    const untilMs = performance.now() + MAX_RUN_MS
    while (performance.now() < untilMs && upstream.runs.some(({ endedAtMs }) => endedAtMs === undefined)) await sleep(POLL_INTERVAL_MS)
  }

  /** Stops an upstream at once, without draining. Its entry is removed when it is restarted. */
  async stopUpstream (replica: UpstreamReplica): Promise<void> {
    replica.listed = false
    replica.upstream.stop()
    this.#stoppedUpstreams.push(replica.upstream)
  }

  /** Stops an upstream at once, so that its address refuses connections unless it stays, and starts it again after a while. */
  async crashUpstream (replica: UpstreamReplica, downMs: number, addressStays = false): Promise<void> {
    const { instance, proxy: { address } } = replica
    const endDisruption = this.disruptions.begin(replica.name)
    if (!addressStays) replica.proxy.stop()
    await this.stopUpstream(replica)
    if (addressStays) setTimeout(() => removeUpstream(this.store, instance), CRASH_UNLIST_MS)
    await sleep(downMs)
    // An upstream registers only when it accepts connections.
    await this.restartUpstream(replica, { softwareVersion: replica.softwareVersion, onStarted: async () => { if (!addressStays) await replica.proxy.start(address) } })
    endDisruption()
  }

  /** Starts a new instance of an upstream at the same address, by default with the next software version. */
  async restartUpstream (replica: UpstreamReplica, { softwareVersion = nextVersion(replica.softwareVersion), onStarted }: { softwareVersion?: string, onStarted?: () => Promise<void> } = {}): Promise<void> {
    removeUpstream(this.store, replica.instance)
    replica.instance = this.#createInstanceName(replica.name)
    replica.softwareVersion = softwareVersion
    replica.upstream = await this.#startUpstream(replica.role, replica.instance, replica.softwareVersion)
    await onStarted?.()
    replica.listed = true
    replica.leaving = false
    this.writeEntry(replica)
  }

  writeEntry (replica: UpstreamReplica): void {
    registerUpstream(this.store, { ...replica, address: replica.proxy.address })
  }

  /** Cuts a box off from all upstreams, or reconnects it. */
  async setPathLoss (box: SoakBox, loss?: PathLoss): Promise<void> {
    const { open, connect } = loss === undefined ? { open: NetworkFault.None, connect: ConnectFault.None } : PATH_FAULTS[loss]
    await writeFile(this.#connectFaultPath(box.name), connect)
    const [host] = box.addresses.front.split(':')
    this.replicas.forEach(({ proxy }) => proxy.setClientFault(host, open))
  }

  /** Starts a box that is not running. */
  startBox (box: SoakBox): void {
    if (box.process?.running) return
    if (box.process) box.earlierOutput += box.process.output
    const boxProcess = new FleetProcess(box.name, REELSPAN, ['serve', '--platform'], {
      REELSPAN_BOOT: this.#settingsPath(box.name),
      NODE_OPTIONS: `${process.env.NODE_OPTIONS ?? ''} ${HEAP_LIMITS} --import=${LISTEN_BEHIND_PROXY} --import=${OUTGOING_CONNECTIONS}`,
      SOAK_PROXIED_PORT: String(PORTS.control),
      SOAK_LOCAL_ADDRESS: box.addresses.front.split(':')[0],
      SOAK_CONNECT_FAULT_FILE: this.#connectFaultPath(box.name),
      SOAK_UPSTREAM_SUBNET: this.#upstreamSubnet,
    })
    box.process = boxProcess
    void boxProcess.waitForExit().then((code) => this.#onExited(box, boxProcess, code))
  }

  async killBox ({ process }: SoakBox): Promise<void> {
    this.#stopRequested.add(process)
    await process.kill()
  }

  /** Stops a box as the platform does: sends SIGTERM, and kills the process after the grace period. Then starts it again. */
  async stopBox (box: SoakBox, onGraceExceeded: () => void): Promise<void> {
    const { process, addresses } = box
    // The platform sends SIGTERM once. A box exits at once on a second SIGTERM.
    if (this.#stopRequested.has(process)) return
    this.#stopRequested.add(process)
    this.stops.push({ box: addresses.front, atMs: performance.now() })
    const endDisruption = this.disruptions.begin(addresses.front, DisruptionKind.Planned)
    process.signal('SIGTERM')
    const graceExceeded = sleep(STOP_GRACE_MS, 'late', { ref: false })
    if (await Promise.race([process.waitForExit(), graceExceeded]) === 'late') {
      onGraceExceeded()
      await process.kill()
    }
    this.startBox(box)
    endDisruption()
  }

  /** Rewrites the settings file with other seed addresses. */
  async changeSettings (box: SoakBox): Promise<void> {
    const seeds = this.#random.sample(this.boxes, SEED_ADDRESS_COUNT).map(({ addresses }) => addresses.control)
    await writeFile(this.#settingsPath(box.name), settingsFileText({ ...box, seeds, store: box.storeProxy.address }, [...ACCOUNT_SETTINGS, ...MACHINE_SETTINGS]))
  }

  async isReady ({ addresses }: SoakBox): Promise<boolean> {
    const response = await request(`http://${addresses.ready}/v1/readiness`, { dispatcher: this.#agent, signal: AbortSignal.timeout(1000) }).catch(() => undefined)
    await response?.body.dump()
    return response?.statusCode === 200
  }

  /** Resolves once every box is ready, or after the timeout, with the boxes that are not ready. */
  async waitUntilReady (timeoutMs: number): Promise<SoakBox[]> {
    const untilMs = performance.now() + timeoutMs
    let unready = [...this.boxes]
    while (unready.length > 0 && performance.now() < untilMs) {
      const ready = await Promise.all(unready.map((box) => this.isReady(box)))
      unready = unready.filter((_, i) => !ready[i])
      await sleep(POLL_INTERVAL_MS)
    }
    return unready
  }

  /** Stops the processes that this fleet has started, and no others. */
  async stop (): Promise<void> {
    this.#isStopping = true
    runningFleets.delete(this)
    clearInterval(this.#heartbeatTimer)
    await Promise.all(this.boxes.map((box) => box.process?.running ? this.killBox(box) : undefined))
    this.replicas.forEach(({ proxy, upstream }) => {
      proxy.stop()
      upstream.stop()
    })
    this.boxes.forEach(({ storeProxy, peerProxy }) => {
      storeProxy.stop()
      peerProxy.stop()
    })
    this.store.stop()
    await this.#agent.destroy()
    await rm(this.#settingsFolder, { recursive: true, force: true })
  }

  async #start (boxCount: number): Promise<void> {
    this.#storeAddress = await this.store.start()
    this.store.itemsPerPage = 100
    this.store.era = 0
    const roles = [Role.Prefill, Role.Prefill, Role.Decode, Role.Decode, Role.Decode, Role.Service, Role.Service, Role.Service]
    await Promise.all(roles.map((role, i) => this.#addReplica(role, i)))
    this.publish()
    this.#heartbeatTimer = setInterval(() => this.#sendHeartbeats(), HEARTBEAT_INTERVAL_MS)
    for (let i = 0; i < boxCount; i++) this.boxes.push(await this.#createBox(i))
    await Promise.all(this.boxes.map(async (box) => {
      await this.changeSettings(box)
      this.startBox(box)
    }))
    const unready = await this.waitUntilReady(START_TIMEOUT_MS + boxCount * START_TIMEOUT_PER_BOX_MS)
    if (unready.length > 0) throw new Error(`did not start: ${unready.map(({ name, process }) => `${name}: ${process.output.slice(-500)}`).join('\n')}`)
  }

  async #createBox (i: number): Promise<SoakBox> {
    const host = `${this.#subnet}.${i + 1}`
    const addresses = { front: `${host}:${PORTS.front}`, ready: `${host}:${PORTS.ready}`, control: `${host}:${PORTS.control}`, directory: `${host}:${PORTS.directory}` }
    const storeProxy = new FaultProxy(() => this.#storeAddress)
    const peerProxy = new FaultProxy(() => `${host}:${PORTS.control + PORT_OFFSET}`)
    await storeProxy.start()
    await peerProxy.start(addresses.control)
    return { name: `box-${i + 1}`, zone: this.#zones[i % this.#zones.length], addresses, process: undefined as unknown as FleetProcess, storeProxy, peerProxy, pauses: [], earlierOutput: '' }
  }

  /** Restarts a process that has exited by itself, as the platform does. An exit with a code, not by a signal, is a violation. */
  #onExited (box: SoakBox, process: FleetProcess, code: number | null): void {
    if (this.#isStopping || this.#stopRequested.has(process)) return
    // A process that has not installed its SIGHUP handler yet is killed by SIGHUP, which is allowed.
    if (code !== null) this.problems.push(`${box.name} exited by itself with code ${code}: ${process.output.slice(-500)}`)
    const endDisruption = this.disruptions.begin(box.addresses.front)
    setTimeout(() => {
      if (!this.#isStopping) this.startBox(box)
      endDisruption()
    }, RESTART_DELAY_MS)
  }

  async #addReplica (role: Role, index: number): Promise<void> {
    const name = `${role}-${index}`
    const instance = this.#createInstanceName(name)
    const replica: UpstreamReplica = { name, role, proxy: new FaultProxy(() => replica.upstream.address), upstream: await this.#startUpstream(role, instance, FIRST_VERSION), instance, listed: true, leaving: false, sequence: 0, softwareVersion: FIRST_VERSION }
    await replica.proxy.start(`${this.#upstreamSubnet}${index + 1}:0`)
    this.replicas.push(replica)
    this.writeEntry(replica)
  }

  #createInstanceName (replicaName: string): string {
    const instance = `i-${replicaName}-${this.#incarnationCount++}`
    this.#replicaNameByInstance.set(instance, replicaName)
    return instance
  }

  async #startUpstream (role: Role, instance: string, softwareVersion: string): Promise<StandInUpstream> {
    const withProbability = (share: number) => () => this.#random.nextFloat() < share
    const { lateRefusals = false } = this.#opts
    const refusesRandomly = withProbability(REFUSED_SHARE)
    const upstream = new StandInUpstream(role, {
      instance,
      softwareVersion,
      endOf: (id) => isOfCrashPhase(id) ? { withConnection: this.crashing?.endsWithConnection } : this.#answerEnds.draw(),
      workMs: role === Role.Service ? SERVICE_WORK_MS : EVENT_INTERVAL_MS,
      shapeOf: parseShape,
      handles: this.handles,
      handleTtlMs: HANDLE_TTL_MS,
      losesHandle: lateRefusals ? withProbability(LAPSED_HANDLE_SHARE) : undefined,
      repeatsRefusalLate: () => lateRefusals,
      refuses: () => refusesRandomly() || this.refusals.some((refusal) => refusal.instance === instance && refusal.toMs === Number.POSITIVE_INFINITY),
      losesAnswer: withProbability(LOST_ANSWER_SHARE),
      advertises: () => this.#headersOf(instance),
      reportsEndlessly: () => this.endlessReports.has(instance),
      losesSignature: () => this.unsigned.has(instance),
      crashesOn: (parts) => this.crashing !== undefined && parts.includes(this.crashing.part),
      crash: () => ({ closesQuietly: true }),
      onCrashed: ({ id }) => this.#onCrashed(instance, id),
    })
    await upstream.start()
    return upstream
  }

  #onCrashed (instance: string, id: string): void {
    this.crashes.push({ id, atMs: performance.now() })
    const replica = this.replicas.find((one) => one.instance === instance)
    if (replica && !this.#isStopping) void this.crashUpstream(replica, CRASH_DOWN_MS, this.crashing?.addressStays)
  }

  /** Rewrites the entries of all listed upstreams with the next sequence number, as a heartbeat. Paused ones send none. */
  #sendHeartbeats (): void {
    this.replicas.filter(({ listed, upstream }) => listed && !upstream.paused).forEach((replica) => {
      replica.sequence++
      this.writeEntry(replica)
    })
  }

  #connectFaultPath (boxName: string): string {
    return join(this.#settingsFolder, `${boxName}.connect-fault`)
  }

  #settingsPath (boxName: string): string {
    return join(this.#settingsFolder, `${boxName}.conf`)
  }
}

/** Returns the key that only this version of the configuration declares. */
export function keyOf (version: number): string {
  return `key-of-version-${version}`
}

function nextVersion (version: string): string {
  return `v${Number(version.slice(1)) + 1}`
}
