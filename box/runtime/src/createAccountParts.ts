import { UnknownKeyWaiter, Admission } from '@reelspan/accounts.admission'
import { planAccountBucket, planOwnShareBucket, planStandInBucket, AccountMessages, type LimitTolerance } from '@reelspan/accounts.limits'
import { FreshnessProof, ProofRenewer } from '@reelspan/accounts.proof'
import { type AccountLimit } from '@reelspan/config.resources'
import { Collection, type MessageOf, MessageType, type PeerMessage } from '@reelspan/core.messages'
import { type BucketConfig, ExpectedBoxes, StandInLimiter, TokenBucketStore, UNDECIDED_WAIT_MS } from '@reelspan/membership.limits'
import { LogEvent } from '@reelspan/telemetry.log'
import { type BoxParts, listedBoxes } from './boxParts.js'
import { coordinatorShare, ownShare } from './limitShares.js'

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

/** Tells a box that has just started from a small fleet. */
export function createExpectedBoxes (parts: BoxParts): ExpectedBoxes {
  const { clock, settings, view } = parts
  const expectedBoxes = new ExpectedBoxes({ startedAtMs: clock.nowMs(), selfAddress: view.self.peerAddress, list: () => listedBoxes(parts), members: () => view.all(), silentGoneMs: settings.membership.silentGoneMs })
  view.onChange(() => expectedBoxes.observeMembers(clock.nowMs()))
  return expectedBoxes
}

/** Token buckets of the client accounts that this box coordinates. Their levels are kept for a window, so that a coordinator that changes back and forth starts anew once. */
export function createAccountBuckets (parts: BoxParts): TokenBucketStore {
  const { clock, settings } = parts
  return new TokenBucketStore({ clock, configOf: (account) => configOf(parts, account, (limit, tolerance) => planAccountBucket(limit, tolerance, coordinatorShare(parts))), keepUnusedMs: settings.accounts.limitWindowMs })
}

/** Allowances of the client accounts for which this box stands in. */
export function createStandInBuckets (parts: BoxParts): TokenBucketStore {
  return new TokenBucketStore({ clock: parts.clock, configOf: (account) => configOf(parts, account, planStandInBucket) })
}

export function createLimiter (parts: BoxParts): StandInLimiter {
  const { clock, expectedBoxes, link, accountBuckets, standInBuckets, view } = parts
  const local = new TokenBucketStore({ clock, configOf: (account) => configOf(parts, account, (limit, tolerance) => planOwnShareBucket(limit, tolerance, ownShare(parts))) })
  const limiter = new StandInLimiter({
    clock,
    link,
    messages: new AccountMessages(),
    buckets: accountBuckets,
    standInBuckets,
    local,
    coordinatorShare: () => coordinatorShare(parts),
    localShare: () => ownShare(parts),
    members: () => view.takingWork(),
    self: () => view.self,
    listedAddresses: () => listedBoxes(parts).addresses,
    isSettled: () => expectedBoxes.isSettled(clock.nowMs()),
  })
  view.onChange(() => accountBuckets.retain((account) => limiter.isCoordinator(account)))
  return limiter
}

/** Answers a box that asks this one as coordinator or stand-in of an account. */
export function acquireAccountCost (parts: Pick<BoxParts, 'accountBuckets' | 'clock' | 'expectedBoxes' | 'limiter'>, { account: name, cost, standIn }: MessageOf<MessageType.AccountTake>): PeerMessage {
  const waitMs = standIn ? parts.limiter.decideAsStandIn({ name, cost }) : parts.accountBuckets.acquire(name, cost)
  return { type: MessageType.AccountTaken, waitMs: Number.isFinite(waitMs) ? waitMs : UNDECIDED_WAIT_MS, share: standIn ? undefined : coordinatorShare(parts) }
}

export function releaseAccountCost ({ accountBuckets, standInBuckets }: Pick<BoxParts, 'accountBuckets' | 'standInBuckets'>, { account, cost, standIn }: MessageOf<MessageType.AccountGiveBack>): void {
  (standIn ? standInBuckets : accountBuckets).release(account, cost)
}

export function createAdmission (parts: BoxParts): Admission {
  const { clock, declarations, limiter, log, metrics, freshnessProof, settings } = parts
  const unknownKeyWaiter = new UnknownKeyWaiter({ clock, changed: (signal) => declarations.waitAbove(declarations.revision, signal) })
  return new Admission({ configuration: () => declarations.value, required: settings.accounts.required, proof: freshnessProof, limiter, unknownKeyWaiter, log, metrics })
}

function configOf (parts: BoxParts, account: string, plan: (limit: AccountLimit, tolerance: LimitTolerance) => BucketConfig): BucketConfig | undefined {
  const limit = parts.declarations.value.account(account)?.limit
  return limit && plan(limit, toleranceOf(parts))
}

function toleranceOf ({ settings: { accounts } }: BoxParts): LimitTolerance {
  return { windowMs: accounts.limitWindowMs, overage: accounts.limitOverage, slack: accounts.limitSlack }
}
