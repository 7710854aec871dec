import { type BoxAdmission } from '@reelspan/accounts.admission'
import { UpstreamKind } from '@reelspan/config.fleet'
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
import { type BoxParts, listedPeerAddresses } from './boxParts.js'
import { changedKeys } from './changedKeys.js'
import { generateIncarnation } from './generateIncarnation.js'
import { MemberChangeFilter } from './memberChangeFilter.js'
import { lookupExpiryMs, plannedStop } from './plannedStop.js'
import { Reconciler } from './reconciler.js'
import { registerBoxMetrics } from './registerBoxMetrics.js'
import { type ResourceApi } from './resourceApi.js'

const INITIAL_PEER_COUNT = 3
const LOOKUP_TIMEOUT_MS = 500

/** One box process. Exposes to the HTTP front only what it needs of the parts. */
export class Box {
  readonly #parts: BoxParts
  readonly #tasks: TaskGroup
  #stopping = false
  #callersBeingServed = 0
  readonly #memberChanges = new MemberChangeFilter()
  readonly #reconciler: Reconciler

  constructor (parts: BoxParts) {
    this.#parts = parts
    this.#tasks = new TaskGroup(parts.clock, (thrown) => parts.failures.recordTask('box', thrown))
    this.#reconciler = new Reconciler(parts, this.#tasks)
  }

  /** Whether this box has adopted a configuration. */
  get ready (): boolean {
    return this.#reconciler.ready
  }

  /** Admits requests of client accounts. */
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

  /** Reads the fleet and the declarations from the platform and peers, joins the other boxes and starts the background tasks. */
  async start (): Promise<void> {
    const { link, dispatch, followers, prober, view, log, random, pauseDetector } = this.#parts
    pauseDetector.start(this.#tasks)
    link.serve(dispatch)
    view.onChange((member) => this.#onMemberChange(member))
    await followers[Collection.Fleet].readFirst([])
    const firstPeers = random.sample(listedPeerAddresses(this.#parts), INITIAL_PEER_COUNT)
    await Promise.all([
      prober.join(firstPeers),
      followers[Collection.Fleet].readFirst(firstPeers),
      followers[Collection.Declarations].readFirst(firstPeers),
    ])
    registerBoxMetrics(this.#parts)
    Object.values(followers).forEach((follower) => follower.start())
    prober.start()
    this.#parts.proofRenewer?.start()
    this.#reconciler.start()
    log.info(LogEvent.Started, { incarnation: view.self.incarnation, revision: this.#parts.declarations.revision })
  }

  /** Applies a change of the fleet that the platform's list does not contain, such as an upstream that advertises draining. */
  onFleetChange (): void {
    this.#reconciler.onFleetChange()
  }

  /** Runs a request, or joins it if it already runs, and yields its answer up to and including the final event. */
  async * submit (request: RoutedRequest, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
    this.#callersBeingServed++
    try {
      yield * this.#parts.router.submit(request, signal)
    } finally {
      this.#callersBeingServed--
    }
  }

  /** Relays a request to an upstream without interpreting its body, and answers its caller. */
  async relay (request: RelayedRequest, caller: RelayCaller, deadlineMs?: number): Promise<void> {
    const { relay } = this.#parts
    if (!relay) throw new ReelspanError(ErrorCode.NoRoute, 'this box is not configured to relay requests')
    this.#callersBeingServed++
    try {
      await relay.relay(request, caller, deadlineMs)
    } finally {
      this.#callersBeingServed--
    }
  }

  /**
   * Handles a jump of the wall clock ahead of the monotonic clock: asks the peers whether the machine was suspended.
   * The freshness proof is dropped, and no orders are sent to engines until the answer is known.
   *
   * @returns whether the machine was suspended, rather than its wall clock set
   */
  async handleClockJump (durationMs: number): Promise<boolean> {
    const { log, pauseDetector, prober, freshnessProof } = this.#parts
    pauseDetector.record(durationMs)
    freshnessProof.invalidate()
    const suspended = await prober.wasSuspendedFor(durationMs)
    log.warn(LogEvent.ClockLeapt, { durationMs: Math.round(durationMs), suspended })
    return suspended
  }

  /**
   * Applies the settings that may change while the box runs, which is only the list of seed addresses.
   *
   * @returns the names of the other changed settings, which need a restart
   */
  reload (next: Settings): string[] {
    const { settings, log } = this.#parts
    const changed = changedKeys(settings, next)
    settings.membership.seedAddresses = next.membership.seedAddresses
    const needRestart = changed.filter((key) => key !== 'membership.seedAddresses')
    log.info(LogEvent.Reloaded, { changed, needRestart })
    return needRestart
  }

  /** Whether this box is stopping. */
  get leaving (): boolean {
    return this.#stopping
  }

  /** KV cache bytes per token on the engine at an address, or 0 if they are unknown. */
  kvBytesPerTokenAt (address: string): number {
    const { shardManagers, upstreams } = this.#parts
    const pool = upstreams.at(address)?.pool
    const shard = shardManagers.shards().find(({ spec }) => spec.prefillPool === pool || spec.decodePool === pool)
    return shard?.spec.kvBytesPerToken ?? 0
  }

  /** Name of the upstream listed at an address. The name identifies one start of the upstream's process. */
  upstreamNameAt (address: string): string | undefined {
    return this.#parts.upstreams.at(address)?.name
  }

  /**
   * Records what an upstream advertises in a response that belongs to no request, such as an engine report.
   *
   * @param startedAtMs start time of the responding upstream, if it reports one; signals of another start are ignored
   */
  observeUpstreamAt (address: string, advertised: UpstreamSignals, startedAtMs?: number): void {
    const { pauseDetector, upstreams, signals } = this.#parts
    const upstream = upstreams.at(address)
    if (upstream && (startedAtMs ?? upstream.startedAtMs) === upstream.startedAtMs) signals.observe(upstream.name, advertised, pauseDetector.earliestArrivalMs())
  }

  /** Records that a part of an answer was received from the upstream at an address. */
  recordReceivedFromUpstream (address: string): void {
    const { upstreams, upstreamPaths, pathsTo } = this.#parts
    const kind = upstreams.at(address)?.kind
    if (kind === undefined) upstreamPaths.recordReceived()
    else pathsTo[kind].recordReceived()
  }

  /** Whether an upstream is in the list that this box uses to place work. */
  listsUpstream (name: string): boolean {
    return this.#parts.fleet.value.upstream(name) !== undefined
  }

  /** Whether this box, as it sees the members, is the coordinator of the permits of a rate-limited upstream. */
  coordinatesPermitsOf (upstream: string): boolean {
    return this.#parts.permitLimiter.isCoordinator(upstream)
  }

  /** Whether this box, as it sees the members, is the coordinator of a service pool. */
  coordinatesPool (pool: string): boolean {
    return this.#parts.pools.isCoordinator(pool)
  }

  /** How many connections this box may open to the upstream at an address, or undefined if its pool declares no maximum. */
  connectionShareAt (address: string): number | undefined {
    return this.#parts.connectionShares.at(address)
  }

  createKey (): string {
    return this.#parts.router.createKey()
  }

  async cancel (key: string): Promise<void> {
    await this.#parts.router.cancel(key)
  }

  /** Returns the boxes that a caller should use. A stopping box forwards the lookup to another one, since it must not own new requests. */
  async lookup (availabilityZone?: string): Promise<LookupAnswer> {
    const { lookup, link, random, view } = this.#parts
    if (!view.self.leaving) return lookup(availabilityZone)
    const [other] = random.sample(view.takingWork(), 1)
    if (!other) throw new ReelspanError(ErrorCode.Draining, 'this box is stopping and knows no other box that takes new work', { retryAfterMs: 1000 })
    const answer = await link.call(other.peerAddress, { type: MessageType.Lookup, availabilityZone }, { timeoutMs: LOOKUP_TIMEOUT_MS, repeatable: true })
    if (answer.type !== MessageType.LookupAnswer) throw new ReelspanError(ErrorCode.PeerProtocol, `unexpected answer ${answer.type}`)
    return { boxes: answer.boxes, keepMs: answer.keepMs, keyPrefix: answer.keyPrefix }
  }

  metricsText (): string {
    return this.#parts.metrics.exposition()
  }

  /** State of the whole process, for the debug endpoint. */
  describe () {
    const { view, declarations, fleetList, fleet, records, owner, relay, upstreamPaths, pathsOfKinds, shardManagers, prober, placer, runHistory, quarantine, upstreamStates, backoffs, poolCoordinator, freshnessProof, settings } = this.#parts
    return {
      self: view.self,
      ready: this.ready,
      proofAgeMs: Number.isFinite(freshnessProof.ageMs) ? Math.round(freshnessProof.ageMs) : undefined,
      stopping: this.#stopping,
      declarations: { revision: declarations.revision, resources: declarations.value.resources.length, rejected: declarations.rejected },
      fleet: { ...storeRevisionOf(fleetList.revision), boxes: fleet.value.boxes.length, upstreams: fleet.value.upstreams.length, keptThoughMissing: fleet.missing },
      members: view.all().map((member) => ({ ...member, requestsInFlight: prober.loadOf(member.incarnation) })),
      records: { count: records.size, bytes: records.bytes, maxBytes: settings.requests.recordBytes, taken: records.predecessors() },
      owner: owner.describe(),
      relay: relay?.describe(),
      upstreamPaths: { ...upstreamPaths.describe(), engines: pathsOfKinds[UpstreamKind.Engine].describe(), services: pathsOfKinds[UpstreamKind.Service].describe() },
      placements: placer instanceof SchedulerPlacer ? placer.liveCount : undefined,
      shards: shardManagers.describe(),
      quarantine: { requests: quarantine.countQuarantined(), parts: quarantine.countParts(), runsKnown: runHistory.size },
      upstreamStates: upstreamStates.all(),
      backingOffFrom: backoffs.all(),
      poolsCoordinated: poolCoordinator.describe(),
      callersBeingServed: this.#callersBeingServed,
    }
  }

  /**
   * Performs a planned stop: waits for running requests, within `stopWithinMs` if it is set. That time has begun when
   * the signal was sent, which may have been long before this process handled it.
   */
  async drain (): Promise<void> {
    const { clock, log, metrics, owner, relay, pauseDetector, settings: { requests: { stopWithinMs } } } = this.#parts
    this.#stopping = true
    const signalledAtMs = pauseDetector.earliestArrivalMs()
    const signalAgeMs = Math.round(clock.nowMs() - signalledAtMs)
    const stopsAtMs = stopWithinMs === undefined ? undefined : signalledAtMs + stopWithinMs
    const stopsInMs = stopsAtMs === undefined ? undefined : Math.round(stopsAtMs - clock.nowMs())
    log.info(LogEvent.Stopping, { requestsInFlight: this.#callersBeingServed, signalAgeMs, stopsInMs })
    metrics.gauge('reelspan_stop_signal_age_ms', () => signalAgeMs)
    if (stopsAtMs !== undefined) {
      owner.scheduleStop(stopsAtMs)
      relay?.scheduleStop(stopsAtMs, signalledAtMs + lookupExpiryMs(this.#parts.settings))
    }
    const stop = plannedStop({ ...this.#stopParts(), stopsAtMs, waitForCallers: () => this.#waitForCallers() })
    await (stopsAtMs === undefined ? stop : raceTimeout(clock, stop, stopsAtMs - clock.nowMs()))
    await this.stop()
  }

  /** Stops immediately. Each running request ends with its verdict. */
  async stop (): Promise<void> {
    const { prober, proofRenewer, reportBroadcaster, upstreamPaths, pathsOfKinds, streamOrigins, pools, poolCoordinator, poolBroadcaster, followers, shardManagers, owner, relay, runEnds, runGossip, upstreamStateGossip, link, log } = this.#parts
    this.#stopping = true
    const requestsCut = this.#callersBeingServed
    await Promise.all([owner.stop(), relay?.stop()])
    await Promise.all([this.#tasks.stop(), prober.stop(), proofRenewer?.stop(), reportBroadcaster.stop(), upstreamPaths.stop(), ...Object.values(pathsOfKinds).map((paths) => paths.stop()), streamOrigins.stop(), pools.stop(), runEnds.stop(), poolCoordinator.stop(), poolBroadcaster.stop(), runGossip.stop(), upstreamStateGossip.stop(), shardManagers.stop(), ...Object.values(followers).map((follower) => follower.stop()), link.close()])
    log.info(LogEvent.Stopped, { requestsCut })
  }

  #stopParts () {
    const { clock, settings, link, view, prober, owner, relay, records, log } = this.#parts
    return { clock, settings, link, view, prober, owner, relay, records, log }
  }

  async #waitForCallers (): Promise<void> {
    const { clock, settings } = this.#parts
    const timeoutMs = settings.limits.slowCallerMs
    for (let waitedMs = 0; this.#callersBeingServed > 0 && waitedMs < timeoutMs; waitedMs += 50) await clock.sleep(50)
  }

  /**
   * Takes a new incarnation after the peers declared this box gone. Its requests end only afterwards,
   * since another box may have taken them over from the old incarnation.
   */
  #renewIncarnation (): void {
    const { view, log, clock, random, owner } = this.#parts
    view.replaceIncarnation(generateIncarnation(random), clock.nowMs())
    owner.endAll(ErrorCode.OwnerGone, 'this box was declared gone')
    log.warn(LogEvent.IncarnationRenewed, { incarnation: view.self.incarnation })
  }

  /** Checks the paths that another box says it has lost. */
  #checkPathsLike ({ upstreamsUnreachable, enginesUnreachable, servicesUnreachable }: Member): void {
    const { upstreamPaths, pathsOfKinds } = this.#parts
    if (upstreamsUnreachable) upstreamPaths.recordFailure()
    if (enginesUnreachable) pathsOfKinds[UpstreamKind.Engine].recordFailure()
    if (servicesUnreachable) pathsOfKinds[UpstreamKind.Service].recordFailure()
  }

  #onMemberChange (member: Member): void {
    const { view, shardManagers, poolCoordinator, log } = this.#parts
    const isSelf = member.incarnation === view.self.incarnation
    if (isSelf && member.health === MemberHealth.Gone && !this.#stopping) {
      this.#renewIncarnation()
      return
    }
    // Boxes of one availability zone often lose their paths together, and one without traffic would not notice.
    if (!isSelf && member.availabilityZone === view.self.availabilityZone) this.#checkPathsLike(member)
    if (!isSelf && this.#memberChanges.recordIfChanged(member)) log.info(LogEvent.MemberChanged, { member: member.name, incarnation: member.incarnation, health: member.health, leaving: member.leaving })
    if (member.health === MemberHealth.Gone) {
      shardManagers.releaseOwner(member.incarnation)
      poolCoordinator.dropOwner(member.incarnation)
    }
    this.#reconciler.reconcileSoon()
  }
}
