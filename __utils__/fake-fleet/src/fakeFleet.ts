import { setMaxListeners } from 'node:events'
import { type Box, createBox } from '@reelspan/box.runtime'
import { type Settings, settingsSchema } from '@reelspan/config.settings'
import { Verdict } from '@reelspan/core.error'
import { Collection, type CompletionRequest, RequestKind, type ServiceRequest } from '@reelspan/core.messages'
import { FleetEntryKind, UpstreamKind } from '@reelspan/config.fleet'
import { EngineModel, type EngineModelOptions, FakeEngineClient, FakeNetwork, FakePlatformReader, FakeRelayClient, FakeServiceClient, FakeUpstreamProbe, type NodeClock, PlatformModel, publishFleet, type PublishedEntry, RelayedUpstreams, SeededRandom, ServiceModel, tuulDeclarations, tuulFleet, VirtualClock } from '@reelspan/utils.fakes'
import { Metrics } from '@reelspan/telemetry.metrics'
import { EngineRole, type RelayedRequest } from '@reelspan/upstream.client'
import { collectAnswer, type Outcome } from './collectAnswer.js'
import { KeepingCaller } from './keepingCaller.js'
import { SilentLog } from './silentLog.js'

export interface FakeFleetOptions {
  seed?: number
  boxCount?: number
  /** Settings of every box, section by section, over the defaults. */
  settings?: Partial<Record<keyof Settings, object>>
  engine?: Partial<EngineModelOptions>
  declarations?: readonly PublishedEntry[]
  deployment?: ReturnType<typeof tuulFleet>
}

/** One box process. A restart makes another one at the same address. */
export interface FakeBox {
  name: string
  address: string
  availabilityZone: string
  clock: NodeClock
  box: Box
  log: SilentLog
  metrics: Metrics
  alive: boolean
  /** Ends every caller's connection when the process dies. */
  killed: AbortController
}

/** An upstream whose process has ended is back after this time, as the users' are. */
const BACK_AFTER_MS = 3500

/** Platform, upstreams and boxes in one program. */
export class FakeFleet {
  readonly clock = new VirtualClock()
  readonly random: SeededRandom
  readonly network: FakeNetwork
  readonly platform: PlatformModel
  readonly engines = new Map<string, EngineModel>()
  readonly services = new Map<string, ServiceModel>()
  /** What relayed requests do at upstreams. */
  readonly relayed: RelayedUpstreams
  readonly boxes: FakeBox[] = []
  readonly #opts: FakeFleetOptions
  readonly #pastEngines: EngineModel[] = []
  readonly #deployment: ReturnType<typeof tuulFleet>
  /** Callers and upstreams have addresses too, so that ways between them can be cut. */
  readonly #addressOf = new Map<string, string>()

  constructor (opts: FakeFleetOptions = {}) {
    this.#opts = opts
    this.random = new SeededRandom(opts.seed ?? 1)
    this.network = new FakeNetwork({ clock: this.clock, random: this.random })
    this.platform = new PlatformModel(this.clock)
    this.relayed = new RelayedUpstreams({ clock: this.clock, isThere: (address) => this.#isThere(address), end: (address) => { void this.#crashAt(address) } })
    const { boxes, upstreams } = opts.deployment ?? tuulFleet()
    this.#deployment = { boxes: boxes.slice(0, opts.boxCount ?? boxes.length), upstreams }
    this.#deployment.upstreams.forEach(({ name, kind, pool }, i) => this.#addUpstream(name, kind, pool, `10.1.0.${i + 1}:80`))
    this.#deployment.boxes.forEach(({ name }, i) => this.#addressOf.set(name, `10.0.${Math.floor(i / 250)}.${i % 250 + 1}:7101`))
  }

  /** Publishes the deployment, starts the boxes, and lets them meet. */
  async start (): Promise<this> {
    this.platform.publish(Collection.Declarations, this.#opts.declarations ?? tuulDeclarations())
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

  /** The box whose scheduler has the most engines under account; the first one if none has any. */
  schedulerBox (): FakeBox {
    return this.liveBoxes().find(({ box }) => box.describe().shards.length > 0) ?? this.liveBoxes()[0]
  }

  async startBox (name: string): Promise<FakeBox> {
    const { availabilityZone } = this.#deployment.boxes.find((box) => box.name === name) as { availabilityZone: string }
    const address = this.address(name)
    const { clock, link } = this.network.addNode(address)
    const log = new SilentLog()
    const metrics = new Metrics()
    const channel = { clock, network: this.network, address }
    const box = createBox({
      settings: this.#settings(name, availabilityZone, address),
      clock,
      random: new SeededRandom(this.random.nextInt(2 ** 32)),
      link,
      platform: new FakePlatformReader({ clock, platform: this.platform, address }),
      engines: new FakeEngineClient({ ...channel, models: this.engines }),
      services: new FakeServiceClient({ ...channel, models: this.services }),
      probe: new FakeUpstreamProbe({ ...channel, isThere: (upstream) => this.#isThere(upstream) }),
      relayClient: new FakeRelayClient({ ...channel, upstreams: this.relayed }),
      log,
      metrics,
    })
    const running: FakeBox = { name, address, availabilityZone, clock, box, log, metrics, alive: true, killed: new AbortController() }
    setMaxListeners(0, running.killed.signal)
    this.boxes.push(running)
    await box.start()
    return running
  }

  /** The process dies. */
  kill (name: string): void {
    this.box(name).alive = false
    this.box(name).killed.abort()
    this.network.kill(this.address(name))
    this.box(name).clock.pause()
  }

  killEngine (name: string): void {
    this.#pastEngines.push(this.engine(name))
    this.engines.delete(this.address(name))
  }

  /** The engine's process ends and another one starts, empty. */
  restartEngine (name: string): void {
    const { role } = this.engine(name)
    this.killEngine(name)
    this.#addEngine(name, role, this.address(name))
  }

  /** The upstream's process ends, and with it all that runs there. Another one starts at its address after a while. */
  async crash (name: string): Promise<void> {
    await this.#crashAt(this.address(name))
  }

  /** Nothing passes between a box and anything else. */
  cutOff (name: string): void {
    this.everyAddress().filter((address) => address !== this.address(name)).forEach((address) => this.network.cutBoth(this.address(name), address))
  }

  /** Addresses of the boxes of an availability zone. */
  boxAddresses (availabilityZone: string): string[] {
    return this.#deployment.boxes.filter((box) => box.availabilityZone === availabilityZone).map(({ name }) => this.address(name))
  }

  /** Nothing passes between an availability zone and the rest. */
  cutOffZone (availabilityZone: string): void {
    const { boxes, upstreams } = this.#deployment
    const places = [...boxes, ...upstreams]
    const inside = places.filter((place) => place.availabilityZone === availabilityZone)
    const outside = places.filter((place) => place.availabilityZone !== availabilityZone)
    inside.forEach((a) => outside.forEach((b) => this.network.cutBoth(this.address(a.name), this.address(b.name))))
  }

  /** Engines that run or have run: their logs of runs outlive them. */
  allEngines (): EngineModel[] {
    return [...this.#pastEngines, ...this.engines.values()]
  }

  /** Addresses of boxes and upstreams. */
  everyAddress (): string[] {
    return [...this.#addressOf.values()]
  }

  /** Sends a request through a box, as a caller that waits for the whole answer. */
  send (boxName: string, request: CompletionRequest | ServiceRequest, signal: AbortSignal = new AbortController().signal): Promise<Outcome> {
    const { box, clock, killed } = this.box(boxName)
    const answer = collectAnswer(clock, box.submit(request, signal))
    return Promise.race([answer, connectionLost([killed.signal, signal])])
  }

  completion (boxName: string, prompt: string, over: Partial<CompletionRequest> = {}): CompletionRequest {
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
      ...over,
    }
  }

  booking (key: string, over: Partial<ServiceRequest> = {}): ServiceRequest {
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
      ...over,
    }
  }

  /** A key whose prefix a box gives out now. */
  key (boxName: string): string {
    return this.box(boxName).box.createKey()
  }

  /** Times that a request ran, over all services. */
  serviceRuns (key: string): number {
    return [...this.services.values()].reduce((sum, { runs }) => sum + (runs.get(key) ?? 0), 0)
  }

  /** Everything that engines hold now. */
  holds () {
    return [...this.engines.values()].flatMap((engine) => engine.holds().map((hold) => ({ ...hold, engine: engine.name })))
  }

  async stop (): Promise<void> {
    this.liveBoxes().forEach(({ clock }) => clock.resume())
    await this.clock.run(Promise.all(this.liveBoxes().map(({ box }) => box.stop())))
  }

  /** Relays a request through a box, and answers what its caller got. */
  async relay (boxName: string, request: Partial<RelayedRequest> & Pick<RelayedRequest, 'id' | 'host' | 'target'>, deadlineMs?: number): Promise<KeepingCaller> {
    const caller = new KeepingCaller()
    const { box, killed } = this.box(boxName)
    killed.signal.addEventListener('abort', () => caller.cut(), { once: true })
    const prompt = { model: 'draft', promptTokens: 500, maxTokens: 40, prefixes: [{ digest: request.target, tokens: 500 }] }
    await box.relay({ method: 'POST', headers: [], body: Buffer.from('body'), callerAddress: '10.9.0.1', prompt, ...request }, caller, deadlineMs)
    return caller
  }

  #isThere (address: string): boolean {
    return this.engines.has(address) || this.services.has(address)
  }

  async #crashAt (address: string): Promise<void> {
    const engine = this.engines.get(address)
    const service = this.services.get(address)
    if (engine) this.killEngine(engine.name)
    this.services.delete(address)
    engine?.crash()
    this.relayed.breakOff(address)
    await this.clock.sleep(BACK_AFTER_MS)
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
        if (!engine) throw new Error('the prefill engine is gone')
        return engine.exportResult(label)
      },
      onRole: (next) => this.#listInRole(name, next),
      ...this.#opts.engine,
    }))
  }

  /** The platform lists an engine in the pool of the role that it has come to. */
  #listInRole (name: string, role: EngineRole): void {
    const upstream = this.#deployment.upstreams.find((one) => one.name === name)
    const pool = this.#deployment.upstreams.map((one) => one.pool).find((one) => one.endsWith(role))
    if (!upstream || !pool) return
    const { kind, availabilityZone } = upstream
    this.platform.publish(Collection.Fleet, [{ kind: FleetEntryKind.Upstream, name, spec: { kind, pool, availabilityZone, address: this.address(name) } }])
  }
}

/** What a caller knows when its connection breaks. */
function connectionLost (signals: readonly AbortSignal[]): Promise<Outcome> {
  const outcome: Outcome = { verdict: Verdict.MayHaveRun, text: '', tokenAtMs: [], endMs: 0 }
  return new Promise((resolve) => {
    signals.forEach((signal) => signal.aborted ? resolve(outcome) : signal.addEventListener('abort', () => resolve(outcome), { once: true }))
  })
}
