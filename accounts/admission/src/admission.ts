import { Access, decideAccess } from '@reelspan/accounts.keys'
import { limitCost } from '@reelspan/accounts.limits'
import { type FreshnessProof } from '@reelspan/accounts.proof'
import { type AccountSpec, type Configuration, type Named } from '@reelspan/config.resources'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { type LimitDecision, type StandInLimiter } from '@reelspan/membership.limits'
import { type Log, LogEvent } from '@reelspan/telemetry.log'
import { type Metrics } from '@reelspan/telemetry.metrics'
import { type UnknownKeyWaiter } from './unknownKeyWaiter.js'

export interface AdmissionOptions {
  configuration: () => Configuration
  /** Requests need a key even if no account is declared. */
  required: boolean
  proof: FreshnessProof
  limiter: Pick<StandInLimiter, 'decide' | 'release'>
  /** Waits for an update that declares an unknown key. */
  unknownKeyWaiter: UnknownKeyWaiter
  log: Log
  metrics: Metrics
}

/** A request to be admitted. */
export interface AdmissionRequest {
  /** ID of the request in the log. */
  id: string
  /** The route accepts requests without a key. */
  open: boolean
  /** Digest of the key that was sent, if any. */
  keyDigest?: string
  /** Declared tokens of the prompt plus the maximum of the answer, if any. */
  sizeTokens?: number
}

/** An admitted request. */
export interface Admitted {
  /** The account of the request; undefined if it is anonymous. */
  account?: string
  /** Overrides the urgency of the route. */
  urgency?: number
  /** Returns the cost to the account. Called when the request has not run and will not run. */
  releaseCost: () => void
}

/** The part of `Admission` that listeners need. */
export type BoxAdmission = Pick<Admission, 'admit' | 'usesAccounts' | 'hasFreshProof'>

/** What the log says of a refusal, where it is known. */
interface RefusalFields {
  account?: string
  cost?: number
  decidedBy?: LimitDecision['decider']
  /** Share of the limit with which it was decided. */
  limitShare?: number
}

/** A box without a fresh proof is usually partitioned. Callers should try another box at once; this one has a proof again within about a second after it reconnects. */
const STALE_RETRY_AFTER_MS = 1000
const ANONYMOUS: Admitted = { releaseCost: () => {} }

/** Admits requests for the accounts that they belong to, before any other resources are spent on them. */
export class Admission {
  readonly #opts: AdmissionOptions

  constructor (opts: AdmissionOptions) {
    this.#opts = opts
  }

  /** Whether keys of requests are account keys, or may be as far as this box knows. */
  get usesAccounts (): boolean {
    const { required, configuration } = this.#opts
    const { revision } = configuration()
    return required || revision === 0 || configuration().accounts().length > 0
  }

  /** Whether the configuration is fresh enough to admit requests with account keys. */
  get hasFreshProof (): boolean {
    return !this.usesAccounts || this.#opts.proof.isFresh()
  }

  /**
   * Admits a request. Throws `ERR_REELSPAN_ACCOUNT_KEY` if it needs a key and has no valid one,
   * `ERR_REELSPAN_ACCOUNTS_UNPROVED` if this box cannot validate keys, and `ERR_REELSPAN_ACCOUNT_LIMIT` if the account
   * exceeds its limit.
   */
  async admit (request: AdmissionRequest): Promise<Admitted> {
    const decide = () => this.#decide(request)
    const first = decide()
    const decision = first.access === Access.KeyUnknown ? await this.#opts.unknownKeyWaiter.waitForDecision(decide, first) : first
    switch (decision.access) {
      case Access.Anonymous: return ANONYMOUS
      case Access.Granted: return this.#acquireCost(request, decision.account as Named<AccountSpec>)
      case Access.Unproved: throw this.#recordRefusal(request, 'unproved', new ReelspanError(ErrorCode.AccountsUnproved, 'this box has no recent proof that it knows of all revoked keys', { retryAfterMs: STALE_RETRY_AFTER_MS }))
      case Access.KeyMissing: throw this.#recordRefusal(request, 'keyMissing', new ReelspanError(ErrorCode.AccountKey, 'the request needs the key of a client account'))
      case Access.KeyUnknown: throw this.#recordRefusal(request, 'keyUnknown', new ReelspanError(ErrorCode.AccountKey, 'no client account has this key'))
    }
  }

  #decide ({ open, keyDigest }: AdmissionRequest) {
    const { configuration, required, proof } = this.#opts
    return decideAccess({ configuration: configuration(), required, open, keyDigest, hasFreshProof: proof.isFresh() })
  }

  async #acquireCost (request: AdmissionRequest, { name, spec: { urgency, limit } }: Named<AccountSpec>): Promise<Admitted> {
    const { limiter, metrics } = this.#opts
    metrics.count('reelspan_account_requests_total', { account: name })
    if (!limit) return { account: name, urgency, releaseCost: ANONYMOUS.releaseCost }
    const limitedCost = { name, cost: limitCost(limit, request.sizeTokens) }
    const decision = await limiter.decide(limitedCost)
    const { waitMs } = decision
    metrics.count('reelspan_account_decisions_total', { by: decision.decider, outcome: waitMs === 0 ? 'granted' : 'refused' })
    if (waitMs === 0) return { account: name, urgency, releaseCost: () => limiter.release(limitedCost) }
    throw this.#recordRefusal(request, 'limit', new ReelspanError(ErrorCode.AccountLimit, `account «${name}» exceeds its limit`, { retryAfterMs: Math.ceil(waitMs) }), { account: name, cost: limitedCost.cost, decidedBy: decision.decider, limitShare: decision.share })
  }

  #recordRefusal ({ id }: AdmissionRequest, reason: string, error: ReelspanError, fields: RefusalFields = {}): ReelspanError {
    const { log, metrics, configuration, proof } = this.#opts
    metrics.count('reelspan_account_refusals_total', { why: reason, account: fields.account ?? '' })
    log.info(LogEvent.AccountRefused, {
      request: id,
      why: reason,
      revision: configuration().revision,
      proofAgeMs: Number.isFinite(proof.ageMs) ? Math.round(proof.ageMs) : undefined,
      retryAfterMs: error.retryAfterMs,
      ...fields,
    })
    return error
  }
}
