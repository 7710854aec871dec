import { type Admission } from '@reelspan/accounts.admission'
import { type ConfigurationProof, type ProofKeeper } from '@reelspan/accounts.proof'
import { type FleetList, type GuardedFleet } from '@reelspan/config.fleet'
import { type Configuration } from '@reelspan/config.resources'
import { type ConfigFollower, type ConfigStore } from '@reelspan/config.store'
import { type PauseWatch } from '@reelspan/core.env'
import { type Collection, type UpstreamStateUpdate, type RunEvent } from '@reelspan/core.messages'
import { type HomeLimiter, type LimitBook, type SharedLimiter } from '@reelspan/membership.limits'
import { type Flood, type Gossip, type Prober } from '@reelspan/membership.prober'
import { type MembershipView } from '@reelspan/membership.view'
import { type LookupAnswer } from '@reelspan/request.lookup'
import { type Owner } from '@reelspan/request.owner'
import { type BrokenRuns, type Quarantine, type RunHistory } from '@reelspan/request.quarantine'
import { type RecordStore } from '@reelspan/request.records'
import { type Relay } from '@reelspan/request.relay'
import { type Placer } from '@reelspan/scheduling.placer'
import { type UpstreamReport, type UpstreamReports } from '@reelspan/upstream.health'
import { type ReturnTimes, type SendPermits } from '@reelspan/upstream.limits'
import { type Backoffs, type SignalObserver, type UpstreamStates } from '@reelspan/upstream.signals'
import { type BeliefAges } from './beliefAges.js'
import { type Box } from './box.js'
import { type BoxEnvironment } from './boxEnvironment.js'
import { type FailureLog } from './failureLog.js'
import { type PeerDispatch } from './peerDispatch.js'
import { type ConnectionShares } from './connectionShares.js'
import { type PlatformContactWatch } from './platformContactWatch.js'
import { type RequestRouter } from './requestRouter.js'
import { type ResourceApi } from './resourceApi.js'
import { type ShardKeepers } from './shardKeepers.js'
import { type UpstreamsByAddress } from './upstreamsByAddress.js'
import { type WatcherRole } from './watcherRole.js'

/** Everything that makes up a box. */
export interface BoxParts extends BoxEnvironment {
  /** Notices that this process stood still. */
  pauses: PauseWatch
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
  /** The list that this box acts by, by address. */
  upstreams: UpstreamsByAddress
  connectionShares: ConnectionShares
  followers: Record<Collection, ConfigFollower>
  /** That the declarations in force here are new enough for requests with accounts' keys. */
  proof: ConfigurationProof
  proofKeeper?: ProofKeeper
  /** Buckets of client accounts whose home is this box. */
  limitBook: LimitBook
  limiter: SharedLimiter
  admission: Admission
  prober: Prober
  brokenRuns: BrokenRuns
  upstreamReports: UpstreamReports
  reportFlood: Flood<UpstreamReport>
  /** What upstreams advertise in their responses. */
  upstreamStates: UpstreamStates
  backoffs: Backoffs
  signals: SignalObserver
  upstreamStateGossip: Gossip<UpstreamStateUpdate>
  /** Buckets of permits for upstreams whose home is this box. */
  permitBook: LimitBook
  permitLimiter: HomeLimiter
  permits: SendPermits
  returnTimes: ReturnTimes
  /** Runs that ended with their upstreams, at any box. */
  runHistory: RunHistory
  runGossip: Gossip<RunEvent>
  quarantine: Quarantine
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

/** What the parts of a box get from outside, without the parts. */
export function environmentOf ({ settings, clock, random, link, platform, engines, services, probe, log, metrics }: BoxParts): BoxEnvironment {
  return { settings, clock, random, link, platform, engines, services, probe, log, metrics }
}

/** Peer addresses of boxes that the platform lists or the settings name, without this one's. */
export function listedPeers ({ fleet, settings, view }: Pick<BoxParts, 'fleet' | 'settings' | 'view'>): string[] {
  const addresses = new Set([...fleet.value.boxes.map(({ peerAddress }) => peerAddress), ...settings.membership.seedAddresses])
  return [...addresses].filter((address) => address !== view.self.peerAddress)
}
