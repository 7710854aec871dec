import { UpstreamKind } from '@reelspan/config.fleet'
import { rankByRendezvous } from '@reelspan/core.hashing'
import { MessageType, RunEnd, type RunEvent } from '@reelspan/core.messages'
import { Broadcaster, Gossip } from '@reelspan/membership.prober'
import { Owner } from '@reelspan/request.owner'
import { RunEnds, Quarantine, RunMessages } from '@reelspan/request.quarantine'
import { RecordStore } from '@reelspan/request.records'
import { Relay } from '@reelspan/request.relay'
import { EngineWitnesses, StreamOrigins } from '@reelspan/request.stream-origins'
import { type UpstreamFailureReport } from '@reelspan/upstream.health'
import { type BoxParts, environmentOf } from './boxParts.js'
import { hasLostPaths, hasLostPathsTo } from './createPathParts.js'
import { identifyUpstream } from './identifyUpstream.js'
import { recordRequestEnd } from './recordRequestEnd.js'

/** Twice as many boxes may let a quarantined request try each time that this passes without an outcome, since few such requests may come. */
const TRIAL_SPREAD_MS = 10_000
/** Same timeout as for other calls between boxes. */
const REPORT_TIMEOUT_MS = 300

export function createRecords ({ clock, settings }: BoxParts): RecordStore {
  return new RecordStore({ clock, maxBytes: settings.requests.recordBytes, recordTtlMs: recordTtlMs(settings.requests) })
}

/** Records are kept longer than any key that can still refer to them is valid. */
export function recordTtlMs ({ prefixLifeMs, longestRequestMs }: BoxParts['settings']['requests']): number {
  return prefixLifeMs + 2 * longestRequestMs
}

export function createRunEnds (parts: BoxParts): RunEnds {
  const { clock, probe, log, metrics, fleet, engines } = parts
  return new RunEnds({
    clock,
    probe,
    log,
    metrics,
    fleet: () => fleet.value,
    identify: (upstream) => identifyUpstream(engines, upstream),
    hasLostPaths: () => hasLostPaths(parts),
    onTaskError: (thrown) => parts.failures.recordTask('runEnds', thrown),
    onUpstreamExited: ({ identity, upstream, sentAtMs, endedAtMs, exitKnownAtMs, writtenMs, targetVersion, pool, availabilityZone }) =>
      parts.quarantine.recordUpstreamExit(identity, upstream, {
        ranMs: endedAtMs - sentAtMs,
        ageMs: clock.nowMs() - endedAtMs,
        exitKnownAfterMs: exitKnownAtMs - endedAtMs,
        writtenMs,
        targetVersion,
        pool,
        availabilityZone,
      }),
  })
}

/** Lost reports are not sent again, since a report is useful for only a second. */
export function createReportBroadcast (parts: BoxParts): Broadcaster<UpstreamFailureReport> {
  const { clock, link } = parts
  return new Broadcaster({
    clock,
    watchedAddresses: () => parts.prober.watchedAddresses(),
    // The link logs a failure.
    send: async (address, reports, signal) => {
      await link.call(address, { type: MessageType.UpstreamsTell, reports: [...reports] }, { timeoutMs: REPORT_TIMEOUT_MS, repeatable: true, signal }).catch(() => {})
    },
    onTaskError: (thrown) => parts.failures.recordTask('reportFlood', thrown),
  })
}

export function createRunGossip (parts: BoxParts): Gossip<RunEvent> {
  const { clock, link, runHistory } = parts
  return new Gossip({
    clock,
    link,
    store: runHistory,
    messages: new RunMessages(),
    watchedAddresses: () => parts.prober.watchedAddresses(),
    onAdded: (events) => {
      parts.quarantine.onEventsAdded(events)
      exitsOf(events).forEach(([upstream, ageMs]) => parts.runEnds.onExitAnnounced(upstream, clock.nowMs() - ageMs))
    },
    onTaskError: (thrown) => parts.failures.recordTask('runGossip', thrown),
  })
}

/** Upstreams that have exited, and how long ago. */
function exitsOf (events: readonly RunEvent[]): [string, number][] {
  return events.flatMap(({ end, upstream, ageMs }): [string, number][] => end === RunEnd.UpstreamEnded && upstream !== undefined ? [[upstream, ageMs]] : [])
}

export function createQuarantine (parts: BoxParts): Quarantine {
  const { clock, log, view, runHistory } = parts
  return new Quarantine({
    clock,
    log,
    history: runHistory,
    incarnation: () => view.self.incarnation,
    onEvent: (event) => parts.runGossip.announce([event]),
    didOthersLiveOn: (exit, exited) => parts.runEnds.didOthersLiveOn(exit, exited),
    mayTry: (key, lapsedMs) => rankByRendezvous(key, view.takingWork(), ({ incarnation }) => incarnation)
      .slice(0, 2 ** Math.floor(lapsedMs / TRIAL_SPREAD_MS))
      .some(({ incarnation }) => incarnation === view.self.incarnation),
  })
}

export function createStreamOrigins (parts: BoxParts): StreamOrigins {
  const { clock, link, metrics, view, fleet, declarations, platformContact, engines } = parts
  const poolsOfModels = () => new Map(declarations.value.modelNames().flatMap((name) => {
    const model = declarations.value.model(name)
    return model ? [[name, [model.prefillPool, model.decodePool]]] : []
  }))
  return new StreamOrigins({
    clock,
    link,
    metrics,
    selfIncarnation: () => view.self.incarnation,
    members: () => [...view.live(), ...view.suspected()],
    takingWork: () => view.takingWork(),
    fleet: () => fleet.value,
    poolsOfModels,
    routes: () => declarations.value.routes().flatMap(({ spec: { host, pathPrefix, targets, streaming, resumable } }) =>
      streaming && resumable && host !== undefined && pathPrefix !== undefined ? [{ host: host.toLowerCase(), pathPrefix, targets: (targets ?? []).map(({ model, pool }) => model ?? pool as string) }] : []),
    witnesses: new EngineWitnesses({
      clock,
      fleet: () => fleet.value,
      poolsOfModels,
      readTraces: ({ name, address }, opts) => engines.traces(address, { ...opts, instance: name }),
    }),
    sinceContactMs: () => platformContact.sinceContactMs,
    onTaskError: (thrown) => parts.failures.recordTask('streamOrigins', thrown),
  })
}

export function createOwner (parts: BoxParts): Owner {
  const { settings, view, declarations, fleet, log, metrics } = parts
  return new Owner({
    ...environmentOf(parts),
    pauses: parts.pauseDetector,
    placer: parts.placer,
    runEnds: parts.runEnds,
    quarantine: parts.quarantine,
    records: parts.records,
    self: () => view.self,
    configuration: () => declarations.value,
    fleet: () => fleet.value,
    prefixLifeMs: settings.requests.prefixLifeMs,
    rejoinGraceMs: settings.requests.rejoinGraceMs,
    upstreamTimeoutMs: settings.requests.upstreamTimeoutMs,
    lastContactMs: () => parts.prober.lastMajorityContactMs,
    hasPeers: () => view.all().length > 1,
    onTaskError: (thrown) => parts.failures.recordTask('owner', thrown),
    onEnd: (record, request, timings) => recordRequestEnd({ log, metrics, revision: declarations.revision }, record, request, timings),
  })
}

export function createRelay (parts: BoxParts): Relay | undefined {
  const { clock, random, relayClient, placer, settings, view, declarations, fleetList, fleet, log, metrics } = parts
  if (!relayClient) return undefined
  return new Relay({
    clock,
    random,
    upstreams: relayClient,
    placer,
    admission: parts.admission,
    upstreamReports: parts.upstreamReports,
    paths: parts.pathsTo,
    delegators: parts.delegators,
    origins: parts.streamOrigins,
    signals: parts.signals,
    backoffs: parts.backoffs,
    upstreamStates: parts.upstreamStates,
    permits: parts.permits,
    pools: parts.pools,
    retryTimes: parts.retryTimes,
    onClosedUnanswered: (upstream) => { void broadcastReport(parts, upstream) },
    runEnds: parts.runEnds,
    quarantine: parts.quarantine,
    configuration: () => declarations.value,
    whenConfigured: (signal) => declarations.waitAbove(0, signal),
    fleet: () => fleet.value,
    fleetRevision: () => fleetList.revision,
    self: () => view.self,
    boxCount: () => view.takingWork().length,
    onTaskError: (thrown) => parts.failures.recordTask('relay', thrown),
    ...settings.relay,
    log,
    metrics,
  })
}

/** Broadcasts to all boxes that an upstream closed a connection to this box without an answer, unless all upstreams did. */
async function broadcastReport (parts: BoxParts, upstream: string): Promise<void> {
  const { clock, random, reportBroadcaster, upstreamReports, view } = parts
  const closedAtMs = clock.nowMs()
  if (await hasLostPathsTo(UpstreamKind.Service, parts)) return
  const report = { id: random.hex(16), upstream, box: view.self.name, ageMs: clock.nowMs() - closedAtMs }
  if (upstreamReports.add(report)) reportBroadcaster.broadcast([report])
}
