import { fullestWindow } from '@reelspan/utils.fakes'
import { type BoundedHistory } from './checkBounds.js'

/** A time for which an upstream named a limit. */
export interface Naming {
  instance: string
  /** Requests a second from all boxes together. */
  perSecond: number
  fromMs: number
  toMs: number
}

/** Boxes have heard of a limit this long after it was first named. */
const CONTACT_MS = 3000
/** What an upstream may get in any such time, by its limit: half as much again, and five more. */
const RULE = { burst: 0, windowMs: 4000, overage: 0.5, slack: 5 }

/** No upstream gets more than it names, summed over the boxes that were unharmed. */
export function checkLimits (namings: readonly Naming[], { attempts, arrivals, isUnharmed }: Pick<BoundedHistory, 'attempts' | 'arrivals' | 'isUnharmed'>): string[] {
  const boxOf = new Map(attempts.map(({ id, box }) => [id, box]))
  return namings.flatMap(({ instance, perSecond, fromMs, toMs }) => {
    const counted = arrivals.filter(({ id, instance: at, atMs }) => {
      const box = boxOf.get(id)
      return at === instance && box !== undefined && atMs >= fromMs + CONTACT_MS && atMs <= toMs && isUnharmed(box, [instance], { fromMs: atMs - CONTACT_MS, toMs: atMs })
    })
    const fullest = fullestWindow(counted.map(({ atMs }) => ({ atMs, cost: 1 })), { perSecond, ...RULE })
    return fullest > 1 ? [`${instance} named a limit of ${perSecond} a second and got ${fullest.toFixed(2)} times what that allows`] : []
  })
}
