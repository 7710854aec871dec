import { type FleetList, GuardedFleet, parseFleetList } from '@reelspan/config.fleet'
import { type Configuration, DeclarationsChecker } from '@reelspan/config.resources'
import { ConfigFollower, ConfigStore } from '@reelspan/config.store'
import { Collection } from '@reelspan/core.messages'
import { LogEvent } from '@reelspan/telemetry.log'
import { type BoxParts, environmentOf } from './boxParts.js'
import { PlatformContactWatch } from './platformContactWatch.js'
import { WatcherRole } from './watcherRole.js'

/** Some times the 0.3 s that a whole configuration of thousands of routes takes on a small box's line. */
const PEER_TIMEOUT_MS = 1000

/** Declarations are adopted whole and valid, or not at all. */
export function createDeclarations (): ConfigStore<Configuration> {
  return new ConfigStore(new DeclarationsChecker().parse)
}

/** The platform's list as it was last read. */
export function createFleetList (): ConfigStore<FleetList> {
  return new ConfigStore(parseFleetList)
}

/** The list that this box acts by. */
export function createFleet (parts: BoxParts): GuardedFleet {
  const { clock, fleetList, platformContact } = parts
  return new GuardedFleet({
    clock,
    listed: fleetList,
    mayHaveLapsed: () => platformContact.mayHaveLapsed,
    draining: {
      get revision () { return parts.upstreamStates.drainingRevision },
      has: (upstream) => parts.upstreamStates.isDraining(upstream),
    },
  })
}

/** Whether the platform answers anyone. */
export function createContact ({ clock, log, platform, watcherRole }: BoxParts): PlatformContactWatch {
  return new PlatformContactWatch({ clock, log, isWatcher: () => watcherRole.holds(), lastAnswerMs: () => platform.lastAnswerMs })
}

/** Whether this box watches the platform for its zone. */
export function createWatcherRole (parts: BoxParts): WatcherRole {
  const { clock, settings, view } = parts
  return new WatcherRole({ clock, settings, view, lastMajorityContactMs: () => parts.prober.lastMajorityContactMs })
}

/** What keeps declarations and list up to date. */
export function createFollowers (parts: BoxParts): Record<Collection, ConfigFollower> {
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
    onConfirmed: (revision, askedAtMs) => {
      if (collection === Collection.Declarations) parts.proof.noteRead(revision, askedAtMs)
    },
    onTaskError: (thrown) => parts.failures.noteTask(`follower of ${collection}`, thrown),
    onRejected: (problems, revision) => parts.log.warn(LogEvent.RevisionRejected, { collection, revision, problems }),
  })
  return {
    [Collection.Declarations]: create(Collection.Declarations, parts.declarations),
    [Collection.Fleet]: create(Collection.Fleet, parts.fleetList),
  }
}
