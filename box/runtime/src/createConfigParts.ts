import { type FleetList, ReconciledFleet, parseFleetList } from '@reelspan/config.fleet'
import { type Configuration, DeclarationsChecker } from '@reelspan/config.resources'
import { ConfigFollower, ConfigStore } from '@reelspan/config.store'
import { Collection } from '@reelspan/core.messages'
import { LogEvent } from '@reelspan/telemetry.log'
import { type BoxParts, environmentOf } from './boxParts.js'
import { PlatformContactTracker } from './platformContactTracker.js'
import { WatcherRole } from './watcherRole.js'

/** A few times the 0.3 s that a whole configuration of thousands of routes takes over the network link of a small box. */
const PEER_TIMEOUT_MS = 1000

/** Store of the declarations, which adopts a revision only if all of it is valid. */
export function createDeclarations (): ConfigStore<Configuration> {
  return new ConfigStore(new DeclarationsChecker().parse)
}

/** Store of the platform's fleet list as last read. */
export function createFleetList (): ConfigStore<FleetList> {
  return new ConfigStore(parseFleetList)
}

/** The fleet list that this box acts on. */
export function createFleet (parts: BoxParts): ReconciledFleet {
  const { clock, fleetList, platformContact } = parts
  return new ReconciledFleet({
    clock,
    listed: fleetList,
    mayHaveExpired: () => platformContact.mayHaveExpired,
    draining: {
      get revision () { return parts.upstreamStates.drainingRevision },
      has: (upstream) => parts.upstreamStates.isDraining(upstream),
    },
  })
}

/** Tracks whether the platform answers any box. */
export function createPlatformContact ({ clock, log, platform, watcherRole }: BoxParts): PlatformContactTracker {
  return new PlatformContactTracker({ clock, log, isWatcher: () => watcherRole.isWatcher(), lastAnswerMs: () => platform.lastAnswerMs })
}

/** Decides whether this box watches the platform on behalf of its availability zone. */
export function createWatcherRole (parts: BoxParts): WatcherRole {
  const { clock, settings, view } = parts
  return new WatcherRole({ clock, settings, view, lastMajorityContactMs: () => parts.prober.lastMajorityContactMs })
}

/** Followers that keep the declarations and the fleet list up to date. */
export function createFollowers (parts: BoxParts): Record<Collection, ConfigFollower> {
  const create = (collection: Collection, store: ConfigStore<unknown>) => new ConfigFollower({
    ...environmentOf(parts),
    store,
    collection,
    isWatcher: () => parts.watcherRole.isWatcher(),
    watchWaitMs: parts.settings.platform.watchWaitMs,
    backstopPollMs: parts.settings.platform.backstopPollMs,
    peerTimeoutMs: PEER_TIMEOUT_MS,
    longestBackoffMs: parts.settings.platform.longestBackoffMs,
    onAnswer: () => {
      if (collection === Collection.Fleet) parts.platformContact.recordAnswer()
    },
    onReachable: (reachable, details) => parts.platformContact.recordReachability(reachable, details),
    onConfirmed: (revision, askedAtMs) => {
      if (collection === Collection.Declarations) parts.freshnessProof.recordRead(revision, askedAtMs)
    },
    onTaskError: (thrown) => parts.failures.recordTask(`follower of ${collection}`, thrown),
    onRejected: (problems, revision) => parts.log.warn(LogEvent.RevisionRejected, { collection, revision, problems }),
  })
  return {
    [Collection.Declarations]: create(Collection.Declarations, parts.declarations),
    [Collection.Fleet]: create(Collection.Fleet, parts.fleetList),
  }
}
