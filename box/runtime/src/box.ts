import { type BoxAdmission } from '@reelspan/accounts.admission'
import { raceTimeout, TaskGroup } from '@reelspan/core.env'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { type AnswerEvent, Collection, type Member, MemberHealth, MessageType, type RoutedRequest } from '@reelspan/core.messages'
import { type Configuration } from '@reelspan/config.resources'
import { type Settings } from '@reelspan/config.settings'
import { storeRevisionOf } from '@reelspan/config.store'
import { type RelayCaller } from '@reelspan/request.relay'
import { type RelayedRequest, type UpstreamSignals } from '@reelspan/upstream.client'
import { type LookupAnswer } from '@reelspan/request.lookup'
import { SchedulerPlacer } from '@reelspan/scheduling.scheduler-placer'
import { LogEvent } from '@reelspan/telemetry.log'
import { type BoxParts, listedPeers } from './boxParts.js'
import { changedKeys } from './changedKeys.js'
import { drawIncarnation } from './drawIncarnation.js'
import { MemberNews } from './memberNews.js'
import { plannedStop } from './plannedStop.js'
import { Reconciler } from './reconciler.js'
import { registerBoxMetrics } from './registerBoxMetrics.js'
import { type ResourceApi } from './resourceApi.js'

const FIRST_PEERS_ASKED = 3
const LOOKUP_TIMEOUT_MS = 500

/** One box: everything that runs in one process, behind a narrow interface for the HTTP front. */
export class Box {
  readonly #parts: BoxParts
  readonly #tasks: TaskGroup
  #stopping = false
  #callersBeingServed = 0
  readonly #memberNews = new MemberNews()
  readonly #reconciler: Reconciler

  constructor (parts: BoxParts) {
    this.#parts = parts
    this.#tasks = new TaskGroup(parts.clock, (thrown) => parts.failures.noteTask('box', thrown))
    this.#reconciler = new Reconciler(parts, this.#tasks)
  }

  /** Whether this box has a configuration to serve by. */
  get ready (): boolean {
    return this.#reconciler.ready
  }

  /** Takes requests in for client accounts. */
  get admission (): BoxAdmission {
    return this.#parts.admission
  }

  get configuration (): Configuration {
    return this.#parts.declarations.value
  }

  get resources (): ResourceApi {
    return this.#parts.resources
  }

  get self (): Member {
    return this.#parts.view.self
  }

  /** Reads platform and peers, meets the other boxes, and begins to serve. */
  async start (): Promise<void> {
    const { link, dispatch, followers, prober, view, log, random, pauses } = this.#parts
    pauses.start(this.#tasks)
    link.serve(dispatch)
    view.onChange((member) => this.#onMemberChange(member))
    await followers[Collection.Fleet].readFirst([])
    const asked = random.sample(listedPeers(this.#parts), FIRST_PEERS_ASKED)
    await Promise.all([
      prober.join(asked),
      followers[Collection.Fleet].readFirst(asked),
      followers[Collection.Declarations].readFirst(asked),
    ])
    registerBoxMetrics(this.#parts)
    Object.values(followers).forEach((follower) => follower.start())
    prober.start()
    this.#parts.proofKeeper?.start()
    this.#reconciler.start()
    log.info(LogEvent.Started, { incarnation: view.self.incarnation, revision: this.#parts.declarations.revision })
  }

  /** Acts on a change of the fleet that the platform's list does not have. */
  onFleetChange (): void {
    this.#reconciler.onFleetChange()
  }

  /** Runs or joins a request and yields its answer, to the final event. */
  async * submit (request: RoutedRequest, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
    this.#callersBeingServed++
    try {
      yield * this.#parts.router.submit(request, signal)
    } finally {
      this.#callersBeingServed--
    }
  }

  /** Runs an opaque request and answers its caller. */
  async relay (request: RelayedRequest, caller: RelayCaller, deadlineMs?: number): Promise<void> {
    const { relay } = this.#parts
    if (!relay) throw new ReelspanError(ErrorCode.NoRoute, 'this box relays no requests')
    this.#callersBeingServed++
    try {
      await relay.relay(request, caller, deadlineMs)
    } finally {
      this.#callersBeingServed--
    }
  }

  /** Whether this machine was suspended, now that its time of day went ahead of its clock by so much. Until that is known, no order is given. */
  async wasSuspended (durationMs: number): Promise<boolean> {
    const { log, pauses, prober, proof } = this.#parts
    pauses.note(durationMs)
    proof.forget()
    const suspended = await prober.hasLostTime(durationMs)
    log.warn(LogEvent.ClockLeapt, { durationMs: Math.round(durationMs), suspended })
    return suspended
  }

  /** Takes in what may change while the box runs: the addresses of boxes to meet. Answers the names of changed keys that need a restart. */
  reload (next: Settings): string[] {
    const { settings, log } = this.#parts
    const changed = changedKeys(settings, next)
    settings.membership.seedAddresses = next.membership.seedAddresses
    const needRestart = changed.filter((key) => key !== 'membership.seedAddresses')
    log.info(LogEvent.Reloaded, { changed, needRestart })
    return needRestart
  }

  /** Whether this box is about to stop. */
  get leaving (): boolean {
    return this.#stopping
  }

  /** KV bytes that a token takes on the engine at an address, or 0 where none is known. */
  kvBytesPerTokenAt (address: string): number {
    const { keepers, upstreams } = this.#parts
    const pool = upstreams.at(address)?.pool
    const shard = keepers.shards().find(({ spec }) => spec.prefillPool === pool || spec.decodePool === pool)
    return shard?.spec.kvBytesPerToken ?? 0
  }

  /** Names the start of an upstream that is known to be at an address. */
  upstreamStartAt (address: string): string | undefined {
    return this.#parts.upstreams.at(address)?.name
  }

  /**
   * Records what a response to a call beside requests advertises about the upstream at an address.
   *
   * @param startedAtMs when the start of the upstream began that answered, where it tells
   */
  observeUpstreamAt (address: string, advertised: UpstreamSignals, startedAtMs?: number): void {
    const { clock, upstreams, signals } = this.#parts
    const upstream = upstreams.at(address)
    if (upstream && (startedAtMs ?? upstream.startedAtMs) === upstream.startedAtMs) signals.observe(upstream.name, advertised, clock.nowMs())
  }

  /** Whether an upstream is in the list by which this box gives out work. */
  listsUpstream (name: string): boolean {
    return this.#parts.fleet.value.upstream(name) !== undefined
  }

  /** Whether this box keeps the permits of an upstream that names a limit, as it sees the members. */
  keepsPermitsOf (upstream: string): boolean {
    return this.#parts.permitLimiter.isHome(upstream)
  }

  /** Connections of the upstream at an address that are this box's, where its pool declares how many it takes of all boxes. */
  connectionShareAt (address: string): number | undefined {
    return this.#parts.connectionShares.at(address)
  }

  createKey (): string {
    return this.#parts.router.createKey()
  }

  async cancel (key: string): Promise<void> {
    await this.#parts.router.cancel(key)
  }

  /** Which boxes to use. A box that is about to stop lets another one answer, since it must not own new requests. */
  async lookup (availabilityZone?: string): Promise<LookupAnswer> {
    const { lookup, link, random, view } = this.#parts
    if (!view.self.leaving) return lookup(availabilityZone)
    const [other] = random.sample(view.takingWork(), 1)
    if (!other) throw new ReelspanError(ErrorCode.Draining, 'no other box is known to take new work', { retryAfterMs: 1000 })
    const answer = await link.call(other.peerAddress, { type: MessageType.Lookup, availabilityZone }, { timeoutMs: LOOKUP_TIMEOUT_MS, repeatable: true })
    if (answer.type !== MessageType.LookupAnswer) throw new ReelspanError(ErrorCode.PeerProtocol, `unexpected answer ${answer.type}`)
    return { boxes: answer.boxes, keepMs: answer.keepMs, keyPrefix: answer.keyPrefix }
  }

  metricsText (): string {
    return this.#parts.metrics.exposition()
  }

  /** The whole state of the process. */
  describe () {
    const { view, declarations, fleetList, fleet, records, owner, relay, keepers, prober, placer, runHistory, quarantine, upstreamStates, backoffs, proof, settings } = this.#parts
    return {
      self: view.self,
      ready: this.ready,
      proofAgeMs: Number.isFinite(proof.ageMs) ? Math.round(proof.ageMs) : undefined,
      stopping: this.#stopping,
      declarations: { revision: declarations.revision, resources: declarations.value.resources.length, rejected: declarations.rejected },
      fleet: { ...storeRevisionOf(fleetList.revision), boxes: fleet.value.boxes.length, upstreams: fleet.value.upstreams.length, keptThoughMissing: fleet.missing },
      members: view.all().map((member) => ({ ...member, requestsInFlight: prober.loadOf(member.incarnation) })),
      records: { count: records.size, bytes: records.bytes, maxBytes: settings.requests.recordBytes, taken: records.taken() },
      owner: owner.describe(),
      relay: relay?.describe(),
      placements: placer instanceof SchedulerPlacer ? placer.liveCount : undefined,
      shards: keepers.describe(),
      quarantine: { requests: quarantine.countQuarantined(), runsKnown: runHistory.size },
      upstreamStates: upstreamStates.all(),
      backingOffFrom: backoffs.all(),
      callersBeingServed: this.#callersBeingServed,
    }
  }

  /** Stops as planned, without cutting off a request. */
  async drain (): Promise<void> {
    const { clock, log, owner, relay, settings: { requests: { stopWithinMs } } } = this.#parts
    this.#stopping = true
    log.info(LogEvent.Stopping, { requestsInFlight: this.#callersBeingServed })
    if (stopWithinMs !== undefined) [owner, relay].forEach((part) => part?.endWithin(stopWithinMs))
    const stop = plannedStop({ ...this.#stopParts(), callersServed: () => this.#waitCallersServed() })
    await (stopWithinMs === undefined ? stop : raceTimeout(clock, stop, stopWithinMs))
    await this.stop()
  }

  /** Stops at once. What runs gets its verdict. */
  async stop (): Promise<void> {
    const { prober, proofKeeper, reportFlood, followers, keepers, owner, relay, runGossip, upstreamStateGossip, link, log } = this.#parts
    this.#stopping = true
    const requestsCut = this.#callersBeingServed
    await Promise.all([owner.stop(), relay?.stop()])
    await Promise.all([this.#tasks.stop(), prober.stop(), proofKeeper?.stop(), reportFlood.stop(), runGossip.stop(), upstreamStateGossip.stop(), keepers.stop(), ...Object.values(followers).map((follower) => follower.stop()), link.close()])
    log.info(LogEvent.Stopped, { requestsCut })
  }

  #stopParts () {
    const { clock, settings, link, view, prober, owner, relay, records, log } = this.#parts
    return { clock, settings, link, view, prober, owner, relay, records, log }
  }

  async #waitCallersServed (): Promise<void> {
    const { clock, settings } = this.#parts
    const patienceMs = settings.limits.slowCallerMs
    for (let waitedMs = 0; this.#callersBeingServed > 0 && waitedMs < patienceMs; waitedMs += 50) await clock.sleep(50)
  }

  /** This box was declared gone. The new incarnation comes first: what ends now may have been taken over from the old one. */
  #renewIncarnation (): void {
    const { view, log, clock, random, owner } = this.#parts
    view.takeIncarnation(drawIncarnation(random), clock.nowMs())
    owner.endAll(ErrorCode.OwnerGone, 'this box was declared gone')
    log.warn(LogEvent.IncarnationRenewed, { incarnation: view.self.incarnation })
  }

  #onMemberChange (member: Member): void {
    const { view, keepers, log } = this.#parts
    const isSelf = member.incarnation === view.self.incarnation
    if (isSelf && member.health === MemberHealth.Gone && !this.#stopping) {
      this.#renewIncarnation()
      return
    }
    if (!isSelf && this.#memberNews.take(member)) log.info(LogEvent.MemberChanged, { member: member.name, incarnation: member.incarnation, health: member.health, leaving: member.leaving })
    if (member.health === MemberHealth.Gone) keepers.releaseOwner(member.incarnation)
    this.#reconciler.reconcileSoon()
  }
}
