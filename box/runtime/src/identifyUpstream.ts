import { type ListedUpstream, UpstreamKind } from '@reelspan/config.fleet'
import { compareReportedStart, type EngineClient, ReportedStart, UpstreamError, UpstreamIdentity } from '@reelspan/upstream.client'

/** Engines report within a few milliseconds. */
const TIMEOUT_MS = 300

/** Asks an upstream whether it is still the start that the list names. Services have no report. Never rejects. */
export async function identifyUpstream (engines: EngineClient, upstream: ListedUpstream): Promise<UpstreamIdentity> {
  const { kind, name, address, startedAtMs } = upstream
  if (kind !== UpstreamKind.Engine) return UpstreamIdentity.Unknown
  try {
    const report = await engines.report(address, { timeoutMs: TIMEOUT_MS, instance: name })
    if (compareReportedStart(upstream, report) === ReportedStart.Newer) return UpstreamIdentity.Other
    return startedAtMs !== undefined && startedAtMs === report.startedAtMs ? UpstreamIdentity.Same : UpstreamIdentity.Unnamed
  } catch (thrown) {
    // The client logs other failures, which say nothing about the start.
    return thrown instanceof UpstreamError && thrown.refused ? UpstreamIdentity.Other : UpstreamIdentity.Unknown
  }
}
