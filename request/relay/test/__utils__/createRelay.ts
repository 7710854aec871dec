import { FleetList, type ListedUpstream, UpstreamKind } from '@reelspan/config.fleet'
import { checkResources, Configuration, ResourceKind } from '@reelspan/config.resources'
import { type EngineOutcome, PlacementOutcome, type PlacementRefusal, type PoolCallOutcome, type StreamOrigin } from '@reelspan/core.messages'
import { EvenShareLimiter } from '@reelspan/membership.limits'
import { type DelegatedAnswer, type DelegateRequest, Delegator, type DelegatorOptions } from '@reelspan/request.delegation'
import { CallerDeadlines, type FoundOrigin, type OriginQuery, OriginSource, type UnknownOrigin } from '@reelspan/request.stream-origins'
import { RunEnds, type RunEndsOptions, Quarantine, RunHistory } from '@reelspan/request.quarantine'
import { Relay, type RelayOptions } from '@reelspan/request.relay'
import { type Placement, Placer, type PlaceRequest } from '@reelspan/scheduling.placer'
import { type PoolRequest, type PoolSlot, PoolSlots, type SlotAnswer } from '@reelspan/scheduling.pool-admission'
import { Log, type LogEvent, type LogFields } from '@reelspan/telemetry.log'
import { Metrics } from '@reelspan/telemetry.metrics'
import { AnswerFraming, type PrefilledPrompt, type PrefillSource, type RelayAnswer, type RelayCallOptions, RelayClient, type RelayedRequest, type RelayRunOptions, type RelayTarget, UpstreamError, UpstreamProbeResult, UpstreamProbe } from '@reelspan/upstream.client'
import { UpstreamFailureReports } from '@reelspan/upstream.health'
import { planPermitBucket, RetryTimes, SendPermits } from '@reelspan/upstream.limits'
import { UpstreamPaths } from '@reelspan/upstream.paths'
import { Backoffs, SignalObserver, UpstreamStates } from '@reelspan/upstream.signals'
import { FakeRelayCaller } from '@reelspan/utils.fake-fleet'
import { FakeNetwork, NO_ACCOUNTS, SeededRandom, VirtualClock } from '@reelspan/utils.fakes'

/** Scripted behavior of an upstream for one request. */
export type Script = (opts: RelayRunOptions & { clock: VirtualClock }) => Promise<RelayAnswer>

/** Upstreams that run the scripts in the order in which requests arrive. */
export class ScriptedUpstreams extends RelayClient {
  readonly runs: { instance: string, request: RelayedRequest, opts: RelayRunOptions }[] = []
  readonly prefills: string[] = []
  readonly freed: PrefillSource[] = []
  readonly #clock: VirtualClock
  readonly #scripts: Script[]
  readonly #inProgress: AbortSignal[] = []
  prefillFailure?: UpstreamError
  prefillHangs = false
  /** The prefill ends when this resolves, even if it was aborted. */
  prefillEnds?: Promise<void>
  /** How long a prefill takes, unless it is aborted. */
  prefillMs = 0
  onPrefill?: () => void
  /** Instances that accept no connection. */
  readonly unreachable = new Set<string>()
  /** Requests wait for this before they are sent, unless they are aborted first. */
  connects?: Promise<void>

  constructor (clock: VirtualClock, scripts: Script[]) {
    super()
    this.#clock = clock
    this.#scripts = scripts
  }

  /** Number of calls in progress at upstreams that were not aborted. */
  get inProgress (): number {
    return this.#inProgress.filter(({ aborted }) => !aborted).length
  }

  async run (target: RelayTarget, request: RelayedRequest, opts: RelayRunOptions): Promise<RelayAnswer> {
    if (this.connects) await Promise.race([this.connects, rejectOnAbort(opts.signal, { mayHaveRun: false })])
    if (this.unreachable.has(target.instance)) throw new UpstreamError(`${target.instance} cannot be reached`, { mayHaveRun: false, unreachable: true })
    const script = this.#scripts[this.runs.length]
    this.runs.push({ instance: target.instance, request, opts })
    opts.onSend?.()
    const answer = await this.#trackWork(opts.signal, script({ ...opts, clock: this.#clock }))
    return { ...answer, body: this.#trackBody(opts.signal, answer.body) }
  }

  async prefill (target: RelayTarget, _request: RelayedRequest, { signal, onSend }: RelayCallOptions): Promise<PrefilledPrompt> {
    this.prefills.push(target.instance)
    onSend?.()
    this.onPrefill?.()
    if (this.prefillEnds) await this.#trackWork(signal, this.prefillEnds)
    if (this.prefillMs > 0) await this.#trackWork(signal, Promise.race([this.#clock.sleep(this.prefillMs), rejectOnAbort(signal)]))
    if (this.prefillHangs) await this.#trackWork(signal, rejectOnAbort(signal))
    if (this.prefillFailure) throw this.prefillFailure
    return { handle: `handle-${this.prefills.length}`, promptTokens: 1000 }
  }

  hasIdleConnection (): boolean {
    return true
  }

  async free (source: PrefillSource): Promise<void> {
    this.freed.push(source)
  }

  async #trackWork<T> (signal: AbortSignal, work: Promise<T>): Promise<T> {
    this.#inProgress.push(signal)
    try {
      return await work
    } finally {
      this.#inProgress.splice(this.#inProgress.indexOf(signal), 1)
    }
  }

  async * #trackBody (signal: AbortSignal, body: AsyncIterable<Uint8Array>): AsyncGenerator<Uint8Array> {
    this.#inProgress.push(signal)
    try {
      yield * body
    } finally {
      this.#inProgress.splice(this.#inProgress.indexOf(signal), 1)
    }
  }
}

/** A caller that records what it receives and can stop reading. */
export class RecordingCaller extends FakeRelayCaller {
  /** Blocks writes until the caller disconnects or resumes reading. */
  stopsReading = false
  #onReadingResumed = () => {}

  override async write (bytes: Uint8Array): Promise<void> {
    await super.write(bytes)
    if (!this.stopsReading || this.left.signal.aborted) return
    await new Promise<void>((resolve) => {
      this.#onReadingResumed = resolve
      this.left.signal.addEventListener('abort', () => resolve(), { once: true })
    })
  }

  resumeReading (): void {
    this.stopsReading = false
    this.#onReadingResumed()
  }
}

/** Places each request on the same prefill engine and a new decode engine, or refuses it. */
class FixedPlacer extends Placer {
  readonly requests: PlaceRequest[] = []
  placed = 0
  released = 0
  readonly outcomes: EngineOutcome[] = []
  refusal?: PlacementRefusal
  startInMs = 0
  /** Decode engines of the first placements. */
  decodeEngines: string[] = []
  /** Whether decode engines compute the prompts themselves. */
  ownPrefill = false
  prefilled = 0
  /** The placement is returned when this resolves, even if the request was aborted. */
  answers?: Promise<void>

  async place (request: PlaceRequest): Promise<Placement | PlacementRefusal> {
    this.requests.push(request)
    await this.answers
    if (this.refusal) return this.refusal
    const nth = this.requests.length
    this.placed++
    const decode = { decodeEngine: this.decodeEngines[nth - 1] ?? `d${nth}`, decodeAddress: `10.0.1.${nth}:1` }
    const prefill = this.ownPrefill ? { prefillEngine: decode.decodeEngine, prefillAddress: decode.decodeAddress } : { prefillEngine: 'p1', prefillAddress: '10.0.0.1:1' }
    const plan = { outcome: PlacementOutcome.Placed as const, ...prefill, ...decode, kvBytes: 1, startInMs: this.startInMs, startWithinMs: 300, expectedTtftMs: 100 }
    return {
      plan,
      placedBy: 'test',
      recordPrefillEnd: () => { this.prefilled++ },
      recordOutcomes: (outcomes) => { this.outcomes.push(...outcomes) },
      release: (_report, outcomes) => {
        this.released++
        this.outcomes.push(...outcomes ?? [])
      },
      recordProgress: () => {}
    }
  }
}

/** Upstreams that have exited refuse connections; all others listen. */
class ScriptedProbe extends UpstreamProbe {
  readonly ended = new Set<string>()

  async probe (address: string): Promise<UpstreamProbeResult> {
    return this.ended.has(address) ? UpstreamProbeResult.Refused : UpstreamProbeResult.Listening
  }
}

/** Answers acquisitions of slots as scripted, and records how slots were released. A pool is short of capacity while answers are left. */
export class ScriptedPools extends PoolSlots {
  answers: ((request: PoolRequest, avoid: readonly string[], signal: AbortSignal) => SlotAnswer | Promise<SlotAnswer>)[] = []
  readonly released: { upstream: string, outcome: PoolCallOutcome }[] = []
  tracked = 0
  full = 0

  isShort (): boolean {
    return this.answers.length > 0
  }

  async acquire (request: PoolRequest, avoid: readonly string[], signal: AbortSignal): Promise<SlotAnswer> {
    const [answer] = this.answers.splice(0, 1)
    return answer(request, avoid, signal)
  }

  track (_request: PoolRequest, upstream: string): PoolSlot {
    this.tracked++
    return this.slot(upstream)
  }

  slot (upstream: string): PoolSlot {
    let held = true
    return {
      upstream,
      release: (outcome) => {
        if (held) this.released.push({ upstream, outcome })
        held = false
      },
    }
  }

  recordAnswer (): void {}

  recordFull (): void {
    this.full++
  }
}

/** Answers as scripted which software version began a stream, and records the streams that begin. */
export class ScriptedOrigins {
  readonly deadlines = new CallerDeadlines()
  readonly recorded: StreamOrigin[] = []
  readonly queries: OriginQuery[] = []
  found: FoundOrigin | UnknownOrigin = { version: '', source: OriginSource.List, knownBy: [] }

  /** Whether the routes of streams were moved. */
  moved = false

  mayHaveLedElsewhere (): boolean {
    return this.moved
  }

  record (origin: StreamOrigin): void {
    this.recorded.push(origin)
  }

  async find (query: OriginQuery): Promise<FoundOrigin | UnknownOrigin> {
    this.queries.push(query)
    return this.found
  }
}

/** Has another box run requests as scripted. */
class ScriptedDelegator extends Delegator {
  readonly requests: DelegateRequest[] = []
  readonly #script: TestRelayOptions['delegate']

  constructor (opts: DelegatorOptions, script: TestRelayOptions['delegate']) {
    super(opts)
    this.#script = script
  }

  override async run (request: DelegateRequest, answer: DelegatedAnswer): Promise<void> {
    this.requests.push(request)
    return this.#script ? this.#script(request, answer) : super.run(request, answer)
  }
}

class RecordingLog extends Log {
  readonly entries: { event: LogEvent, fields?: LogFields }[] = []

  info (event: LogEvent, fields?: LogFields): void {
    this.entries.push({ event, fields })
  }

  warn (event: LogEvent, fields?: LogFields): void {
    this.entries.push({ event, fields })
  }
}

const DECLARED = [
  { kind: ResourceKind.Pool, name: 'desk', spec: { role: 'service' } },
  { kind: ResourceKind.Pool, name: 'p', spec: { role: 'prefill' } },
  { kind: ResourceKind.Pool, name: 'd', spec: { role: 'decode' } },
  { kind: ResourceKind.Model, name: 'm', spec: { prefillPool: 'p', decodePool: 'd', kvBytesPerToken: 1000, prefillTokensPerSecond: 1000, decodeStepBaseMs: 4, decodeStepPerRequestMs: 0.1 } },
  { kind: ResourceKind.Route, name: 'fetch', spec: { host: 'desk.example', pathPrefix: '/fetch/', targets: [{ pool: 'desk' }], notRepeatable: true, maxAttempts: 3, deadlineMs: 2000, ttftTargetMs: 200 } },
  { kind: ResourceKind.Route, name: 'status', spec: { host: 'desk.example', pathPrefix: '/status/', targets: [{ pool: 'desk' }], maxAttempts: 2, deadlineMs: 2000, ttftTargetMs: 200 } },
  { kind: ResourceKind.Route, name: 'notes', spec: { host: 'desk.example', pathPrefix: '/notes/', targets: [{ pool: 'desk' }], streaming: true, resumable: true, maxAttempts: 2, deadlineMs: 2000, ttftTargetMs: 200 } },
  { kind: ResourceKind.Route, name: 'mixed', spec: { host: 'desk.example', pathPrefix: '/mixed/', targets: [{ pool: 'desk', weight: 99 }, { model: 'm', weight: 1 }], streaming: true, resumable: true, maxAttempts: 2, deadlineMs: 2000, ttftTargetMs: 200 } },
  { kind: ResourceKind.Route, name: 'draft', spec: { host: 'desk.example', pathPrefix: '/draft/', targets: [{ model: 'm' }], streaming: true, notRepeatable: true, maxAttempts: 1, deadlineMs: 10_000, ttftTargetMs: 900 } },
  { kind: ResourceKind.Route, name: 'reply', spec: { host: 'desk.example', pathPrefix: '/reply/', targets: [{ model: 'm' }], streaming: true, resumable: true, maxAttempts: 2, deadlineMs: 10_000, ttftTargetMs: 900 } },
  { kind: ResourceKind.Route, name: 'outline', spec: { host: 'desk.example', pathPrefix: '/outline/', targets: [{ model: 'm' }], streaming: true, resumable: true, maxAttempts: 3, deadlineMs: 10_000, ttftTargetMs: 900 } },
]

function declared (computesPrompts: boolean) {
  return DECLARED.map((one) => computesPrompts && one.kind === ResourceKind.Model ? { ...one, spec: { ...one.spec, decodePrefillTokensPerSecond: 500 } } : one)
}

export interface TestRelayOptions {
  retryBurst?: number
  services?: readonly string[]
  /** The box gets its configuration after this time; by default it has one from the start. */
  configuredAfterMs?: number
  /** Whether decode engines can compute prompts themselves. */
  computesPrompts?: boolean
  onTaskError?: RelayOptions['onTaskError']
  admission?: RelayOptions['admission']
  /** Addresses by which the box judges its paths. */
  probedAddresses?: readonly string[]
  /** How another box runs a request while this one has lost its paths; by default none does. */
  delegate?: (request: DelegateRequest, answer: DelegatedAnswer) => Promise<void>
  /** How upstreams answer the question which start they are; by default they do not. */
  identify?: RunEndsOptions['identify']
}

/** Creates a relay with scripted upstreams and one route of each kind, and one with a third attempt. */
export function createRelay (scripts: Script[], { retryBurst = 20, services = ['s1', 's2', 's3'], computesPrompts = false, configuredAfterMs = 0, onTaskError, admission = NO_ACCOUNTS, probedAddresses = [], delegate, identify }: TestRelayOptions = {}) {
  const clock = new VirtualClock()
  const startedAtMs = clock.nowMs()
  const upstreams = new ScriptedUpstreams(clock, scripts)
  const placer = new FixedPlacer()
  const log = new RecordingLog()
  const probe = new ScriptedProbe()
  const metrics = new Metrics()
  const reports = new UpstreamFailureReports({ clock })
  const closedUnanswered: string[] = []
  const history = new RunHistory({ clock })
  const quarantine = new Quarantine({ clock, log, history, incarnation: () => 'a'.repeat(16), onEvent: () => {}, mayTry: () => true })
  const onUpstreamExited: RunEndsOptions['onUpstreamExited'] = ({ identity, upstream, sentAtMs, endedAtMs, writtenMs, targetVersion }) =>
    quarantine.recordUpstreamExit(identity, upstream, { ranMs: endedAtMs - sentAtMs, ageMs: 0, writtenMs, targetVersion })
  const { configuration, problems } = checkResources(declared(computesPrompts).map((one) => ({ ...one, revision: 1 })), 1)
  if (problems.length > 0) throw new Error(JSON.stringify(problems))
  const desk = services.map((name, i): ListedUpstream => ({ name, kind: UpstreamKind.Service, address: `10.0.2.${i}:1`, availabilityZone: 'a', pool: 'desk', leaving: false }))
  const engines = ['p1', 'd1', 'd2', 'd3', 'd4'].map((name): ListedUpstream => ({ name, kind: UpstreamKind.Engine, address: '10.0.3.1:1', availabilityZone: 'a', pool: name.startsWith('p') ? 'p' : 'd', leaving: false }))
  const fleet = () => new FleetList([], [...desk, ...engines])
  const upstreamStates = new UpstreamStates({ clock, log, isListed: () => true })
  const backoffs = new Backoffs({ clock, log })
  const signals = new SignalObserver({ clock, log, states: upstreamStates, backoffs })
  const pools = new ScriptedPools()
  const limiter = new EvenShareLimiter({
    clock,
    configOf: (upstream) => {
      const perSecond = upstreamStates.perSecond(upstream)
      return perSecond === undefined ? undefined : planPermitBucket(perSecond, 1, 1)
    },
  })
  const origins = new ScriptedOrigins()
  const paths = new UpstreamPaths({ clock, random: new SeededRandom(8), probe, addresses: () => probedAddresses, onLost: () => {}, onRegained: () => {} })
  const { link } = new FakeNetwork({ clock, random: new SeededRandom(9) }).addNode('10.0.0.9:1')
  const delegator = new ScriptedDelegator({ random: new SeededRandom(9), link, metrics, self: () => ({ name: 'test', incarnation: 'a'.repeat(16), availabilityZone: 'a' }), isNeeded: () => paths.lost, delegates: () => [] }, delegate)
  const relay = new Relay({
    clock,
    origins,
    random: new SeededRandom(7),
    upstreams,
    placer,
    admission,
    upstreamReports: reports,
    delegators: { [UpstreamKind.Engine]: delegator, [UpstreamKind.Service]: delegator },
    paths: { [UpstreamKind.Engine]: paths, [UpstreamKind.Service]: paths },
    signals,
    backoffs,
    upstreamStates,
    permits: new SendPermits({ clock, states: upstreamStates, backoffs, limiter, metrics }),
    pools,
    retryTimes: new RetryTimes({ clock, boxCount: () => 1 }),
    onClosedUnanswered: (upstream) => { reports.add({ id: `own-${closedUnanswered.push(upstream)}`, upstream, box: 'test', ageMs: 0 }) },
    configuration: () => clock.nowMs() - startedAtMs >= configuredAfterMs ? configuration : new Configuration(0, []),
    whenConfigured: (signal) => clock.sleep(startedAtMs + configuredAfterMs - clock.nowMs(), { signal }),
    fleet,
    fleetRevision: () => 1,
    self: () => ({ peerAddress: '10.0.0.9:1', incarnation: 'a'.repeat(16), availabilityZone: 'a' }),
    boxCount: () => 1,
    onTaskError,
    runEnds: new RunEnds({ clock, probe, log, metrics, fleet, identify, onUpstreamExited }),
    quarantine,
    retriesPerRequest: 0,
    retryBurst,
    log,
    metrics,
  })
  return { clock, relay, upstreams, delegator, origins, upstreamStates, backoffs, signals, pools, placer, probe, quarantine, log, metrics, engines, reports, closedUnanswered }
}

export function requestTo (path: string, over: Partial<RelayedRequest> = {}): RelayedRequest {
  return {
    id: 'r1',
    method: 'POST',
    host: 'desk.example',
    target: path,
    headers: ['Host', 'desk.example'],
    body: new Uint8Array([1]),
    callerAddress: '10.9.0.1',
    prompt: { model: 'm', promptTokens: 1000, maxTokens: 100, prefixes: [{ digest: 'own', tokens: 1000 }] },
    ...over,
  }
}

export function answers (status: number, text: string): Script {
  return async () => ({ status, notRun: false, headers: [], body: bodyOf([text]) })
}

/** Sends a stream of events that ends with its connection. */
export function streams (text: string): Script {
  return async () => ({ status: 200, notRun: false, headers: ['Content-Type', 'text/event-stream'], framing: AnswerFraming.Connection, body: bodyOf([text]) })
}

/** Sends `head`, then `piece` as often as given, unless aborted before. */
export function repeats (head: string, piece: string, times: number, headers = ['Content-Type', 'text/event-stream']): Script {
  return async ({ signal }) => ({ status: 200, notRun: false, headers, framing: AnswerFraming.Connection, body: bodyUnlessAborted([head, ...Array.from({ length: times }, () => piece)], signal) })
}

/** Answers after a delay, unless aborted before. */
export function answersAfter (waitMs: number, status: number, text: string): Script {
  return async ({ clock, signal }) => {
    await clock.sleep(waitMs, { signal })
    if (signal.aborted) throw new UpstreamError('aborted', { mayHaveRun: true, unreachable: true })
    return { status, notRun: false, headers: [], body: bodyOf([text]) }
  }
}

/** Begins an answer and fails behind the given parts. */
export function aborts (status: number, parts: string[]): Script {
  return async () => ({ status, notRun: false, headers: [], body: bodyOf(parts, new UpstreamError('connection lost', { mayHaveRun: true })) })
}

export function refuses (): Script {
  return async () => ({ status: 503, notRun: true, headers: [], body: bodyOf([]) })
}

export function fails (opts: { mayHaveRun: boolean, unreachable?: boolean }): Script {
  return async () => { throw new UpstreamError('failed', opts) }
}

/** Sends nothing until aborted. */
export function hangs (): Script {
  return ({ signal }) => rejectOnAbort(signal)
}

/** Begins an answer, then sends nothing until aborted. */
export function stalls (status: number, part: string): Script {
  return async ({ signal }) => ({ status, notRun: false, headers: [], body: stallingBody(part, signal) })
}

async function * stallingBody (part: string, signal: AbortSignal): AsyncGenerator<Uint8Array> {
  yield Buffer.from(part)
  await rejectOnAbort(signal)
}

function rejectOnAbort (signal: AbortSignal, { mayHaveRun } = { mayHaveRun: true }): Promise<never> {
  return new Promise((_resolve, reject) => {
    const abort = () => reject(new UpstreamError('aborted', { mayHaveRun, unreachable: true }))
    if (signal.aborted) abort()
    else signal.addEventListener('abort', abort)
  })
}

/** Sends its parts at once; fails if aborted before they are read. */
export function endsUnlessAborted (status: number, parts: string[]): Script {
  return async ({ signal }) => ({ status, notRun: false, headers: [], body: bodyUnlessAborted(parts, signal) })
}

/** Sends a part, pauses before each further one, and fails if aborted. */
export function pauses (status: number, parts: string[], pauseMs: number, headers: string[] = []): Script {
  return async ({ clock, signal }) => ({ status, notRun: false, headers, body: pausingBody(parts, () => clock.sleep(pauseMs, { signal }), signal) })
}

async function * pausingBody (parts: string[], pause: () => Promise<void>, signal: AbortSignal): AsyncGenerator<Uint8Array> {
  for (const [i, part] of parts.entries()) {
    if (i > 0) await pause()
    if (signal.aborted) throw new UpstreamError('aborted', { mayHaveRun: true, unreachable: true })
    yield Buffer.from(part)
  }
}

async function * bodyUnlessAborted (parts: string[], signal: AbortSignal): AsyncGenerator<Uint8Array> {
  for (const part of parts) {
    if (signal.aborted) throw new UpstreamError('aborted', { mayHaveRun: true, unreachable: true })
    yield Buffer.from(part)
  }
}

async function * bodyOf (parts: string[], failure?: Error): AsyncGenerator<Uint8Array> {
  for (const part of parts) yield Buffer.from(part)
  if (failure) throw failure
}
