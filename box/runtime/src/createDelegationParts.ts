import { UpstreamKind } from '@reelspan/config.fleet'
import { raceTimeout, STOPPED } from '@reelspan/core.env'
import { ErrorCode, ReelspanError, Verdict } from '@reelspan/core.error'
import { type DelegatedRequest, type DelegationTerms } from '@reelspan/core.messages'
import { DelegatedRuns, Delegator, WINDOW_BYTES } from '@reelspan/request.delegation'
import { type RelayCaller } from '@reelspan/request.relay'
import { type BoxParts } from './boxParts.js'

/** Share of a box's memory for answers and for bodies that requests of other boxes may take. */
const DELEGATED_SHARE = 0.5
/** Boxes adopt a configuration within some tens of milliseconds of each other. */
const CONFIGURATION_WAIT_MS = 300
const UNAVAILABLE_RETRY_AFTER_MS = 1000

export function createDelegators (parts: BoxParts): Record<UpstreamKind, Delegator> {
  return { [UpstreamKind.Engine]: createDelegator(parts, UpstreamKind.Engine), [UpstreamKind.Service]: createDelegator(parts, UpstreamKind.Service) }
}

function createDelegator ({ random, link, metrics, view, pathsTo }: BoxParts, kind: UpstreamKind): Delegator {
  const paths = pathsTo[kind]
  const delegates = () => view.reaching(kind).filter(({ incarnation, runsForOthers }) => runsForOthers && incarnation !== view.self.incarnation)
  return new Delegator({
    random,
    link,
    metrics,
    self: () => view.self,
    // While upstreams accept no connections from any box, as in overload, requests still go over the open ones.
    isNeeded: () => paths.lost && (paths.silent || delegates().length > 0),
    delegates,
  })
}

export function createDelegatedRuns (parts: BoxParts): DelegatedRuns {
  const { settings: { limits } } = parts
  return new DelegatedRuns({
    run: (request, terms, caller) => runDelegated(parts, request, terms, caller),
    unavailable: () => unavailableReason(parts),
    maxRuns: Math.max(1, Math.floor(DELEGATED_SHARE * limits.answerBytes / (2 * WINDOW_BYTES))),
    maxBodyBytes: DELEGATED_SHARE * limits.requestBytes,
  })
}

async function runDelegated ({ clock, declarations, relay }: BoxParts, { account, ...request }: DelegatedRequest, { revision, ...terms }: DelegationTerms, caller: RelayCaller & { recordSent: (upstream: string, softwareVersion: string) => void }): Promise<void> {
  if (declarations.revision < revision) {
    const stop = new AbortController()
    await raceTimeout(clock, declarations.waitAbove(revision - 1, AbortSignal.any([stop.signal, caller.signal])), CONFIGURATION_WAIT_MS)
    stop.abort(STOPPED)
    if (declarations.revision < revision) throw unavailable('has not adopted the configuration by which the request was admitted yet')
  }
  await relay?.relayDelegated(request, caller, { ...terms, account, onSent: (upstream, softwareVersion) => caller.recordSent(upstream, softwareVersion) })
}

function unavailableReason ({ relay, upstreamPaths, view }: BoxParts): ReelspanError | undefined {
  if (!relay) return unavailable('relays no requests')
  if (upstreamPaths.lost) return unavailable('cannot reach any upstream either')
  if (view.self.leaving) return unavailable('is stopping')
  return undefined
}

function unavailable (reason: string): ReelspanError {
  return new ReelspanError(ErrorCode.NotReady, `this box ${reason}`, { verdict: Verdict.NotRun, retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS })
}
