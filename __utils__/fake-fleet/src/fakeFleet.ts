import { setMaxListeners } from 'node:events'
import { type Box, createBox } from '@reelspan/box.runtime'
import { type Settings, settingsSchema } from '@reelspan/config.settings'
import { Verdict } from '@reelspan/core.error'
import { Collection, type CompletionRequest, RequestKind, type ServiceRequest } from '@reelspan/core.messages'
import { FleetEntryKind, UpstreamKind } from '@reelspan/config.fleet'
import { type DeployedUpstream, EngineModel, type EngineModelOptions, FakeEngineClient, FakeNetwork, FakePlatformReader, FakeRelayClient, FakeServiceClient, FakeUpstreamProbe, type LinkFault, type NodeClock, PlatformModel, publishFleet, type PublishedEntry, RelayedUpstreams, SeededRandom, ServiceModel, sampleDeclarations, sampleFleet, VirtualClock } from '@reelspan/utils.fakes'
import { Metrics } from '@reelspan/telemetry.metrics'
import { EngineRole, type RelayedRequest } from '@reelspan/upstream.client'
import { collectAnswer, type Outcome } from './collectAnswer.js'
import { FakeRelayCaller } from './fakeRelayCaller.js'
import { RecordingLog } from './recordingLog.js'

export interface FakeFleetOptions {
  seed?: number
  boxCount?: number
  /** Settings of all boxes by section; sections left out have the defaults. */
  settings?: Partial<Record<keyof Settings, object>>
  engine?: Partial<EngineModelOptions>
  declarations?: readonly PublishedEntry[]
  deployment?: ReturnType<typeof sampleFleet>
  /** How long a crashed upstream takes to restart. */
  restartDelayMs?: number
}

/** One process of a box. A restart adds another one at the same address. */
export interface FakeBox {
  name: string
  address: string
  availabilityZone: string
  clock: NodeClock
  box: Box
  log: RecordingLog
  metrics: Metrics
  alive: boolean
  /** Aborted when the process is killed; closes all callers' connections. */
  killed: AbortController
}

/** As in the users' deployments. */
const RESTART_DELAY_MS = 3500

/** Simulates a fleet in one program: real boxes with a fake platform, upstreams, network and clock. */
export class FakeFleet {
  readonly clock = new VirtualClock()
  readonly random: SeededRandom
  readonly network: FakeNetwork
  readonly platform: PlatformModel
  readonly engines = new Map<string, EngineModel>()
  readonly services = new Map<string, ServiceModel>()
  /** Upstreams as relayed requests see them. */
  readonly relayedUpstreams: RelayedUpstreams
  readonly boxes: FakeBox[] = []
  readonly #opts: FakeFleetOptions
  /** What was published of upstreams beyond their deployment. */
  readonly #published = new Map<string, { softwareVersion?: string, leaving?: boolean }>()
  readonly #stoppedEngines: EngineModel[] = []
  readonly #deployment: ReturnType<typeof sampleFleet>
  /** Addresses of boxes and upstreams by name. Upstreams have them too, so that traffic to them can be blocked. */
  readonly #addressOf = new Map<string, string>()

  constructor (opts: FakeFleetOptions = {}) {
    this.#opts = opts
    this.random = new SeededRandom(opts.seed ?? 1)
    this.network = new FakeNetwork({ clock: this.clock, random: this.random })
    this.platform = new PlatformModel(this.clock)
    this.relayedUpstreams = new RelayedUpstreams({ clock: this.clock, isRunning: (address) => this.#isRunning(address), end: (address) => { void this.#crashAt(address) } })
    const { boxes, upstreams } = opts.deployment ?? sampleFleet()
    this.#deployment = { boxes: boxes.slice(0, opts.boxCount ?? boxes.length), upstreams }
    this.#deployment.upstreams.forEach(({ name, kind, pool }, i) => this.#addUpstream(name, kind, pool, `10.1.0.${i + 1}:80`))
    this.#deployment.boxes.forEach(({ name }, i) => this.#addressOf.set(name, `10.0.${Math.floor(i / 250)}.${i % 250 + 1}:7101`))
  }

  /** Publishes the deployment, starts the boxes, and waits until they know each other. */
  async start (): Promise<this> {
    this.platform.publish(Collection.Declarations, this.#opts.declarations ?? sampleDeclarations())
    publishFleet(
      this.platform,
      this.#deployment.boxes.map((box) => ({ ...box, peerAddress: this.address(box.name) })),
      this.#deployment.upstreams.map((upstream) => ({ ...upstream, address: this.address(upstream.name) }))
    )
    await this.clock.run(Promise.all(this.#deployment.boxes.map(({ name }) => this.startBox(name))))
    await this.clock.advance(3000)
    return this
  }

  address (name: string): string {
    return this.#addressOf.get(name) as string
  }

  box (name: string): FakeBox {
    return this.boxes.findLast((box) => box.name === name) as FakeBox
  }

  engine (name: string): EngineModel {
    return this.engines.get(this.address(name)) as EngineModel
  }

  service (name: string): ServiceModel {
    return this.services.get(this.address(name)) as ServiceModel
  }

  liveBoxes (): FakeBox[] {
    return this.boxes.filter(({ alive }) => alive)
  }

  /** The first box that schedules a shard, or the first box if none does. */
  schedulerBox (): FakeBox {
    return this.liveBoxes().find(({ box }) => box.describe().shards.length > 0) ?? this.liveBoxes()[0]
  }

  async startBox (name: string): Promise<FakeBox> {
    const { availabilityZone } = this.#deployment.boxes.find((box) => box.name === name) as { availabilityZone: string }
    const address = this.address(name)
    const { clock, link } = this.network.addNode(address)
    const log = new RecordingLog()
    const metrics = new Metrics()
    const channel = { clock, network: this.network, address }
    const box: Box = createBox({
      settings: this.#settings(name, availabilityZone, address),
      clock,
      random: new SeededRandom(this.random.nextInt(2 ** 32)),
      link,
      platform: new FakePlatformReader({ clock, platform: this.platform, address }),
      engines: new FakeEngineClient({ ...channel, models: this.engines }),
      services: new FakeServiceClient({ ...channel, models: this.services }),
      probe: new FakeUpstreamProbe({ ...channel, isListening: (upstream) => this.#isRunning(upstream) }),
      relayClient: new FakeRelayClient({ ...channel, upstreams: this.relayedUpstreams, onReceived: (from) => box.recordReceivedFromUpstream(from) }),
      log,
      metrics,
    })
    const running: FakeBox = { name, address, availabilityZone, clock, box, log, metrics, alive: true, killed: new AbortController() }
    setMaxListeners(0, running.killed.signal)
    this.boxes.push(running)
    await box.start()
    return running
  }

  /** Kills a box's process. */
  kill (name: string): void {
    this.box(name).alive = false
    this.box(name).killed.abort()
    this.network.kill(this.address(name))
    this.box(name).clock.pause()
  }

  killEngine (name: string): void {
    this.#stoppedEngines.push(this.engine(name))
    this.engines.delete(this.address(name))
  }

  /** Replaces an engine's process by a new one without state. */
  restartEngine (name: string): void {
    const { role } = this.engine(name)
    this.killEngine(name)
    this.#addEngine(name, role, this.address(name))
  }

  /** Crashes an upstream's process with all requests that run there. Another one starts at its address after a delay. */
  async crash (name: string): Promise<void> {
    await this.#crashAt(this.address(name))
  }

  /** Blocks all traffic between a box and all other addresses. */
  isolate (name: string): void {
    this.allAddresses().filter((address) => address !== this.address(name)).forEach((address) => this.network.blockBoth(this.address(name), address))
  }

  /** Makes the links between some boxes and all upstreams, or all of one kind, fail. */
  cutFromUpstreams (boxNames: readonly string[], fault: LinkFault, kind?: UpstreamKind): void {
    this.#linksToUpstreams(boxNames, kind).forEach(([box, upstream]) => this.network.failBoth(box, upstream, fault))
  }

  /** Ends the failure of the links between some boxes and all upstreams. */
  reconnectToUpstreams (boxNames: readonly string[]): void {
    this.#linksToUpstreams(boxNames).forEach(([box, upstream]) => this.network.healBoth(box, upstream))
  }

  #linksToUpstreams (boxNames: readonly string[], kind?: UpstreamKind): [string, string][] {
    const upstreams = this.#deployment.upstreams.filter((upstream) => kind === undefined || upstream.kind === kind)
    return boxNames.flatMap((box) => upstreams.map(({ name }): [string, string] => [this.address(box), this.address(name)]))
  }

  /** Addresses of the boxes of an availability zone. */
  boxAddresses (availabilityZone: string): string[] {
    return this.#deployment.boxes.filter((box) => box.availabilityZone === availabilityZone).map(({ name }) => this.address(name))
  }

  /** Blocks all traffic between an availability zone and the others. */
  isolateZone (availabilityZone: string): void {
    const { boxes, upstreams } = this.#deployment
    const members = [...boxes, ...upstreams]
    const inside = members.filter((member) => member.availabilityZone === availabilityZone)
    const outside = members.filter((member) => member.availabilityZone !== availabilityZone)
    inside.forEach((a) => outside.forEach((b) => this.network.blockBoth(this.address(a.name), this.address(b.name))))
  }

  /** Running and stopped engines, whose records of runs are kept. */
  allEngines (): EngineModel[] {
    return [...this.#stoppedEngines, ...this.engines.values()]
  }

  /** Addresses of boxes and upstreams. */
  allAddresses (): string[] {
    return [...this.#addressOf.values()]
  }

  /** Sends a request to a box as a caller, and resolves with the outcome of the complete answer. */
  send (boxName: string, request: CompletionRequest | ServiceRequest, signal: AbortSignal = new AbortController().signal): Promise<Outcome> {
    const { box, clock, killed } = this.box(boxName)
    const answer = collectAnswer(clock, box.submit(request, signal))
    return Promise.race([answer, connectionLost([killed.signal, signal])])
  }

  completion (boxName: string, prompt: string, overrides: Partial<CompletionRequest> = {}): CompletionRequest {
    return {
      kind: RequestKind.Completion,
      key: this.box(boxName).box.createKey(),
      route: 'drafts',
      client: 'client',
      notRepeatable: false,
      deadlineMs: 30_000,
      model: 'draft',
      prompt,
      maxTokens: 64,
      priority: 0,
      ttftTargetMs: 390,
      tbtTargetMs: 76,
      ...overrides,
    }
  }

  booking (key: string, overrides: Partial<ServiceRequest> = {}): ServiceRequest {
    return {
      kind: RequestKind.Service,
      key,
      route: 'bookings',
      client: 'client',
      notRepeatable: true,
      deadlineMs: 10_000,
      method: 'POST',
      path: '/desk/bookings',
      body: new Uint8Array(),
      ...overrides,
    }
  }

  /** Creates a request key with a prefix of the box. */
  key (boxName: string): string {
    return this.box(boxName).box.createKey()
  }

  /** Number of runs of a request at all services. */
  serviceRuns (key: string): number {
    return [...this.services.values()].reduce((sum, { runs }) => sum + (runs.get(key) ?? 0), 0)
  }

  /** Current holds of all engines. */
  holds () {
    return [...this.engines.values()].flatMap((engine) => engine.holds().map((hold) => ({ ...hold, engine: engine.name })))
  }

  async stop (): Promise<void> {
    this.liveBoxes().forEach(({ clock }) => clock.resume())
    await this.clock.run(Promise.all(this.liveBoxes().map(({ box }) => box.stop())))
  }

  /** Relays a request through a box, and resolves with what its caller received, also if the box is killed. */
  async relay (boxName: string, request: Partial<RelayedRequest> & Pick<RelayedRequest, 'id' | 'host' | 'target'>, deadlineMs?: number, caller = new FakeRelayCaller()): Promise<FakeRelayCaller> {
    const { box, killed } = this.box(boxName)
    const lost = new Promise<void>((resolve) => killed.signal.addEventListener('abort', () => {
      caller.abort()
      resolve()
    }, { once: true }))
    const prompt = { model: 'draft', promptTokens: 500, maxTokens: 40, prefixes: [{ digest: request.target, tokens: 500 }] }
    await Promise.race([lost, box.relay({ method: 'POST', headers: [], body: Buffer.from('body'), callerAddress: '10.9.0.1', prompt, ...request }, caller, deadlineMs)])
    return caller
  }

  #isRunning (address: string): boolean {
    return this.engines.has(address) || this.services.has(address)
  }

  async #crashAt (address: string): Promise<void> {
    const engine = this.engines.get(address)
    const service = this.services.get(address)
    if (engine) this.killEngine(engine.name)
    this.services.delete(address)
    engine?.crash()
    this.relayedUpstreams.abortRuns(address)
    await this.clock.sleep(this.#opts.restartDelayMs ?? RESTART_DELAY_MS)
    if (engine) this.#addEngine(engine.name, engine.role, address)
    if (service) this.services.set(address, new ServiceModel({ clock: this.clock, name: service.name }))
  }

  #settings (name: string, availabilityZone: string, address: string): Settings {
    return settingsSchema.parse({
      ...this.#opts.settings,
      box: { name, availabilityZone },
      listen: { callerAddress: address.replace('7101', '8101'), peerAddress: address, operatorAddress: '127.0.0.1:9101' },
      platform: { addresses: ['10.9.0.1:80'], ...this.#opts.settings?.platform },
    })
  }

  #addUpstream (name: string, kind: UpstreamKind, pool: string, address: string): void {
    this.#addressOf.set(name, address)
    if (kind === UpstreamKind.Service) {
      this.services.set(address, new ServiceModel({ clock: this.clock, name }))
      return
    }
    this.#addEngine(name, pool.includes('prefill') ? EngineRole.Prefill : EngineRole.Decode, address)
  }

  #addEngine (name: string, role: EngineRole, address: string): void {
    this.engines.set(address, new EngineModel({
      clock: this.clock,
      name,
      role,
      loaded: [{ model: 'draft', version: '1' }],
      exportFrom: async (prefillAddress, label) => {
        const engine = this.engines.get(prefillAddress)
        if (!engine) throw new Error('the prefill engine has exited')
        return engine.exportResult(label)
      },
      onRoleChanged: (next) => this.#publishRole(name, next),
      ...this.#opts.engine,
    }))
  }

  /** Publishes an upstream with a software version, or as leaving, from now on. */
  publishUpstream (name: string, entry: { softwareVersion?: string, leaving?: boolean }): void {
    const known = this.#published.get(name) ?? {}
    this.#published.set(name, { ...known, ...entry })
    const upstream = this.#deployment.upstreams.find((one) => one.name === name)
    if (!upstream) throw new Error(`unknown upstream ${name}`)
    this.#publishUpstream(upstream, upstream.pool)
  }

  /** Publishes an engine in the pool of its new role. */
  #publishRole (name: string, role: EngineRole): void {
    const upstream = this.#deployment.upstreams.find((one) => one.name === name)
    const pool = this.#deployment.upstreams.map((one) => one.pool).find((one) => one.endsWith(role))
    if (!upstream || !pool) return
    this.#publishUpstream(upstream, pool)
  }

  #publishUpstream ({ name, kind, availabilityZone }: DeployedUpstream, pool: string): void {
    this.platform.publish(Collection.Fleet, [{ kind: FleetEntryKind.Upstream, name, spec: { kind, pool, availabilityZone, address: this.address(name), ...this.#published.get(name) } }])
  }
}

/** Resolves with the outcome for a caller whose connection is lost, once one of the signals is aborted. */
function connectionLost (signals: readonly AbortSignal[]): Promise<Outcome> {
  const outcome: Outcome = { verdict: Verdict.MayHaveRun, text: '', tokenAtMs: [], endMs: 0 }
  return new Promise((resolve) => {
    signals.forEach((signal) => signal.aborted ? resolve(outcome) : signal.addEventListener('abort', () => resolve(outcome), { once: true }))
  })
}
