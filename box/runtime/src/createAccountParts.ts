import { UnknownKeyWaiter, Admission } from '@reelspan/accounts.admission'
import { planAccountBucket, AccountMessages, type LimitTolerance } from '@reelspan/accounts.limits'
import { FreshnessProof, ProofRenewer } from '@reelspan/accounts.proof'
import { Collection } from '@reelspan/core.messages'
import { type BucketConfig, EvenShareLimiter, CoordinatedLimiter, TokenBucketStore } from '@reelspan/membership.limits'
import { LogEvent } from '@reelspan/telemetry.log'
import { type BoxParts } from './boxParts.js'
import { reachableShare, singleBoxShare } from './limitShares.js'

/** Covers the time between the admission of a request and its start, and clock drift between two machines, which is below 0.1 %. */
const PROOF_SLACK_MS = 200

/** How old a freshness proof may be, or undefined if the settings require none. */
function maxFreshnessProofAgeMs ({ settings }: BoxParts): number | undefined {
  const { keyProofMs } = settings.accounts
  return keyProofMs === undefined ? undefined : Math.max(1, keyProofMs - PROOF_SLACK_MS)
}

/** Freshness proof of the declarations in force, required for requests with an account key. */
export function createFreshnessProof (parts: BoxParts): FreshnessProof {
  const { clock, declarations } = parts
  return new FreshnessProof({ clock, revision: () => declarations.revision, maxAgeMs: maxFreshnessProofAgeMs(parts) })
}

/** Renews the freshness proof before it expires; undefined if the settings require no proof. */
export function createProofRenewer (parts: BoxParts): ProofRenewer | undefined {
  const { clock, random, freshnessProof, declarations, followers, failures, log, prober, settings, view, watcherRole } = parts
  const maxAgeMs = maxFreshnessProofAgeMs(parts)
  if (maxAgeMs === undefined) return undefined
  return new ProofRenewer({
    clock,
    random,
    proof: freshnessProof,
    maxAgeMs,
    isInUse: () => settings.accounts.required || declarations.value.accounts().length > 0,
    role: () => watcherRole.proofRole(),
    askPlatform: () => followers[Collection.Declarations].confirm(),
    askPeer: () => prober.contactAny(view.takingWork()),
    onChange: (holds, ageMs) => {
      const fields = { holds, revision: declarations.revision, ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined }
      if (holds) log.info(LogEvent.AccountsProofChanged, fields)
      else log.warn(LogEvent.AccountsProofChanged, fields)
    },
    onTaskError: (thrown) => failures.recordTask('proofKeeper', thrown),
  })
}

/** Token buckets of the client accounts that this box coordinates. */
export function createAccountBuckets (parts: BoxParts): TokenBucketStore {
  const { clock, view } = parts
  return new TokenBucketStore({ clock, configOf: (account) => configOf(parts, account, reachableShare(view)) })
}

export function createLimiter (parts: BoxParts): CoordinatedLimiter {
  const { clock, link, accountBuckets, view } = parts
  const localLimiter = new EvenShareLimiter({ clock, configOf: (account) => configOf(parts, account, singleBoxShare(view)) })
  const limiter = new CoordinatedLimiter({ clock, link, messages: new AccountMessages(), buckets: accountBuckets, local: localLimiter, members: () => view.takingWork(), self: () => view.self })
  view.onChange(() => accountBuckets.retain((account) => limiter.isCoordinator(account)))
  return limiter
}

export function createAdmission (parts: BoxParts): Admission {
  const { clock, declarations, limiter, log, metrics, freshnessProof, settings } = parts
  const unknownKeyWaiter = new UnknownKeyWaiter({ clock, changed: (signal) => declarations.waitAbove(declarations.revision, signal) })
  return new Admission({ configuration: () => declarations.value, required: settings.accounts.required, proof: freshnessProof, limiter, unknownKeyWaiter, log, metrics })
}

function configOf (parts: BoxParts, account: string, share: number): BucketConfig | undefined {
  const limit = parts.declarations.value.account(account)?.limit
  return limit && planAccountBucket(limit, toleranceOf(parts), share)
}

function toleranceOf ({ settings: { accounts } }: BoxParts): LimitTolerance {
  return { windowMs: accounts.limitWindowMs, overage: accounts.limitOverage, slack: accounts.limitSlack }
}
