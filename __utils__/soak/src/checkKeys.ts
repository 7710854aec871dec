import { type ReceivedHead, type UpstreamRun } from '@reelspan/utils.platform-stand-ins'
import { type Publication } from './checkBounds.js'
import { type Stall } from './stallWatch.js'

/** A call with the key of one version. Times are on `performance.now()`. */
export interface KeyProbe {
  id: string
  version: number
  sentAtMs: number
}

export interface KeyHistory {
  probes: readonly KeyProbe[]
  runs: readonly UpstreamRun[]
  publications: readonly Publication[]
  received: readonly ReceivedHead[]
  /** When the store's reads showed what had stood before: from a replica that lags, or from a copy that it came back from. */
  staleReads: readonly Stall[]
  /** All keys that were ever declared. */
  keys: readonly string[]
  /** The account that has them. */
  account: string
}

/** A key that was taken away works no longer than this, at any box, whatever happens to it. */
export const REVOKE_MS = 3000

/** What did not hold of keys. No harm excuses any of it, but for reads that are not true. */
export function checkKeys ({ probes, runs, publications, received, staleReads, keys, account }: KeyHistory): string[] {
  const publishedAtMs = new Map(publications.map(({ version, atMs }) => [version, atMs]))
  const ran = new Set(runs.map(({ id }) => id))
  const late = probes
    .filter(({ sentAtMs }) => !staleReads.some(({ fromMs, toMs }) => fromMs <= sentAtMs && toMs >= sentAtMs - REVOKE_MS))
    .map(({ id, version, sentAtMs }) => ({ id, version, afterMs: sentAtMs - (publishedAtMs.get(version + 1) ?? Number.POSITIVE_INFINITY) }))
    .filter(({ id, afterMs }) => afterMs > REVOKE_MS && ran.has(id))
    .map(({ id, version, afterMs }) => `${id} ran with the key of version ${version}, ${Math.round(afterMs)} ms after it was taken away`)
  const passedOn = received.filter(({ hasKey, text }) => hasKey || keys.some((key) => text.includes(key))).map(({ path }) => `a key reached an upstream: ${path}`)
  const withoutAccount = received.filter(({ isRequest, accounts }) => isRequest && accounts.join() !== account).map(({ path, accounts }) => `an upstream was told the accounts «${accounts.join()}»: ${path}`)
  return [...late, ...passedOn, ...withoutAccount]
}
