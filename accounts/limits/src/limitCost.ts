import { type AccountLimit, LimitUnit } from '@reelspan/config.resources'

/** What a request counts against its account's limit, in the limit's unit. */
export function limitCost ({ unit, unsizedCost }: AccountLimit, sizeTokens?: number): number {
  return unit === LimitUnit.Tokens ? sizeTokens ?? unsizedCost : 1
}
