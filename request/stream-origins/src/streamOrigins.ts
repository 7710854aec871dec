import { type FleetList, softwareVersionOf } from '@reelspan/config.fleet'
import { type Clock, type TaskErrorListener, TaskGroup } from '@reelspan/core.env'
import { rankByRendezvous } from '@reelspan/core.hashing'
import { type Member, type MessageOf, MessageType, type PeerLink, type StreamOrigin } from '@reelspan/core.messages'
import { type Metrics } from '@reelspan/telemetry.metrics'
import { type EngineRun } from '@reelspan/upstream.client'
import { CallerDeadlines } from './callerDeadlines.js'
import { contentKey, isContentKey } from './contentKey.js'
import { type EngineWitnesses } from './engineWitnesses.js'
import { type BoundedQuery, type Evidence, type FoundOrigin, type Knowledge, type OriginQuery, OriginSource, type OwnKnowledge, type UnknownOrigin, unknownOrigin, versionAtBoxes, versionAtEngines, withMaxAge } from './originEvidence.js'
import { OriginRecords } from './originRecords.js'
import { type RoutedPath, RouteTargets, type StreamRoute } from './routeTargets.js'
import { RunSightings } from './runSightings.js'
import { VersionHistory } from './versionHistory.js'

export interface StreamOriginsOptions {
  clock: Clock
  link: PeerLink
  metrics: Metrics
  selfIncarnation: () => string
  /** Members that are not gone, this box included. */
  members: () => readonly Member[]
  /** Live members that accept new work. */
  takingWork: () => readonly Member[]
  fleet: () => FleetList
  /** The pools of each model. */
  poolsOfModels: () => ReadonlyMap<string, readonly string[]>
  /** The routes of streams that may be taken up. */
  routes?: () => readonly StreamRoute[]
  /** Time since any box last had contact with the platform, as far as this box knows. */
  sinceContactMs: () => number | undefined
  /** Asked about streams that no box knows. */
  witnesses?: Pick<EngineWitnesses, 'find'>
  onTaskError?: TaskErrorListener
}

/** A stream that has begun, or gone on, at this box. */
export interface BegunStream extends StreamOrigin {
  /** Hash of what its upstream receives, which the request shares with its client's other attempts. */
  content?: string
}

const HOLDERS = 3
/** Views of the members may differ, so that one more is asked. */
const ASKED_HOLDERS = 4
const MAX_ASKED = 128
const ASK_TIMEOUT_MS = 100
/** Beginnings of streams are collected for this long. */
const SEND_DELAY_MS = 20
const SEND_TIMEOUT_MS = 300
const MAX_ORIGINS_PER_MESSAGE = 500
/** Changes of the list spread with heartbeats, within about a second. */
const MAX_CONTACT_AGE_MS = 3000

/** Knows which software version began a stream, or finds it out at other boxes. Concludes nothing from their not knowing. */
export class StreamOrigins {
  /** How long callers wait, as observed by this box and, at take-ups, by those that it asks. */
  readonly deadlines = new CallerDeadlines()
  readonly #opts: StreamOriginsOptions
  readonly #records: OriginRecords
  readonly #sightings: RunSightings
  readonly #history: VersionHistory
  readonly #routeTargets: RouteTargets
  readonly #tasks: TaskGroup
  /** Models of which more than one version was known at the last list. */
  #mixedModels: ReadonlySet<string> = new Set()
  /** Origins to be sent to other boxes, by address. */
  readonly #unsent = new Map<string, StreamOrigin[]>()
  /** The longest time for which a stream was to be kept. */
  #keepMs = 0

  constructor (opts: StreamOriginsOptions) {
    this.#opts = opts
    this.#records = new OriginRecords(opts)
    this.#sightings = new RunSightings(opts)
    this.#history = new VersionHistory(opts)
    this.#routeTargets = new RouteTargets(opts)
    this.#tasks = new TaskGroup(opts.clock, opts.onTaskError)
  }

  get recordCount (): number {
    return this.#records.size
  }

  /** Remembers which version began a stream, or went on with it, right before its first event is passed on. */
  record ({ content, ...origin }: BegunStream): void {
    const origins = [origin, ...content === undefined ? [] : [{ ...origin, attempt: contentKey(content) }]]
    this.#keepMs = Math.max(this.#keepMs, origin.keepMs)
    origins.forEach((one) => this.#records.add(one))
    if (this.#isMixed(origin.model) || !this.#isCovered(origin)) this.#announce(origins)
  }

  /** Must be called with each change of the list. Sends the origins of all streams to other boxes when a second version is listed. */
  onFleetChanged (): void {
    const { fleet, poolsOfModels } = this.#opts
    this.#history.observe(fleet())
    const mixed = new Set([...poolsOfModels().keys()].filter((model) => this.#isMixed(model)))
    const newlyMixed = [...mixed].filter((model) => !this.#mixedModels.has(model))
    this.#mixedModels = mixed
    newlyMixed.forEach((model) => this.#announce(this.#records.ofModel(model)))
  }

  /** Must be called with each change of the declarations. */
  onDeclarationsChanged (): void {
    this.#routeTargets.observe(this.#opts.routes?.() ?? [])
  }

  /** Whether a request may have led to another model or pool within the given time, as far as this box knows. */
  mayHaveLedElsewhere (routed: RoutedPath, target: string, withinMs: number): boolean {
    return this.#routeTargets.mayHaveLedElsewhere(routed, target, withinMs)
  }

  /** Origins that another box has sent. */
  receive (origins: readonly StreamOrigin[]): void {
    origins.forEach((origin) => this.#records.add(origin))
  }

  /** Records the runs that an engine reports. */
  observeRuns (engine: string, runs: readonly EngineRun[]): void {
    const listed = this.#opts.fleet().upstream(engine)
    if (listed) this.#sightings.add(softwareVersionOf(listed), runs)
  }

  /** What this box knows of a stream. */
  answer ({ attempt, model, host, path, withinMs }: MessageOf<MessageType.StreamOriginPull>): MessageOf<MessageType.StreamOriginContent> {
    const routed = host === undefined || path === undefined ? undefined : { host, path }
    return { type: MessageType.StreamOriginContent, ...this.#know({ attempt, model, routed, maxAgeMs: withinMs }) }
  }

  /** Finds out which version began a stream. */
  async find ({ content, ...named }: OriginQuery, signal: AbortSignal): Promise<FoundOrigin | UnknownOrigin> {
    const query = { ...named, attempt: named.attempt ?? (content === undefined ? undefined : contentKey(content)) }
    const found = await this.#find(query, signal)
    if ('version' in found && found.source === OriginSource.Engines) this.#keep(found, query)
    this.#opts.metrics.count('reelspan_streams_taken_up_total', { origin: 'version' in found ? found.source : 'unknown' })
    return found
  }

  async stop (): Promise<void> {
    await this.#tasks.stop()
  }

  /** Records a version that engines reported: they soon evict the evidence, and the client may be refused for another reason and retry. */
  #keep ({ version }: FoundOrigin, { attempt, model, keepMs, remainingMs = keepMs }: OriginQuery): void {
    if (attempt !== undefined) this.record({ attempt, model, version, keepMs: remainingMs })
  }

  async #find (query: OriginQuery, signal: AbortSignal): Promise<FoundOrigin | UnknownOrigin> {
    const { attempt, model } = query
    const own = attempt === undefined ? undefined : this.#records.versionOf(attempt, model)
    // Another stream of the same content may have begun elsewhere.
    if (own !== undefined && !isContentKey(attempt as string)) return { version: own, source: OriginSource.Own, knownBy: [] }
    const bounded = withMaxAge(query)
    const peers = this.#ranked(attempt ?? model, this.#opts.members()).slice(0, MAX_ASKED)
    const holders = peers.slice(0, ASKED_HOLDERS)
    const known = await this.#ask(holders, bounded, signal)
    const foundAtHolders = versionAtBoxes(this.#evidence(bounded, known, holders))
    if (foundAtHolders) return foundAtHolders
    const [fromOthers, testimony] = await Promise.all([this.#ask(peers.slice(ASKED_HOLDERS), bounded, signal), this.#opts.witnesses?.find(query)])
    const evidence = this.#evidence(bounded, [...known, ...fromOthers], peers)
    return versionAtBoxes(evidence) ?? versionAtEngines(evidence, testimony) ?? unknownOrigin(evidence, testimony)
  }

  /** What this box and those that were asked know of a stream. */
  #evidence (query: BoundedQuery, known: readonly Knowledge[], asked: readonly Member[]): Evidence {
    return { query, own: this.#know(query), known, askedCount: asked.length, mayBeOlder: this.#mayBeOlder(known, query) }
  }

  async #ask (peers: readonly Member[], { attempt, model, routed, maxAgeMs }: BoundedQuery, signal: AbortSignal): Promise<Knowledge[]> {
    const { link } = this.#opts
    const answers = await Promise.all(peers.map(async ({ name, peerAddress }): Promise<Knowledge[]> => {
      // The link logs a failure.
      const answer = await link.call(peerAddress, { type: MessageType.StreamOriginPull, attempt, model, ...routed, withinMs: maxAgeMs }, { timeoutMs: ASK_TIMEOUT_MS, repeatable: true, signal }).catch(() => undefined)
      return answer?.type === MessageType.StreamOriginContent ? [{ ...answer, box: name }] : []
    }))
    return answers.flat()
  }

  #know ({ attempt, model, routed, maxAgeMs }: Pick<BoundedQuery, 'attempt' | 'model' | 'routed' | 'maxAgeMs'>): OwnKnowledge {
    const sinceContactMs = this.#opts.sinceContactMs() ?? Number.POSITIVE_INFINITY
    return {
      version: attempt === undefined ? undefined : this.#records.versionOf(attempt, model),
      ranAt: attempt === undefined ? undefined : [...this.#sightings.versionsOf(attempt, this.deadlines.longestMs(model)), ...isContentKey(attempt) ? this.#records.versionsOf(attempt, model) : []],
      isOfOtherModel: (attempt !== undefined && this.#records.isOfOtherModel(attempt, model)) || undefined,
      mayHaveLedElsewhere: (routed && this.mayHaveLedElsewhere(routed, model, maxAgeMs)) || undefined,
      versions: this.#versionsOf(model, maxAgeMs),
      coveredMs: sinceContactMs <= MAX_CONTACT_AGE_MS ? this.#history.coveredMs : 0,
      longestDeadlineMs: this.deadlines.observedMs(model),
    }
  }

  /** Whether another box has seen a longer deadline than this one knew when it asked. Notes it for the next query. */
  #mayBeOlder (known: readonly Knowledge[], { model, keepMs }: BoundedQuery): boolean {
    const longestMs = Math.max(0, ...known.map(({ longestDeadlineMs = 0 }) => longestDeadlineMs))
    this.deadlines.observe(model, longestMs)
    return longestMs > keepMs
  }

  /** Whether the list alone will tell the stream's version for as long as its client may take it up. */
  #isCovered ({ model, keepMs }: StreamOrigin): boolean {
    return this.#history.coveredMs + keepMs >= this.deadlines.longestMs(model)
  }

  #isMixed (model: string): boolean {
    return this.#versionsOf(model, this.#keepMs).length > 1
  }

  #versionsOf (model: string, withinMs: number): string[] {
    return this.#history.versions(this.#opts.poolsOfModels().get(model) ?? [], withinMs)
  }

  /** Members that understand the messages, this box excluded, by rank: the first of each availability zone come first. */
  #ranked (attempt: string, members: readonly Member[]): Member[] {
    const selfIncarnation = this.#opts.selfIncarnation()
    const candidates = members.filter(({ incarnation, knowsStreamOrigins }) => knowsStreamOrigins && incarnation !== selfIncarnation)
    const ranked = rankByRendezvous(`origin|${attempt}`, candidates, ({ incarnation }) => incarnation)
    const zones = new Set<string>()
    const firstOfZones = ranked.filter(({ availabilityZone }) => !zones.has(availabilityZone) && zones.add(availabilityZone))
    return [...firstOfZones, ...ranked.filter((member) => !firstOfZones.includes(member))]
  }

  #announce (origins: readonly StreamOrigin[]): void {
    const wasEmpty = this.#unsent.size === 0
    origins.forEach((origin) => this.#ranked(origin.attempt, this.#opts.takingWork()).slice(0, HOLDERS).forEach(({ peerAddress }) => {
      const unsent = this.#unsent.get(peerAddress)
      if (unsent) unsent.push(origin)
      else this.#unsent.set(peerAddress, [origin])
    }))
    if (wasEmpty && this.#unsent.size > 0) this.#tasks.run(() => this.#flush())
  }

  async #flush (): Promise<void> {
    await this.#opts.clock.sleep(SEND_DELAY_MS, { signal: this.#tasks.signal })
    const unsent = [...this.#unsent]
    this.#unsent.clear()
    await Promise.all(unsent.flatMap(([address, origins]) => batches(origins).map((batch) => this.#send(address, batch))))
  }

  async #send (address: string, origins: StreamOrigin[]): Promise<void> {
    // The link logs a failure.
    await this.#opts.link.call(address, { type: MessageType.StreamOriginsTell, origins }, { timeoutMs: SEND_TIMEOUT_MS, repeatable: true, signal: this.#tasks.signal }).catch(() => {})
  }
}

function batches (origins: readonly StreamOrigin[]): StreamOrigin[][] {
  return Array.from({ length: Math.ceil(origins.length / MAX_ORIGINS_PER_MESSAGE) }, (_, i) => origins.slice(i * MAX_ORIGINS_PER_MESSAGE, (i + 1) * MAX_ORIGINS_PER_MESSAGE))
}
