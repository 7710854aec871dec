import { GuardedFleet, parseFleetList, type FleetList } from '@reelspan/config.fleet'
import { type Configuration, DeclarationsChecker } from '@reelspan/config.resources'
import { ConfigFollower, ConfigStore } from '@reelspan/config.store'
import { Collection, type Member, MemberHealth, type PeerLink } from '@reelspan/core.messages'
import { Prober } from '@reelspan/membership.prober'
import { MembershipView } from '@reelspan/membership.view'
import { answerLookup, type LookupAnswer } from '@reelspan/request.lookup'
import { Owner } from '@reelspan/request.owner'
import { Relay } from '@reelspan/request.relay'
import { RecordStore } from '@reelspan/request.records'
import { createEnginePicker, FreshReports, OwnerAlonePlacer, PickerKind, PolledReports } from '@reelspan/scheduling.owner-alone'
import { type Placer } from '@reelspan/scheduling.placer'
import { createPrefixIndex } from '@reelspan/scheduling.prefix-index'
import { SchedulerPlacer } from '@reelspan/scheduling.scheduler-placer'
import { enginesOf } from '@reelspan/scheduling.shards'
import { LogEvent } from '@reelspan/telemetry.log'
import { type EngineClient } from '@reelspan/upstream.client'
import { asFunction, asValue, createContainer, InjectionMode } from 'awilix'
import { BeliefAges } from './beliefAges.js'
import { Box } from './box.js'
import { type BoxEnvironment } from './boxEnvironment.js'
import { drawIncarnation } from './drawIncarnation.js'
import { FailureLog } from './failureLog.js'
import { LoggedEngineClient } from './loggedEngineClient.js'
import { LoggedPeerLink } from './loggedPeerLink.js'
import { noteRequestEnd } from './noteRequestEnd.js'
import { PlatformContactWatch } from './platformContactWatch.js'
import { PeerDispatch } from './peerDispatch.js'
import { RequestRouter } from './requestRouter.js'
import { ResourceApi } from './resourceApi.js'
import { ShardKeepers } from './shardKeepers.js'
import { WatcherRole } from './watcherRole.js'

/** Everything that makes up a box. */
export interface BoxParts extends BoxEnvironment {
  /** Tells of calls that failed and were got over. */
  failures: FailureLog
  view: MembershipView
  declarations: ConfigStore<Configuration>
  /** The platform's list as it was last read. */
  fleetList: ConfigStore<FleetList>
  /** The same, with entries that lapsed while the platform was away. */
  fleet: GuardedFleet
  /** Whether this box watches the platform for its zone. */
  watcherRole: WatcherRole
  platformContact: PlatformContactWatch
  followers: Record<Collection, ConfigFollower>
  prober: Prober
  records: RecordStore
  placer: Placer
  owner: Owner
  relay?: Relay
  keepers: ShardKeepers
  beliefAges: BeliefAges
  router: RequestRouter
  dispatch: PeerDispatch
  resources: ResourceApi
  lookup: (availabilityZone?: string) => LookupAnswer
  vouchHere: (incarnation: string, requestIds: readonly string[]) => string[] | undefined
  box: Box
}

const PEER_TIMEOUT_MS = 1000
const FALLBACK_SAMPLE = 2

/** Composes a box. Nothing runs until it is started. */
export function createBox (environment: BoxEnvironment): Box {
  const container = createContainer<BoxParts>({ injectionMode: InjectionMode.PROXY, strict: true })
  Object.entries({ relayClient: undefined, ...environment }).forEach(([name, value]) => container.register(name, asValue(value)))
  container.register({
    failures: asFunction((parts: BoxParts) => new FailureLog(parts)).singleton(),
    link: asFunction((parts: BoxParts) => createLink(environment.link, parts)).singleton(),
    engines: asFunction((parts: BoxParts) => createEngines(environment.engines, parts)).singleton(),
    view: asFunction(createView).singleton(),
    declarations: asFunction(createDeclarations).singleton(),
    fleetList: asFunction(createFleetList).singleton(),
    fleet: asFunction(createFleet).singleton(),
    watcherRole: asFunction(createWatcherRole).singleton(),
    platformContact: asFunction(createContact).singleton(),
    followers: asFunction(createFollowers).singleton(),
    prober: asFunction(createProber).singleton(),
    records: asFunction(createRecords).singleton(),
    placer: asFunction(createPlacer).singleton(),
    owner: asFunction(createOwner).singleton(),
    relay: asFunction(createRelay).singleton(),
    keepers: asFunction(createKeepers).singleton(),
    beliefAges: asFunction(createBeliefAges).singleton(),
    router: asFunction((parts: BoxParts) => new RequestRouter(parts)).singleton(),
    dispatch: asFunction(createDispatch).singleton(),
    resources: asFunction((parts: BoxParts) => new ResourceApi(parts)).singleton(),
    lookup: asFunction(createLookup).singleton(),
    vouchHere: asFunction(createVouchHere).singleton(),
    box: asFunction((parts: BoxParts) => new Box(parts)).singleton(),
  })
  return container.cradle.box
}

function createLink (link: PeerLink, { failures, view }: BoxParts): PeerLink {
  return new LoggedPeerLink({ link, failures, nameAt: (address) => view.atAddress(address)?.name })
}

function createEngines (engines: EngineClient, { failures, fleet }: BoxParts): EngineClient {
  return new LoggedEngineClient({ engines, failures, nameAt: (address) => fleet.value.upstreams.find((upstream) => upstream.address === address)?.name })
}

function createView ({ settings, random }: BoxParts): MembershipView {
  const { box, listen, requests } = settings
  const self: Member = {
    name: box.name,
    availabilityZone: box.availabilityZone,
    peerAddress: listen.peerAddress,
    callerAddress: listen.callerAddress,
    incarnation: drawIncarnation(random),
    version: 0,
    health: MemberHealth.Alive,
    leaving: false,
    room: box.room,
  }
  return new MembershipView({ self, goneMemoryMs: recordLifeMs(requests) })
}

/** Records outlive every key that could still ask for them. */
function recordLifeMs ({ prefixLifeMs, longestRequestMs }: BoxParts['settings']['requests']): number {
  return prefixLifeMs + 2 * longestRequestMs
}

function createDeclarations (): ConfigStore<Configuration> {
  return new ConfigStore(new DeclarationsChecker().parse)
}

function createFleetList (): ConfigStore<FleetList> {
  return new ConfigStore(parseFleetList)
}

function createFleet ({ fleetList, platformContact }: BoxParts): GuardedFleet {
  return new GuardedFleet({ listed: fleetList, mayHaveLapsed: () => platformContact.mayHaveLapsed })
}

function createContact ({ clock, log, platform, watcherRole }: BoxParts): PlatformContactWatch {
  return new PlatformContactWatch({ clock, log, isWatcher: () => watcherRole.holds(), lastAnswerMs: () => platform.lastAnswerMs })
}

function createWatcherRole (parts: BoxParts): WatcherRole {
  const { clock, settings, view } = parts
  return new WatcherRole({ clock, settings, view, lastMajorityContactMs: () => parts.prober.lastMajorityContactMs })
}

function createFollowers (parts: BoxParts): Record<Collection, ConfigFollower> {
  const create = (collection: Collection, store: ConfigStore<unknown>) => new ConfigFollower({
    ...environmentOf(parts),
    store,
    collection,
    isWatcher: () => parts.watcherRole.holds(),
    watchWaitMs: parts.settings.platform.watchWaitMs,
    backstopPollMs: parts.settings.platform.backstopPollMs,
    peerTimeoutMs: PEER_TIMEOUT_MS,
    longestBackoffMs: parts.settings.platform.longestBackoffMs,
    onAnswer: () => {
      if (collection === Collection.Fleet) parts.platformContact.answered()
    },
    onReachable: (reachable, details) => parts.platformContact.note(reachable, details),
    onTaskError: (thrown) => parts.failures.noteTask(`follower of ${collection}`, thrown),
    onRejected: (problems, revision) => parts.log.warn(LogEvent.RevisionRejected, { collection, revision, problems }),
  })
  return {
    [Collection.Declarations]: create(Collection.Declarations, parts.declarations),
    [Collection.Fleet]: create(Collection.Fleet, parts.fleetList),
  }
}

function createProber (parts: BoxParts): Prober {
  const { settings, view, declarations, fleetList } = parts
  return new Prober({
    ...environmentOf(parts),
    ...settings.membership,
    view,
    listedAddresses: () => listedPeers(parts),
    revisions: () => ({ [Collection.Declarations]: declarations.revision, [Collection.Fleet]: fleetList.revision }),
    inFlight: () => parts.owner.inFlight + (parts.relay?.inFlight ?? 0),
    platformAnswering: () => parts.platformContact.answering,
    onPlatformAnswering: (told) => parts.platformContact.hear(told),
    onTaskError: (thrown) => parts.failures.noteTask('prober', thrown),
    onPeerRevisions: (address, revisions) => Object.values(Collection).forEach((collection) => {
      parts.followers[collection].hear(address, revisions[collection])
    }),
  })
}

/** Peer addresses of boxes that the platform lists or the settings name, without this one's. */
export function listedPeers ({ fleet, settings, view }: Pick<BoxParts, 'fleet' | 'settings' | 'view'>): string[] {
  const addresses = new Set([...fleet.value.boxes.map(({ peerAddress }) => peerAddress), ...settings.membership.seedAddresses])
  return [...addresses].filter((address) => address !== view.self.peerAddress)
}

function createRecords ({ clock, settings }: BoxParts): RecordStore {
  return new RecordStore({ clock, maxBytes: settings.requests.recordBytes, recordLifeMs: recordLifeMs(settings.requests) })
}

function createPlacer (parts: BoxParts): Placer {
  const { clock, random, engines, link, settings, view } = parts
  const { strategy, prefixIndex, admission, countOwn, reportPeriodMs, fallbackPlacesPercent } = settings.scheduling
  const shardsOfModel = (model: string) => parts.keepers.shardsOfModel(model)
  const index = createPrefixIndex(prefixIndex)
  if (strategy !== 'scheduler') {
    const reports = new PolledReports({
      clock,
      engines,
      periodMs: reportPeriodMs,
      listed: () => parts.keepers.shards().flatMap(enginesOf),
      onTaskError: (thrown) => parts.failures.noteTask('polledReports', thrown),
    })
    const decodePicker = createEnginePicker(strategy === PickerKind.PrefixHash ? PickerKind.LeastLoad : strategy, random)
    const ownWeight = () => countOwn ? view.takingWork().length : 0
    return new OwnerAlonePlacer({ clock, picker: createEnginePicker(strategy, random), decodePicker, reports, index, shardsOfModel, admission, ownWeight, placesPercent: 100 })
  }
  const fallback = new OwnerAlonePlacer({
    clock,
    picker: createEnginePicker(PickerKind.TwoChoices, random),
    decodePicker: createEnginePicker(PickerKind.TwoChoices, random),
    reports: new FreshReports({ clock, random, engines, timeoutMs: reportPeriodMs / 2, sampleSize: FALLBACK_SAMPLE }),
    index,
    shardsOfModel,
    admission: true,
    ownWeight: () => 1,
    placesPercent: fallbackPlacesPercent,
  })
  return new SchedulerPlacer({
    clock,
    link,
    selfIncarnation: () => view.self.incarnation,
    schedulers: () => view.takingWork(),
    shardsOfModel,
    localScheduler: (shardId) => parts.keepers.scheduler(shardId),
    fallback,
  })
}

function createOwner (parts: BoxParts): Owner {
  const { settings, view, declarations, fleet, log, metrics } = parts
  return new Owner({
    ...environmentOf(parts),
    placer: parts.placer,
    records: parts.records,
    standing: () => view.self,
    configuration: () => declarations.value,
    fleet: () => fleet.value,
    prefixLifeMs: settings.requests.prefixLifeMs,
    rejoinGraceMs: settings.requests.rejoinGraceMs,
    upstreamTimeoutMs: settings.requests.upstreamTimeoutMs,
    lastContactMs: () => parts.prober.lastMajorityContactMs,
    hasPeers: () => view.all().length > 1,
    onTaskError: (thrown) => parts.failures.noteTask('owner', thrown),
    onEnd: (record, request, timings) => noteRequestEnd({ log, metrics, revision: declarations.revision }, record, request, timings),
  })
}

function createRelay (parts: BoxParts): Relay | undefined {
  const { clock, random, relayClient, placer, settings, view, declarations, fleetList, fleet, log, metrics } = parts
  if (!relayClient) return undefined
  return new Relay({
    clock,
    random,
    upstreams: relayClient,
    placer,
    configuration: () => declarations.value,
    fleet: () => fleet.value,
    fleetRevision: () => fleetList.revision,
    standing: () => view.self,
    boxCount: () => view.takingWork().length,
    ...settings.relay,
    log,
    metrics,
  })
}

function createKeepers (parts: BoxParts): ShardKeepers {
  return new ShardKeepers({
    ...environmentOf(parts),
    failures: parts.failures,
    declarations: parts.declarations,
    fleet: parts.fleet,
    view: parts.view,
    vouchHere: parts.vouchHere,
    isGone: (incarnation) => parts.view.get(incarnation)?.health === MemberHealth.Gone,
    lastContactMs: () => Math.max(parts.prober.lastMajorityContactMs, parts.platform.lastAnswerMs),
  })
}

function createBeliefAges ({ clock, platformContact, keepers }: BoxParts): BeliefAges {
  return new BeliefAges({ clock, platformSilentMs: () => platformContact.silentMs, oldestReportAgeMs: () => keepers.oldestReportAgeMs() })
}

function createDispatch (parts: BoxParts): PeerDispatch {
  return new PeerDispatch({
    prober: parts.prober,
    view: parts.view,
    stores: { [Collection.Declarations]: parts.declarations, [Collection.Fleet]: parts.fleetList },
    keepers: parts.keepers,
    owner: parts.owner,
    records: parts.records,
    lookup: parts.lookup,
    vouchHere: parts.vouchHere,
    describeForStatus: () => parts.keepers.describe(),
    log: parts.log,
  })
}

function createLookup (parts: BoxParts): BoxParts['lookup'] {
  const { clock, random, settings, view } = parts
  const loadOf = (incarnation: string) => incarnation === view.self.incarnation ? parts.owner.inFlight : parts.prober.loadOf(incarnation)
  return (availabilityZone) => answerLookup({ clock, random, view, loadOf, availabilityZone, keepMs: settings.requests.lookupKeepMs, boxCount: settings.requests.lookupBoxes })
}

/** This process answers for its own incarnation alone. */
function createVouchHere (parts: BoxParts): BoxParts['vouchHere'] {
  return (incarnation, requestIds) => incarnation === parts.view.self.incarnation
    ? parts.owner.vouch(incarnation, requestIds)
    : undefined
}

function environmentOf ({ settings, clock, random, link, platform, engines, services, log, metrics }: BoxParts): BoxEnvironment {
  return { settings, clock, random, link, platform, engines, services, log, metrics }
}
