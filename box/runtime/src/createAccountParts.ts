import { AccessPatience, Admission } from '@reelspan/accounts.admission'
import { accountBucket, AccountMessages, type LimitTolerance } from '@reelspan/accounts.limits'
import { ConfigurationProof, ProofKeeper } from '@reelspan/accounts.proof'
import { Collection } from '@reelspan/core.messages'
import { type BucketPlan, EvenShareLimiter, HomeLimiter, LimitBook } from '@reelspan/membership.limits'
import { LogEvent } from '@reelspan/telemetry.log'
import { type BoxParts } from './boxParts.js'
import { sideShare, singleShare } from './limitShares.js'

/** Clocks of two machines run apart by less than a thousandth; this is what may pass between the decision on a request and its start, and more. */
const PROOF_SLACK_MS = 200

/** How long a proof serves, if one is asked for. */
function proofBoundMs ({ settings }: BoxParts): number | undefined {
  const { keyProofMs } = settings.accounts
  return keyProofMs === undefined ? undefined : Math.max(1, keyProofMs - PROOF_SLACK_MS)
}

/** Proof that the declarations in force here are new enough for keyed requests. */
export function createProof (parts: BoxParts): ConfigurationProof {
  const { clock, declarations } = parts
  return new ConfigurationProof({ clock, revision: () => declarations.revision, boundMs: proofBoundMs(parts) })
}

/** What keeps the proof young; nothing where none is asked for. */
export function createProofKeeper (parts: BoxParts): ProofKeeper | undefined {
  const { clock, random, proof, declarations, followers, failures, log, prober, settings, view, watcherRole } = parts
  const boundMs = proofBoundMs(parts)
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
    onTaskError: (thrown) => failures.noteTask('proofKeeper', thrown),
  })
}

/** The buckets of client accounts whose home is this box. */
export function createLimitBook (parts: BoxParts): LimitBook {
  const { clock, view } = parts
  return new LimitBook({ clock, planOf: (account) => planOf(parts, account, sideShare(view)) })
}

export function createLimiter (parts: BoxParts): HomeLimiter {
  const { clock, link, limitBook, view } = parts
  const alone = new EvenShareLimiter({ clock, planOf: (account) => planOf(parts, account, singleShare(view)) })
  const limiter = new HomeLimiter({ clock, link, messages: new AccountMessages(), book: limitBook, alone, members: () => view.takingWork(), self: () => view.self })
  view.onChange(() => limitBook.retain((account) => limiter.isHome(account)))
  return limiter
}

export function createAdmission (parts: BoxParts): Admission {
  const { clock, declarations, limiter, log, metrics, proof, settings } = parts
  const patience = new AccessPatience({ clock, changed: (signal) => declarations.waitAbove(declarations.revision, signal) })
  return new Admission({ configuration: () => declarations.value, required: settings.accounts.required, proof, limiter, patience, log, metrics })
}

function planOf (parts: BoxParts, account: string, share: number): BucketPlan | undefined {
  const limit = parts.declarations.value.account(account)?.limit
  return limit && accountBucket(limit, toleranceOf(parts), share)
}

function toleranceOf ({ settings: { accounts } }: BoxParts): LimitTolerance {
  return { windowMs: accounts.limitWindowMs, overage: accounts.limitOverage, slack: accounts.limitSlack }
}
