import { type AccountSpec, LimitUnit, type Named, type RouteSpec } from '@reelspan/config.resources'

export interface AccountWeightsOptions {
  /** The route of the shard's model. */
  route: () => RouteSpec | undefined
  /** The declared client accounts. */
  accounts: () => readonly Named<AccountSpec>[]
}

/**
 * Weights of client accounts in overload. A route that lists weights gives all others
 * the weight 1. Otherwise an account weighs as much as its limit allows, if the limit
 * counts tokens, and all others weigh the mean of those.
 */
export class AccountWeights {
  readonly #opts: AccountWeightsOptions
  #accounts: readonly Named<AccountSpec>[] = []
  #byLimit = new Map<string, number>()
  #mean = 1

  constructor (opts: AccountWeightsOptions) {
    this.#opts = opts
  }

  weightOf (client: string): number {
    const listed = this.#opts.route()?.clientWeights ?? {}
    if (Object.keys(listed).length > 0) return listed[client] ?? 1
    this.#refresh()
    return this.#byLimit.get(client) ?? this.#mean
  }

  /** The list of accounts is replaced as a whole when the configuration changes. */
  #refresh (): void {
    const accounts = this.#opts.accounts()
    if (accounts === this.#accounts) return
    this.#accounts = accounts
    this.#byLimit = new Map(accounts.flatMap(({ name, spec: { limit } }) => limit?.unit === LimitUnit.Tokens ? [[name, limit.perSecond] as const] : []))
    const weights = [...this.#byLimit.values()]
    this.#mean = weights.length > 0 ? weights.reduce((sum, weight) => sum + weight, 0) / weights.length : 1
  }
}
