import { PauseWatch } from '@reelspan/core.env'
import { Collection, type Member, MemberHealth, type PeerLink } from '@reelspan/core.messages'
import { Prober } from '@reelspan/membership.prober'
import { MembershipView } from '@reelspan/membership.view'
import { answerLookup } from '@reelspan/request.lookup'
import { RunHistory } from '@reelspan/request.quarantine'
import { type EngineClient } from '@reelspan/upstream.client'
import { UpstreamReports } from '@reelspan/upstream.health'
import { asFunction, asValue, createContainer, InjectionMode } from 'awilix'
import { BeliefAges } from './beliefAges.js'
import { Box } from './box.js'
import { type BoxEnvironment } from './boxEnvironment.js'
import { type BoxParts, environmentOf, listedPeers } from './boxParts.js'
import { ConnectionShares } from './connectionShares.js'
import { createAdmission, createLimitBook, createLimiter, createProof, createProofKeeper } from './createAccountParts.js'
import { createContact, createDeclarations, createFleet, createFleetList, createFollowers, createWatcherRole } from './createConfigParts.js'
import { createPermitBook, createPermitLimiter, createPermits, createReturnTimes } from './createLimitParts.js'
import { createPlacer } from './createPlacer.js'
import { createBrokenRuns, createOwner, createQuarantine, createRecords, createRelay, createReportFlood, createRunGossip, recordLifeMs } from './createRequestParts.js'
import { createBackoffs, createSignalObserver, createUpstreamStateGossip, createUpstreamStates } from './createSignalParts.js'
import { drawIncarnation } from './drawIncarnation.js'
import { FailureLog } from './failureLog.js'
import { LoggedEngineClient } from './loggedEngineClient.js'
import { LoggedPeerLink } from './loggedPeerLink.js'
import { PeerDispatch } from './peerDispatch.js'
import { RequestRouter } from './requestRouter.js'
import { ResourceApi } from './resourceApi.js'
import { ShardKeepers } from './shardKeepers.js'
import { UpstreamsByAddress } from './upstreamsByAddress.js'

/** Composes a box. Nothing runs until it is started. */
export function createBox (environment: BoxEnvironment): Box {
  const container = createContainer<BoxParts>({ injectionMode: InjectionMode.PROXY, strict: true })
  Object.entries({ relayClient: undefined, ...environment }).forEach(([name, value]) => container.register(name, asValue(value)))
  container.register({
    pauses: asFunction((parts: BoxParts) => new PauseWatch(parts)).singleton(),
    failures: asFunction((parts: BoxParts) => new FailureLog(parts)).singleton(),
    link: asFunction((parts: BoxParts) => createLink(environment.link, parts)).singleton(),
    engines: asFunction((parts: BoxParts) => createEngines(environment.engines, parts)).singleton(),
    view: asFunction(createView).singleton(),
    declarations: asFunction(createDeclarations).singleton(),
    fleetList: asFunction(createFleetList).singleton(),
    fleet: asFunction(createFleet).singleton(),
    watcherRole: asFunction(createWatcherRole).singleton(),
    platformContact: asFunction(createContact).singleton(),
    upstreams: asFunction((parts: BoxParts) => new UpstreamsByAddress(parts)).singleton(),
    connectionShares: asFunction(createConnectionShares).singleton(),
    followers: asFunction(createFollowers).singleton(),
    proof: asFunction(createProof).singleton(),
    proofKeeper: asFunction(createProofKeeper).singleton(),
    limitBook: asFunction(createLimitBook).singleton(),
    limiter: asFunction(createLimiter).singleton(),
    admission: asFunction(createAdmission).singleton(),
    prober: asFunction(createProber).singleton(),
    brokenRuns: asFunction(createBrokenRuns).singleton(),
    upstreamReports: asFunction((parts: BoxParts) => new UpstreamReports(parts)).singleton(),
    reportFlood: asFunction(createReportFlood).singleton(),
    upstreamStates: asFunction(createUpstreamStates).singleton(),
    backoffs: asFunction(createBackoffs).singleton(),
    signals: asFunction(createSignalObserver).singleton(),
    upstreamStateGossip: asFunction(createUpstreamStateGossip).singleton(),
    permitBook: asFunction(createPermitBook).singleton(),
    permitLimiter: asFunction(createPermitLimiter).singleton(),
    permits: asFunction(createPermits).singleton(),
    returnTimes: asFunction(createReturnTimes).singleton(),
    runHistory: asFunction((parts: BoxParts) => new RunHistory(parts)).singleton(),
    runGossip: asFunction(createRunGossip).singleton(),
    quarantine: asFunction(createQuarantine).singleton(),
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

function createEngines (engines: EngineClient, { failures, upstreams }: BoxParts): EngineClient {
  return new LoggedEngineClient({ engines, failures, nameAt: (address) => upstreams.at(address)?.name })
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
    proof: () => parts.proof.told,
    onPeerProof: (told, askedAtMs) => parts.proof.hear(told, askedAtMs),
    newsDigests: () => ({ runsDigest: parts.runHistory.digest || undefined, upstreamStatesDigest: parts.upstreamStates.digest || undefined }),
    onPeerNewsDigests: (address, { runsDigest, upstreamStatesDigest }) => {
      parts.runGossip.hear(address, runsDigest)
      parts.upstreamStateGossip.hear(address, upstreamStatesDigest)
    },
    onTaskError: (thrown) => parts.failures.noteTask('prober', thrown),
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

function createKeepers (parts: BoxParts): ShardKeepers {
  return new ShardKeepers({
    ...environmentOf(parts),
    failures: parts.failures,
    pauses: parts.pauses,
    declarations: parts.declarations,
    fleet: parts.fleet,
    listOrder: () => parts.fleetList.revision,
    limitPerSecond: (engine) => parts.upstreamStates.perSecond(engine),
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
    runGossip: parts.runGossip,
    limitBook: parts.limitBook,
    upstreamStateGossip: parts.upstreamStateGossip,
    permitBook: parts.permitBook,
    upstreamStates: parts.upstreamStates,
    onUpstreamReports: (reports) => parts.reportFlood.tell(reports.filter((report) => parts.upstreamReports.add(report))),
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
