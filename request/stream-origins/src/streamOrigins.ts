import { type FleetList } from '@reelspan/config.fleet'
import { type Clock, type TaskErrorListener, TaskGroup } from '@reelspan/core.env'
import { rankByRendezvous } from '@reelspan/core.hashing'
import { type Member, type MessageOf, MessageType, type PeerLink, type StreamOrigin } from '@reelspan/core.messages'
import { type Metrics } from '@reelspan/telemetry.metrics'
import { OriginRecords } from './originRecords.js'
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
  /** Time since any box last had contact with the platform, as far as this box knows. */
  sinceContactMs: () => number | undefined
  onTaskError?: TaskErrorListener
}

/** A stream that a client takes up. */
export interface OriginQuery {
  /** The attempt that brought its first event, if the client named it. */
  attempt?: string
  model: string
  /** Clients may take up streams that began this long ago. */
  keepMs: number
}

/** Who knew the version of a stream. */
export enum OriginSource {
  /** This box has served or held the stream. */
  Own = 'own',
  Peers = 'peers',
  /** There was only one version. */
  List = 'list',
}

export interface FoundOrigin {
  version: string
  source: OriginSource
  /** Names of the boxes that knew it. */
  knownBy: readonly string[]
}

export interface UnknownOrigin {
  reason: string
  /** When another try may succeed. Undefined if none will. */
  retryAfterMs?: number
}

type Knowledge = Omit<MessageOf<MessageType.StreamOriginContent>, 'type'> & { box: string }

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
const RETRY_AFTER_MS = 500

/** Knows which software version began a stream, or finds it out at other boxes. Concludes nothing from their not knowing. */
export class StreamOrigins {
  readonly #opts: StreamOriginsOptions
  readonly #records: OriginRecords
  readonly #history: VersionHistory
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
    this.#history = new VersionHistory(opts)
    this.#tasks = new TaskGroup(opts.clock, opts.onTaskError)
  }

  get recordCount (): number {
    return this.#records.size
  }

  /** Remembers which version began a stream, or went on with it, right before its first event is passed on. */
  record (origin: StreamOrigin): void {
    this.#keepMs = Math.max(this.#keepMs, origin.keepMs)
    this.#records.add(origin)
    if (this.#isMixed(origin.model)) this.#announce([origin])
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

  /** Origins that another box has sent. */
  receive (origins: readonly StreamOrigin[]): void {
    origins.forEach((origin) => this.#records.add(origin))
  }

  /** What this box knows of a stream. */
  answer ({ attempt, model, withinMs }: MessageOf<MessageType.StreamOriginPull>): MessageOf<MessageType.StreamOriginContent> {
    return { type: MessageType.StreamOriginContent, ...this.#know({ attempt, model, keepMs: withinMs }) }
  }

  /** Finds out which version began a stream. */
  async find (query: OriginQuery, signal: AbortSignal): Promise<FoundOrigin | UnknownOrigin> {
    const found = await this.#find(query, signal)
    this.#opts.metrics.count('reelspan_streams_taken_up_total', { origin: 'version' in found ? found.source : 'unknown' })
    return found
  }

  async stop (): Promise<void> {
    await this.#tasks.stop()
  }

  async #find (query: OriginQuery, signal: AbortSignal): Promise<FoundOrigin | UnknownOrigin> {
    const own = query.attempt === undefined ? undefined : this.#records.versionOf(query.attempt, query.model)
    if (own !== undefined) return { version: own, source: OriginSource.Own, knownBy: [] }
    const peers = this.#ranked(query.attempt ?? query.model, this.#opts.members()).slice(0, MAX_ASKED)
    const asked = peers.slice(0, ASKED_HOLDERS)
    const known = await this.#ask(asked, query, signal)
    const fromHolders = agreedVersion(known) ?? this.#concludeFromList(known, asked.length, query)
    if (fromHolders) return fromHolders
    const others = peers.slice(ASKED_HOLDERS)
    const allKnown = others.length === 0 ? known : [...known, ...await this.#ask(others, query, signal)]
    return agreedVersion(allKnown) ?? this.#concludeFromList(allKnown, peers.length, query) ?? this.#unknown(allKnown, peers.length, query)
  }

  async #ask (peers: readonly Member[], { attempt, model, keepMs }: OriginQuery, signal: AbortSignal): Promise<Knowledge[]> {
    const { link } = this.#opts
    const answers = await Promise.all(peers.map(async ({ name, peerAddress }): Promise<Knowledge[]> => {
      // The link logs a failure.
      const answer = await link.call(peerAddress, { type: MessageType.StreamOriginPull, attempt, model, withinMs: keepMs }, { timeoutMs: ASK_TIMEOUT_MS, repeatable: true, signal }).catch(() => undefined)
      return answer?.type === MessageType.StreamOriginContent ? [{ ...answer, box: name }] : []
    }))
    return answers.flat()
  }

  #know ({ attempt, model, keepMs }: OriginQuery): Omit<Knowledge, 'box'> {
    const sinceContactMs = this.#opts.sinceContactMs() ?? Number.POSITIVE_INFINITY
    return {
      version: attempt === undefined ? undefined : this.#records.versionOf(attempt, model),
      versions: this.#versionsOf(model, keepMs),
      coveredMs: sinceContactMs <= MAX_CONTACT_AGE_MS ? this.#history.coveredMs : 0,
    }
  }

  /** The only version that there was for as long as clients may return, if this box and most of those asked know that. */
  #concludeFromList (known: readonly Knowledge[], askedCount: number, query: OriginQuery): FoundOrigin | undefined {
    const own = this.#know(query)
    const all = [own, ...known]
    const versions = new Set(all.flatMap((one) => one.versions))
    const isConfirmed = own.coveredMs > 0 && (askedCount === 0 || 2 * known.length > askedCount)
    if (!isConfirmed || versions.size !== 1 || !all.some(({ coveredMs }) => coveredMs >= query.keepMs)) return undefined
    return { version: [...versions][0], source: OriginSource.List, knownBy: known.map(({ box }) => box) }
  }

  #unknown (known: readonly Knowledge[], askedCount: number, query: OriginQuery): UnknownOrigin {
    const said = new Set(known.flatMap(({ version }) => version ?? []))
    if (said.size > 1) return { reason: `boxes differ on the version that began the stream: ${[...said].join(', ')}` }
    const own = this.#know(query)
    const reason = `none of ${known.length} boxes that answered, of ${askedCount} asked, knows which version began the stream`
    if (known.length < askedCount || own.coveredMs === 0) return { reason, retryAfterMs: RETRY_AFTER_MS }
    const all = [own, ...known]
    const hasOneVersion = new Set(all.flatMap(({ versions }) => versions)).size === 1
    return { reason, retryAfterMs: hasOneVersion ? query.keepMs - Math.max(...all.map(({ coveredMs }) => coveredMs)) : undefined }
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

function agreedVersion (known: readonly Knowledge[]): FoundOrigin | undefined {
  const knowing = known.filter(({ version }) => version !== undefined)
  const versions = new Set(knowing.map(({ version }) => version as string))
  return versions.size === 1 ? { version: [...versions][0], source: OriginSource.Peers, knownBy: knowing.map(({ box }) => box) } : undefined
}

function batches (origins: readonly StreamOrigin[]): StreamOrigin[][] {
  return Array.from({ length: Math.ceil(origins.length / MAX_ORIGINS_PER_MESSAGE) }, (_, i) => origins.slice(i * MAX_ORIGINS_PER_MESSAGE, (i + 1) * MAX_ORIGINS_PER_MESSAGE))
}
