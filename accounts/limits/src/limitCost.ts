import { type AccountLimit, LimitUnit } from '@reelspan/config.resources'

/** Cost of a request against its account's limit, in the unit of the limit. */
export function limitCost ({ unit, unsizedCost }: AccountLimit, sizeTokens?: number): number {
  return unit === LimitUnit.Tokens ? sizeTokens ?? unsizedCost : 1
}
