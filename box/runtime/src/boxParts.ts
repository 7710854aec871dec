import { type Admission } from '@reelspan/accounts.admission'
import { type FreshnessProof, type ProofRenewer } from '@reelspan/accounts.proof'
import { type FleetList, type ReconciledFleet, type UpstreamKind } from '@reelspan/config.fleet'
import { type Configuration } from '@reelspan/config.resources'
import { type ConfigFollower, type ConfigStore } from '@reelspan/config.store'
import { type PauseDetector } from '@reelspan/core.env'
import { type Collection, type PoolShortage, type UpstreamStateUpdate, type RunEvent } from '@reelspan/core.messages'
import { type BoxList, type CoordinatedLimiter, type ExpectedBoxes, type StandInLimiter, type TokenBucketStore } from '@reelspan/membership.limits'
import { type Broadcaster, type Gossip, type Prober } from '@reelspan/membership.prober'
import { type MembershipView } from '@reelspan/membership.view'
import { type StreamOrigins } from '@reelspan/request.stream-origins'
import { type DelegatedRuns, type Delegator } from '@reelspan/request.delegation'
import { type LookupAnswer } from '@reelspan/request.lookup'
import { type Owner } from '@reelspan/request.owner'
import { type RunEnds, type Quarantine, type RunHistory } from '@reelspan/request.quarantine'
import { type RecordStore } from '@reelspan/request.records'
import { type Relay } from '@reelspan/request.relay'
import { type Placer } from '@reelspan/scheduling.placer'
import { type CoordinatedPools, type PoolCoordinator } from '@reelspan/scheduling.pool-admission'
import { type UpstreamFailureReport, type UpstreamFailureReports } from '@reelspan/upstream.health'
import { type RetryTimes, type SendPermits } from '@reelspan/upstream.limits'
import { type KindPaths, type UpstreamPaths } from '@reelspan/upstream.paths'
import { type Backoffs, type SignalObserver, type UpstreamStates } from '@reelspan/upstream.signals'
import { type CachedStateAges } from './cachedStateAges.js'
import { type Box } from './box.js'
import { type BoxEnvironment } from './boxEnvironment.js'
import { type AccountWeights } from './createPoolAdmissionParts.js'
import { type FailureLog } from './failureLog.js'
import { type PeerDispatch } from './peerDispatch.js'
import { type ConnectionShares } from './connectionShares.js'
import { type PlatformContactTracker } from './platformContactTracker.js'
import { type RequestRouter } from './requestRouter.js'
import { type ResourceApi } from './resourceApi.js'
import { type ShardManagers } from './shardManagers.js'
import { type UpstreamsByAddress } from './upstreamsByAddress.js'
import { type WatcherRole } from './watcherRole.js'

/** The parts of a box, as registered in its container. */
export interface BoxParts extends BoxEnvironment {
  /** Detects that the process was suspended or the event loop was blocked. */
  pauseDetector: PauseDetector
  /** Logs failed calls that their callers recover from, and background tasks that failed unexpectedly. */
  failures: FailureLog
  view: MembershipView
  declarations: ConfigStore<Configuration>
  /** The platform's fleet list as last read. */
  fleetList: ConfigStore<FleetList>
  /** The list that this box acts on: the platform's list plus entries that may only have expired during a platform outage. */
  fleet: ReconciledFleet
  /** Whether this box watches the platform on behalf of its availability zone. */
  watcherRole: WatcherRole
  platformContact: PlatformContactTracker
  /** Index by address of the upstreams that this box acts on. */
  upstreams: UpstreamsByAddress
  connectionShares: ConnectionShares
  followers: Record<Collection, ConfigFollower>
  /** Freshness proof of the declarations in force, required for requests with an account key. */
  freshnessProof: FreshnessProof
  proofRenewer?: ProofRenewer
  /** Token buckets of the client accounts that this box coordinates. */
  accountBuckets: TokenBucketStore
  /** Allowances of the client accounts for which this box stands in. */
  standInBuckets: TokenBucketStore
  expectedBoxes: ExpectedBoxes
  limiter: StandInLimiter
  admission: Admission
  prober: Prober
  /** Whether this box has network paths to the upstreams. */
  upstreamPaths: UpstreamPaths
  /** Whether it has paths to the upstreams of each kind alone. */
  pathsOfKinds: Record<UpstreamKind, UpstreamPaths>
  /** Paths by which the failures of upstreams of a kind are judged. */
  pathsTo: Record<UpstreamKind, KindPaths>
  /** Have requests run by other boxes while this one cannot reach any upstream of the kind that they need. */
  delegators: Record<UpstreamKind, Delegator>
  /** Knows or finds out which software version began a stream. */
  streamOrigins: StreamOrigins
  /** Requests that this box runs for others. */
  delegatedRuns: DelegatedRuns
  runEnds: RunEnds
  upstreamReports: UpstreamFailureReports
  reportBroadcaster: Broadcaster<UpstreamFailureReport>
  /** Rate limits and draining that upstreams advertise in their responses, to this box or any other. */
  upstreamStates: UpstreamStates
  backoffs: Backoffs
  signals: SignalObserver
  upstreamStateGossip: Gossip<UpstreamStateUpdate>
  /** Token buckets of the upstreams whose permits this box coordinates. */
  permitBuckets: TokenBucketStore
  permitLimiter: CoordinatedLimiter
  permits: SendPermits
  retryTimes: RetryTimes
  /** Grants slots at the upstreams of service pools that are short of capacity. */
  pools: CoordinatedPools
  /** State of the pools that this box coordinates. */
  poolCoordinator: PoolCoordinator
  poolBroadcaster: Broadcaster<PoolShortage>
  /** Weights of client accounts in the shares of service pools. */
  poolWeights: AccountWeights
  /** Attempts during which an upstream process ended, at any box. */
  runHistory: RunHistory
  runGossip: Gossip<RunEvent>
  quarantine: Quarantine
  records: RecordStore
  placer: Placer
  owner: Owner
  relay?: Relay
  shardManagers: ShardManagers
  cachedStateAges: CachedStateAges
  router: RequestRouter
  dispatch: PeerDispatch
  resources: ResourceApi
  lookup: (availabilityZone?: string) => LookupAnswer
  confirmRunningHere: (incarnation: string, requestIds: readonly string[]) => string[] | undefined
  box: Box
}

/** Selects the environment of a box from its parts. */
export function environmentOf ({ settings, clock, random, link, platform, engines, services, probe, log, metrics }: BoxParts): BoxEnvironment {
  return { settings, clock, random, link, platform, engines, services, probe, log, metrics }
}

/** Peer addresses of all other boxes in the fleet list or among the seed addresses. */
export function listedPeerAddresses ({ fleet, settings, view }: Pick<BoxParts, 'fleet' | 'settings' | 'view'>): string[] {
  const addresses = new Set([...fleet.value.boxes.map(({ peerAddress }) => peerAddress), ...settings.membership.seedAddresses])
  return [...addresses].filter((address) => address !== view.self.peerAddress)
}

/** Peer addresses of all boxes in the fleet list, including this one; the seed addresses while there is no list. */
export function listedBoxes ({ fleet, settings }: Pick<BoxParts, 'fleet' | 'settings'>): BoxList {
  const { boxes } = fleet.value
  if (boxes.length === 0) return { addresses: settings.membership.seedAddresses, isComplete: false }
  const listed = listsOfBoxes.get(boxes) ?? { addresses: boxes.map(({ peerAddress }) => peerAddress), isComplete: true }
  listsOfBoxes.set(boxes, listed)
  return listed
}

/** By the array in the fleet list, so that the same array is returned until the list changes. */
const listsOfBoxes = new WeakMap<FleetList['boxes'], BoxList>()
