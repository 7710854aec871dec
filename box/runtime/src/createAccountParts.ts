import { AccessPatience, Admission } from '@reelspan/accounts.admission'
import { accountBucket, AccountMessages, type LimitTolerance } from '@reelspan/accounts.limits'
import { ConfigurationProof, ProofKeeper } from '@reelspan/accounts.proof'
import { Collection } from '@reelspan/core.messages'
import { type BucketPlan, EvenShareLimiter, HomeLimiter, LimitBook } from '@reelspan/membership.limits'
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
export function createFreshnessProof (parts: BoxParts): ConfigurationProof {
  const { clock, declarations } = parts
  return new ConfigurationProof({ clock, revision: () => declarations.revision, boundMs: maxFreshnessProofAgeMs(parts) })
}

/** Renews the freshness proof before it expires; undefined if the settings require no proof. */
export function createProofRenewer (parts: BoxParts): ProofKeeper | undefined {
  const { clock, random, proof, declarations, followers, failures, log, prober, settings, view, watcherRole } = parts
  const boundMs = maxFreshnessProofAgeMs(parts)
  if (boundMs === undefined) return undefined
  return new ProofKeeper({
    clock,
    random,
    proof,
    boundMs,
    isInUse: () => settings.accounts.required || declarations.value.accounts().length > 0,
    role: () => watcherRole.proofRole(),
    askPlatform: () => followers[Collection.Declarations].confirm(),
    askPeer: () => prober.askAnyone(view.takingWork()),
    onChange: (holds, ageMs) => {
      const fields = { holds, revision: declarations.revision, ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined }
      if (holds) log.info(LogEvent.AccountsProofChanged, fields)
      else log.warn(LogEvent.AccountsProofChanged, fields)
    },
    onTaskError: (thrown) => failures.recordTask('proofKeeper', thrown),
  })
}

/** Token buckets of the client accounts that this box coordinates. */
export function createAccountBuckets (parts: BoxParts): LimitBook {
  const { clock, view } = parts
  return new LimitBook({ clock, planOf: (account) => configOf(parts, account, reachableShare(view)) })
}

export function createLimiter (parts: BoxParts): HomeLimiter {
  const { clock, link, accountBuckets, view } = parts
  const localLimiter = new EvenShareLimiter({ clock, planOf: (account) => configOf(parts, account, singleBoxShare(view)) })
  const limiter = new HomeLimiter({ clock, link, messages: new AccountMessages(), book: accountBuckets, alone: localLimiter, members: () => view.takingWork(), self: () => view.self })
  view.onChange(() => accountBuckets.retain((account) => limiter.isHome(account)))
  return limiter
}

export function createAdmission (parts: BoxParts): Admission {
  const { clock, declarations, limiter, log, metrics, proof, settings } = parts
  const unknownKeyWaiter = new AccessPatience({ clock, changed: (signal) => declarations.waitAbove(declarations.revision, signal) })
  return new Admission({ configuration: () => declarations.value, required: settings.accounts.required, proof, limiter, patience: unknownKeyWaiter, log, metrics })
}

function configOf (parts: BoxParts, account: string, share: number): BucketPlan | undefined {
  const limit = parts.declarations.value.account(account)?.limit
  return limit && accountBucket(limit, toleranceOf(parts), share)
}

function toleranceOf ({ settings: { accounts } }: BoxParts): LimitTolerance {
  return { windowMs: accounts.limitWindowMs, overage: accounts.limitOverage, slack: accounts.limitSlack }
}
