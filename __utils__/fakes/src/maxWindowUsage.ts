/** A request that ran, with its cost against the limit. */
export interface CountedRun {
  atMs: number
  cost: number
}

export interface LimitRule {
  perSecond: number
  burst: number
  windowMs: number
  /** Share by which a window may exceed rate and burst. */
  overage: number
  /** Absolute amount by which a window may exceed that. */
  slack: number
}

const MS_PER_SECOND = 1000

/** Highest cost of any window of the rule's length, as a share of the allowed cost. The rule is broken above 1. */
export function maxWindowUsage (runs: readonly CountedRun[], { perSecond, burst, windowMs, overage, slack }: LimitRule): number {
  const allowed = (perSecond * windowMs / MS_PER_SECOND + burst) * (1 + overage) + slack
  const sorted = [...runs].sort((a, b) => a.atMs - b.atMs)
  let oldest = 0
  let sum = 0
  const sums = sorted.map(({ atMs, cost }) => {
    sum += cost
    while (sorted[oldest].atMs <= atMs - windowMs) sum -= sorted[oldest++].cost
    return sum
  })
  return Math.max(0, ...sums) / allowed
}
