import { Access, decideAccess } from '@reelspan/accounts.keys'
import { limitCost } from '@reelspan/accounts.limits'
import { type ConfigurationProof } from '@reelspan/accounts.proof'
import { type AccountSpec, type Configuration, type Named } from '@reelspan/config.resources'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { type SharedLimiter } from '@reelspan/membership.limits'
import { type Log, LogEvent } from '@reelspan/telemetry.log'
import { type Metrics } from '@reelspan/telemetry.metrics'
import { type AccessPatience } from './accessPatience.js'

export interface AdmissionOptions {
  configuration: () => Configuration
  /** Requests need a key also while no account is declared. */
  required: boolean
  proof: ConfigurationProof
  limiter: SharedLimiter
  /** Waits for news of a key that is not known here. */
  patience: AccessPatience
  log: Log
  metrics: Metrics
}

/** A request that is to be taken in. */
export interface AdmissionRequest {
  /** Names the request in the log. */
  id: string
  /** Its route takes requests without a key. */
  open: boolean
  /** Of the key that it brought, if any. */
  keyDigest?: string
  /** Tokens of its prompt and the most of its answer, where it declares them. */
  sizeTokens?: number
}

/** A request that was taken in. */
export interface Admitted {
  /** Whose it is; nobody's without. */
  account?: string
  /** Goes before that of the route. */
  urgency?: number
  /** The request has not run and will not: its account may use what it took for another one. */
  giveBack: () => void
}

/** What ways in need of it. */
export type BoxAdmission = Pick<Admission, 'admit' | 'usesAccounts' | 'isProved'>

/** A box without proof is usually cut off; callers do better to ask another one at once, and this one is proved again within about a second of its return. */
const UNPROVED_RETRY_AFTER_MS = 1000
const NOBODYS: Admitted = { giveBack: () => {} }

/** Takes requests in for the accounts that they belong to, before anything else is spent on them. */
export class Admission {
  readonly #opts: AdmissionOptions

  constructor (opts: AdmissionOptions) {
    this.#opts = opts
  }

  /** Whether requests' keys are accounts' keys here, or may be as far as this box knows. */
  get usesAccounts (): boolean {
    const { required, configuration } = this.#opts
    const { revision } = configuration()
    return required || revision === 0 || configuration().accounts().length > 0
  }

  /** Whether requests with accounts' keys can be taken in, as far as proof goes. */
  get isProved (): boolean {
    return !this.usesAccounts || this.#opts.proof.holds()
  }

  /**
   * Takes a request in. Throws `ERR_REELSPAN_ACCOUNT_KEY` when it needs a key and has none that counts,
   * `ERR_REELSPAN_ACCOUNTS_UNPROVED` when this box cannot tell, `ERR_REELSPAN_ACCOUNT_LIMIT` when its account has asked too much.
   */
  async admit (request: AdmissionRequest): Promise<Admitted> {
    const decide = () => this.#decide(request)
    const first = decide()
    const decision = first.access === Access.KeyUnknown ? await this.#opts.patience.untilDecided(decide, first) : first
    switch (decision.access) {
      case Access.Anonymous: return NOBODYS
      case Access.Granted: return this.#takeCost(request, decision.account as Named<AccountSpec>)
      case Access.Unproved: throw this.#refused(request, 'unproved', new ReelspanError(ErrorCode.AccountsUnproved, 'this box cannot prove that it knows of all keys that were taken away', { retryAfterMs: UNPROVED_RETRY_AFTER_MS }))
      case Access.KeyMissing: throw this.#refused(request, 'keyMissing', new ReelspanError(ErrorCode.AccountKey, 'the request needs the key of a client account'))
      case Access.KeyUnknown: throw this.#refused(request, 'keyUnknown', new ReelspanError(ErrorCode.AccountKey, 'no client account has this key'))
    }
  }

  #decide ({ open, keyDigest }: AdmissionRequest) {
    const { configuration, required, proof } = this.#opts
    return decideAccess({ configuration: configuration(), required, open, keyDigest, proved: proof.holds() })
  }

  async #takeCost (request: AdmissionRequest, { name, spec: { urgency, limit } }: Named<AccountSpec>): Promise<Admitted> {
    const { limiter, metrics } = this.#opts
    metrics.count('reelspan_account_requests_total', { account: name })
    if (!limit) return { account: name, urgency, giveBack: NOBODYS.giveBack }
    const taken = { name, cost: limitCost(limit, request.sizeTokens) }
    const waitMs = await limiter.take(taken)
    if (waitMs === 0) return { account: name, urgency, giveBack: () => limiter.giveBack(taken) }
    throw this.#refused(request, 'limit', new ReelspanError(ErrorCode.AccountLimit, `account «${name}» has asked more than it may`, { retryAfterMs: Math.ceil(waitMs) }), { account: name, cost: taken.cost })
  }

  #refused ({ id }: AdmissionRequest, why: string, error: ReelspanError, fields: { account?: string, cost?: number } = {}): ReelspanError {
    const { log, metrics, configuration, proof } = this.#opts
    metrics.count('reelspan_account_refusals_total', { why, account: fields.account ?? '' })
    log.info(LogEvent.AccountRefused, {
      request: id,
      why,
      revision: configuration().revision,
      proofAgeMs: Number.isFinite(proof.ageMs) ? Math.round(proof.ageMs) : undefined,
      retryAfterMs: error.retryAfterMs,
      ...fields,
    })
    return error
  }
}
