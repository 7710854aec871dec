import { maxWindowUsage } from '@reelspan/utils.fakes'
import { type CheckedHistory } from './checkBounds.js'

/** A period in which an upstream advertised a rate limit. */
export interface LimitPeriod {
  instance: string
  /** Requests per second from all boxes together. */
  perSecond: number
  fromMs: number
  toMs: number
}

/** All boxes know a limit this long after it was first advertised. */
const SETTLE_MS = 3000
/** In any window of this length an upstream may receive what its limit allows, plus half of that, plus five requests. */
const LIMIT_ALLOWANCE = { burst: 0, windowMs: 4000, overage: 0.5, slack: 5 }

/** No upstream receives more requests than it advertises, counted over all undisrupted boxes. */
export function checkLimits (limitPeriods: readonly LimitPeriod[], { attempts, arrivals, isUndisrupted }: Pick<CheckedHistory, 'attempts' | 'arrivals' | 'isUndisrupted'>): string[] {
  const boxOf = new Map(attempts.map(({ id, box }) => [id, box]))
  return limitPeriods.flatMap(({ instance, perSecond, fromMs, toMs }) => {
    const countedArrivals = arrivals.filter(({ id, instance: at, atMs }) => {
      const box = boxOf.get(id)
      return at === instance && box !== undefined && atMs >= fromMs + SETTLE_MS && atMs <= toMs && isUndisrupted(box, [instance], { fromMs: atMs - SETTLE_MS, toMs: atMs })
    })
    const usedShare = maxWindowUsage(countedArrivals.map(({ atMs }) => ({ atMs, cost: 1 })), { perSecond, ...LIMIT_ALLOWANCE })
    return usedShare > 1 ? [`${instance} advertised a limit of ${perSecond} requests per second and received ${usedShare.toFixed(2)} times the allowance`] : []
  })
}
