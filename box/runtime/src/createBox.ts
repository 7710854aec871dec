import { UpstreamKind } from '@reelspan/config.fleet'
import { PauseDetector } from '@reelspan/core.env'
import { Collection, type Member, MemberHealth, type PeerLink } from '@reelspan/core.messages'
import { Prober } from '@reelspan/membership.prober'
import { MembershipView } from '@reelspan/membership.view'
import { answerLookup } from '@reelspan/request.lookup'
import { RunHistory } from '@reelspan/request.quarantine'
import { type EngineClient } from '@reelspan/upstream.client'
import { UpstreamFailureReports } from '@reelspan/upstream.health'
import { asFunction, asValue, createContainer, InjectionMode } from 'awilix'
import { CachedStateAges } from './cachedStateAges.js'
import { Box } from './box.js'
import { type BoxEnvironment } from './boxEnvironment.js'
import { type BoxParts, environmentOf, listedPeerAddresses } from './boxParts.js'
import { ConnectionShares } from './connectionShares.js'
import { acquireAccountCost, createAdmission, createAccountBuckets, createExpectedBoxes, createLimiter, createStandInBuckets, createFreshnessProof, createProofRenewer, releaseAccountCost } from './createAccountParts.js'
import { createPlatformContact, createDeclarations, createFleet, createFleetList, createFollowers, createWatcherRole } from './createConfigParts.js'
import { createPermitBuckets, createPermitLimiter, createPermits, createRetryTimes } from './createLimitParts.js'
import { createDelegatedRuns, createDelegators } from './createDelegationParts.js'
import { createKindPaths, createPathsOfKinds, createUpstreamPaths, hasLostPathsTo } from './createPathParts.js'
import { createPlacer } from './createPlacer.js'
import { createPoolBroadcaster, createPoolCoordinator, createPools, createPoolWeights } from './createPoolAdmissionParts.js'
import { createRunEnds, createOwner, createQuarantine, createRecords, createRelay, createReportBroadcast, createRunGossip, createStreamOrigins, recordTtlMs } from './createRequestParts.js'
import { createBackoffs, createSignalObserver, createUpstreamStateGossip, createUpstreamStates } from './createSignalParts.js'
import { generateIncarnation } from './generateIncarnation.js'
import { FailureLog } from './failureLog.js'
import { LoggedEngineClient } from './loggedEngineClient.js'
import { LoggedPeerLink } from './loggedPeerLink.js'
import { PeerDispatch } from './peerDispatch.js'
import { RequestRouter } from './requestRouter.js'
import { ResourceApi } from './resourceApi.js'
import { ShardManagers } from './shardManagers.js'
import { UpstreamsByAddress } from './upstreamsByAddress.js'

/** Composes a box from its parts. Nothing runs until the box is started. */
export function createBox (environment: BoxEnvironment): Box {
  const container = createContainer<BoxParts>({ injectionMode: InjectionMode.PROXY, strict: true })
  Object.entries({ relayClient: undefined, ...environment }).forEach(([name, value]) => container.register(name, asValue(value)))
  container.register({
    pauseDetector: asFunction((parts: BoxParts) => new PauseDetector(parts)).singleton(),
    failures: asFunction((parts: BoxParts) => new FailureLog(parts)).singleton(),
    link: asFunction((parts: BoxParts) => createLink(environment.link, parts)).singleton(),
    engines: asFunction((parts: BoxParts) => createEngines(environment.engines, parts)).singleton(),
    upstreamPaths: asFunction(createUpstreamPaths).singleton(),
    pathsOfKinds: asFunction(createPathsOfKinds).singleton(),
    pathsTo: asFunction(createKindPaths).singleton(),
    delegators: asFunction(createDelegators).singleton(),
    delegatedRuns: asFunction(createDelegatedRuns).singleton(),
    streamOrigins: asFunction(createStreamOrigins).singleton(),
    view: asFunction(createView).singleton(),
    declarations: asFunction(createDeclarations).singleton(),
    fleetList: asFunction(createFleetList).singleton(),
    fleet: asFunction(createFleet).singleton(),
    watcherRole: asFunction(createWatcherRole).singleton(),
    platformContact: asFunction(createPlatformContact).singleton(),
    upstreams: asFunction((parts: BoxParts) => new UpstreamsByAddress(parts)).singleton(),
    connectionShares: asFunction(createConnectionShares).singleton(),
    followers: asFunction(createFollowers).singleton(),
    freshnessProof: asFunction(createFreshnessProof).singleton(),
    proofRenewer: asFunction(createProofRenewer).singleton(),
    accountBuckets: asFunction(createAccountBuckets).singleton(),
    standInBuckets: asFunction(createStandInBuckets).singleton(),
    expectedBoxes: asFunction(createExpectedBoxes).singleton(),
    limiter: asFunction(createLimiter).singleton(),
    admission: asFunction(createAdmission).singleton(),
    prober: asFunction(createProber).singleton(),
    runEnds: asFunction(createRunEnds).singleton(),
    upstreamReports: asFunction((parts: BoxParts) => new UpstreamFailureReports(parts)).singleton(),
    reportBroadcaster: asFunction(createReportBroadcast).singleton(),
    upstreamStates: asFunction(createUpstreamStates).singleton(),
    backoffs: asFunction(createBackoffs).singleton(),
    signals: asFunction(createSignalObserver).singleton(),
    upstreamStateGossip: asFunction(createUpstreamStateGossip).singleton(),
    permitBuckets: asFunction(createPermitBuckets).singleton(),
    permitLimiter: asFunction(createPermitLimiter).singleton(),
    permits: asFunction(createPermits).singleton(),
    retryTimes: asFunction(createRetryTimes).singleton(),
    pools: asFunction(createPools).singleton(),
    poolCoordinator: asFunction(createPoolCoordinator).singleton(),
    poolWeights: asFunction(createPoolWeights).singleton(),
    poolBroadcaster: asFunction(createPoolBroadcaster).singleton(),
    runHistory: asFunction((parts: BoxParts) => new RunHistory(parts)).singleton(),
    runGossip: asFunction(createRunGossip).singleton(),
    quarantine: asFunction(createQuarantine).singleton(),
    records: asFunction(createRecords).singleton(),
    placer: asFunction(createPlacer).singleton(),
    owner: asFunction(createOwner).singleton(),
    relay: asFunction(createRelay).singleton(),
    shardManagers: asFunction(createShardManagers).singleton(),
    cachedStateAges: asFunction(createCachedStateAges).singleton(),
    router: asFunction((parts: BoxParts) => new RequestRouter(parts)).singleton(),
    dispatch: asFunction(createDispatch).singleton(),
    resources: asFunction((parts: BoxParts) => new ResourceApi(parts)).singleton(),
    lookup: asFunction(createLookup).singleton(),
    confirmRunningHere: asFunction(createConfirmRunningHere).singleton(),
    box: asFunction((parts: BoxParts) => new Box(parts)).singleton(),
  })
  return container.cradle.box
}

function createLink (link: PeerLink, { failures, view }: BoxParts): PeerLink {
  return new LoggedPeerLink({ link, failures, nameAt: (address) => view.atAddress(address)?.name })
}

function createEngines (engines: EngineClient, { failures, upstreams }: BoxParts): EngineClient {
  return new LoggedEngineClient({ engines, failures, nameAt: (address) => upstreams.at(address)?.name })
}

function createView ({ settings, random, relayClient }: BoxParts): MembershipView {
  const { box, listen, requests } = settings
  const self: Member = {
    name: box.name,
    availabilityZone: box.availabilityZone,
    peerAddress: listen.peerAddress,
    callerAddress: listen.callerAddress,
    incarnation: generateIncarnation(random),
    version: 0,
    health: MemberHealth.Alive,
    leaving: false,
    room: box.room,
    admitsPoolCalls: true,
    runsForOthers: relayClient !== undefined || undefined,
    knowsStreamOrigins: relayClient !== undefined || undefined,
  }
  return new MembershipView({ self, goneRetentionMs: recordTtlMs(requests) })
}

function createProber (parts: BoxParts): Prober {
  const { settings, view, declarations, fleetList } = parts
  return new Prober({
    ...environmentOf(parts),
    ...settings.membership,
    view,
    listedAddresses: () => listedPeerAddresses(parts),
    revisions: () => ({ [Collection.Declarations]: declarations.revision, [Collection.Fleet]: fleetList.revision }),
    inFlight: () => parts.owner.inFlight + (parts.relay?.inFlight ?? 0),
    platformAvailability: () => parts.platformContact.answering,
    onPlatformAvailability: (report) => parts.platformContact.receivePeerReport(report),
    proof: () => parts.freshnessProof.advertised,
    onPeerProof: (report, askedAtMs) => parts.freshnessProof.receive(report, askedAtMs),
    updateDigests: () => ({ runsDigest: parts.runHistory.digest || undefined, upstreamStatesDigest: parts.upstreamStates.digest || undefined }),
    onPeerUpdateDigests: (address, { runsDigest, upstreamStatesDigest }) => {
      parts.runGossip.receiveDigest(address, runsDigest)
      parts.upstreamStateGossip.receiveDigest(address, upstreamStatesDigest)
    },
    onRefused: (address) => parts.expectedBoxes.recordRefused(address, parts.clock.nowMs()),
    onTaskError: (thrown) => parts.failures.recordTask('prober', thrown),
    onPeerRevisions: (address, revisions) => Object.values(Collection).forEach((collection) => {
      parts.followers[collection].observeRevision(address, revisions[collection])
    }),
  })
}

function createConnectionShares ({ declarations, upstreams, view }: BoxParts): ConnectionShares {
  return new ConnectionShares({
    configuration: () => declarations.value,
    upstreams,
    boxCount: () => view.takingWork().length,
  })
}

function createShardManagers (parts: BoxParts): ShardManagers {
  return new ShardManagers({
    ...environmentOf(parts),
    failures: parts.failures,
    pauseDetector: parts.pauseDetector,
    declarations: parts.declarations,
    fleet: parts.fleet,
    listRevision: () => parts.fleetList.revision,
    limitPerSecond: (engine) => parts.upstreamStates.perSecond(engine),
    view: parts.view,
    confirmRunningHere: parts.confirmRunningHere,
    isGone: (incarnation) => parts.view.get(incarnation)?.health === MemberHealth.Gone,
    hasLostPaths: () => hasLostPathsTo(UpstreamKind.Engine, parts),
    onReport: (engine, { runs }) => { if (runs) parts.streamOrigins.observeRuns(engine, runs) },
    lastContactMs: () => Math.max(parts.prober.lastQuorumContactMs, parts.platform.lastAnswerMs),
  })
}

function createCachedStateAges ({ clock, platformContact, shardManagers }: BoxParts): CachedStateAges {
  return new CachedStateAges({ clock, platformSilentMs: () => platformContact.sinceContactMs, oldestReportAgeMs: () => shardManagers.oldestReportAgeMs() })
}

function createDispatch (parts: BoxParts): PeerDispatch {
  return new PeerDispatch({
    prober: parts.prober,
    view: parts.view,
    stores: { [Collection.Declarations]: parts.declarations, [Collection.Fleet]: parts.fleetList },
    shardManagers: parts.shardManagers,
    owner: parts.owner,
    records: parts.records,
    delegatedRuns: parts.delegatedRuns,
    streamOrigins: parts.streamOrigins,
    runGossip: parts.runGossip,
    acquireAccountCost: (message) => acquireAccountCost(parts, message),
    releaseAccountCost: (message) => releaseAccountCost(parts, message),
    upstreamStateGossip: parts.upstreamStateGossip,
    permitBuckets: parts.permitBuckets,
    upstreamStates: parts.upstreamStates,
    pools: parts.pools,
    poolCoordinator: parts.poolCoordinator,
    hasLostPaths: () => parts.pathsTo[UpstreamKind.Engine].lost,
    onUpstreamReports: (reports) => parts.reportBroadcaster.broadcast(reports.filter((report) => parts.view.mayReach(UpstreamKind.Service, report.box) && parts.upstreamReports.add(report))),
    lookup: parts.lookup,
    confirmRunningHere: parts.confirmRunningHere,
    describeForStatus: () => parts.shardManagers.describe(),
    log: parts.log,
  })
}

function createLookup (parts: BoxParts): BoxParts['lookup'] {
  const { clock, random, settings, view } = parts
  const loadOf = (incarnation: string) => incarnation === view.self.incarnation ? parts.owner.inFlight : parts.prober.loadOf(incarnation)
  return (availabilityZone) => answerLookup({ clock, random, view, loadOf, availabilityZone, keepMs: settings.requests.lookupKeepMs, boxCount: settings.requests.lookupBoxes })
}

/** This process confirms only requests of its own current incarnation. */
function createConfirmRunningHere (parts: BoxParts): BoxParts['confirmRunningHere'] {
  return (incarnation, requestIds) => incarnation === parts.view.self.incarnation
    ? parts.owner.confirmRunning(incarnation, requestIds)
    : undefined
}
