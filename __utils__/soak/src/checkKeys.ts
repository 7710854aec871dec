import { type ReceivedHeaders, type UpstreamRun } from '@reelspan/utils.platform-stand-ins'
import { type Publication } from './checkBounds.js'
import { type TimeInterval } from './timeInterval.js'

/** A call with the key that only one version declares. Times are on `performance.now()`. */
export interface KeyProbe {
  id: string
  version: number
  sentAtMs: number
}

export interface KeyHistory {
  probes: readonly KeyProbe[]
  runs: readonly UpstreamRun[]
  publications: readonly Publication[]
  received: readonly ReceivedHeaders[]
  /** Intervals in which the store's reads showed an older state, from a lagging replica or a restored backup. */
  staleReads: readonly TimeInterval[]
  /** All keys that any version declared. */
  keys: readonly string[]
  /** The accounts that the keys belong to. */
  accounts: readonly string[]
}

/** A revoked key works no longer than this at any box, whatever faults occur. */
export const REVOCATION_BOUND_MS = 3000

/** Checks that revoked keys are refused in time, that keys stay within the boxes, and that upstreams are told the account. Only stale reads excuse a late revocation; no other fault does. */
export function checkKeys ({ probes, runs, publications, received, staleReads, keys, accounts: declared }: KeyHistory): string[] {
  const publishedAtMsOf = new Map(publications.map(({ version, atMs }) => [version, atMs]))
  const executedIds = new Set(runs.map(({ id }) => id))
  const lateUses = probes
    .filter(({ sentAtMs }) => !staleReads.some(({ fromMs, toMs }) => fromMs <= sentAtMs && toMs >= sentAtMs - REVOCATION_BOUND_MS))
    .map(({ id, version, sentAtMs }) => ({ id, version, afterMs: sentAtMs - (publishedAtMsOf.get(version + 1) ?? Number.POSITIVE_INFINITY) }))
    .filter(({ id, afterMs }) => afterMs > REVOCATION_BOUND_MS && executedIds.has(id))
    .map(({ id, version, afterMs }) => `${id} ran with the key of version ${version}, ${Math.round(afterMs)} ms after it was revoked`)
  const leaked = received.filter(({ hasKey, text }) => hasKey || keys.some((key) => text.includes(key))).map(({ path }) => `a key reached an upstream: ${path}`)
  const wrongAccount = received.filter(({ isRequest, accounts }) => isRequest && !declared.includes(accounts.join())).map(({ path, accounts }) => `an upstream received the wrong accounts «${accounts.join()}»: ${path}`)
  return [...lateUses, ...leaked, ...wrongAccount]
}
