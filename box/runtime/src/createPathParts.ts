import { UpstreamKind } from '@reelspan/config.fleet'
import { type Member } from '@reelspan/core.messages'
import { FailureCause, KindPaths, type LossEvidence, UpstreamPaths, type UpstreamPathsOptions } from '@reelspan/upstream.paths'
import { LogEvent } from '@reelspan/telemetry.log'
import { type BoxParts } from './boxParts.js'

export function createUpstreamPaths (parts: BoxParts): UpstreamPaths {
  return new UpstreamPaths({
    ...environmentOfPaths(parts),
    addresses: () => parts.fleet.value.upstreams.map(({ address }) => address),
    onLost: (evidence) => {
      recordLoss(parts, evidence, parts.view.reachingUpstreams())
      announce(parts)
    },
    onRegained: (lostMs) => {
      parts.log.info(LogEvent.UpstreamPathsRegained, { lostMs: Math.round(lostMs) })
      parts.relay?.onPathsRegained()
      announceAfterReports(parts)
    },
  })
}

/** Paths to the upstreams of each kind, apart from those to all. */
export function createPathsOfKinds (parts: BoxParts): Record<UpstreamKind, UpstreamPaths> {
  return { [UpstreamKind.Engine]: createPathsOfKind(parts, UpstreamKind.Engine), [UpstreamKind.Service]: createPathsOfKind(parts, UpstreamKind.Service) }
}

export function createKindPaths (parts: BoxParts): Record<UpstreamKind, KindPaths> {
  const pathsTo = (kind: UpstreamKind) => new KindPaths({ all: parts.upstreamPaths, ofKind: parts.pathsOfKinds[kind], othersReach: () => peersOf(parts, parts.view.reaching(kind)).length > 0 })
  return { [UpstreamKind.Engine]: pathsTo(UpstreamKind.Engine), [UpstreamKind.Service]: pathsTo(UpstreamKind.Service) }
}

function createPathsOfKind (parts: BoxParts, kind: UpstreamKind): UpstreamPaths {
  return new UpstreamPaths({
    ...environmentOfPaths(parts),
    addresses: () => addressesOf(parts, kind),
    onLost: (evidence) => {
      recordLoss(parts, evidence, parts.view.reaching(kind), kind)
      announce(parts)
    },
    onRegained: (lostMs) => {
      parts.log.info(LogEvent.UpstreamPathsRegained, { kind, lostMs: Math.round(lostMs) })
      parts.relay?.onPathsRegained(kind)
      if (kind === UpstreamKind.Engine) announceAfterReports(parts)
      else announce(parts)
    },
  })
}

function environmentOfPaths ({ clock, random, probe, failures }: BoxParts): Pick<UpstreamPathsOptions, 'clock' | 'random' | 'probe' | 'onTaskError'> {
  return { clock, random, probe, onTaskError: (thrown) => failures.recordTask('upstreamPaths', thrown) }
}

/** None if all upstreams are of this kind: then the paths to all say the same. */
function addressesOf ({ fleet }: BoxParts, kind: UpstreamKind): string[] {
  const { upstreams } = fleet.value
  const ofKind = upstreams.filter((upstream) => upstream.kind === kind)
  return ofKind.length < upstreams.length ? ofKind.map(({ address }) => address) : []
}

function recordLoss (parts: BoxParts, { probed, refused, silentMs }: LossEvidence, reaching: readonly Member[], kind?: UpstreamKind): void {
  const { log, metrics } = parts
  log.warn(LogEvent.UpstreamPathsLost, { kind, probed, refused, silentMs: Math.round(silentMs), boxesWithPaths: peersOf(parts, reaching).length })
  metrics.count('reelspan_upstream_paths_lost_total', kind && { kind })
}

function peersOf ({ view }: BoxParts, members: readonly Member[]): Member[] {
  return members.filter(({ incarnation }) => incarnation !== view.self.incarnation)
}

/** Lets the other boxes know at once, since they may send requests to this box's schedulers. */
function announce ({ view, clock, prober, upstreamPaths, pathsOfKinds }: BoxParts): void {
  view.announce({
    upstreamsUnreachable: upstreamPaths.lost || undefined,
    enginesUnreachable: pathsOfKinds[UpstreamKind.Engine].lost || undefined,
    servicesUnreachable: pathsOfKinds[UpstreamKind.Service].lost || undefined,
  }, clock.nowMs())
  void prober.sendHeartbeatsNow()
}

/** Other boxes ask the schedulers of this one again as soon as they learn of it. Paths may be lost again meanwhile. */
function announceAfterReports (parts: BoxParts): void {
  void parts.shardManagers.refreshReports().then(() => announce(parts))
}

/** Whether a failure is due to this box's own network paths to all upstreams, which says nothing about the upstream. */
export async function hasLostPaths ({ upstreamPaths }: Pick<BoxParts, 'upstreamPaths'>): Promise<boolean> {
  return await upstreamPaths.judge() === FailureCause.OwnPaths
}

/** The same for the paths to upstreams of one kind. */
export async function hasLostPathsTo (kind: UpstreamKind, { pathsTo }: Pick<BoxParts, 'pathsTo'>): Promise<boolean> {
  return await pathsTo[kind].judge() === FailureCause.OwnPaths
}
