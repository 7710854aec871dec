import { EngineRole } from '@reelspan/upstream.client'

/** Number of engines of each role in one shard. */
export interface RoleCounts {
  [EngineRole.Prefill]: number
  [EngineRole.Decode]: number
}

/** Load of the requests of one shard on its engines. */
export interface RoleLoad {
  /** Time of a prefill engine per prompt. */
  prefillMs: number
  /** Time of a decode engine per answer: its duration times the share of the engine that it occupies. */
  decodeMs: number
  /** Time of a decode engine per prompt that it prefills itself. Undefined if decode engines do not prefill. */
  ownPrefillMs?: number
  /** Recent peak of the arrival rate, in requests per millisecond. */
  arrivalsPerMs: number
}

export interface RolePlanInputs {
  counts: RoleCounts
  /** Minimum number of engines of each role. */
  minimum: RoleCounts
  /** An engine is changing its role or executing an order. */
  changing: boolean
  /** Undefined until enough requests were observed. */
  load?: RoleLoad
  /** Time since the last role change; undefined if there was none. */
  sinceLastChangeMs?: number
}

export enum RolePlanOutcome {
  /** Too few requests were observed to estimate the load. */
  Unknown = 'unknown',
  /** Engines are changing their roles or have just done so. */
  Settling = 'settling',
  /** The present roles have capacity for a burst. */
  Sufficient = 'enough',
  /** No other split would serve significantly more. */
  Balanced = 'balanced',
  /** The capacity lost during the change exceeds the gain. */
  TooCostly = 'tooDear',
  Change = 'change',
}

export interface RolePlan {
  outcome: RolePlanOutcome
  /** The planned split, or the present one. */
  target: RoleCounts
  /** For `Change`: the role that engines leave, and how many do so now. */
  from?: EngineRole
  count: number
  /** Requests per second that the engines can serve in their present roles, and in those of the target. */
  servesPerSecond?: number
  targetServesPerSecond?: number
}

const MS_PER_SECOND = 1000
/** Bursts of twice the load are common and shorter than a change, so capacity for them is kept ready. Above about 80% utilization requests wait too long. */
const BURST_FACTOR = 2.5
/**
 * Splits that serve this share of the maximum count as equally good: the cost of a request is known to about a tenth,
 * and each change takes an engine out of service for about ten seconds, during which others may fail.
 */
const NEAR_OPTIMAL_SHARE = 0.85
/**
 * Time for which a changing engine is out of service: it finishes its work (0 to 1 s, 7 s in one of seven changes),
 * loads the model and is listed again (7.1 s from the order to the next request, in six of six changes). The value is not
 * estimated at run time: if engines take longer to load, the cost of a change is underestimated.
 */
const CHANGE_DURATION_MS = 9000
/** A change must pay off within this time, since loads stay similar for tens of seconds. */
const PAYBACK_MS = 30_000
/** Minimum time between changes, so that the effect of the last one is visible. */
const SETTLING_MS = 10_000
/** Maximum share of a pool that changes at once, to limit the harm of a wrong estimate. At least one engine may change. */
const MAX_CHANGE_SHARE = 0.25

/**
 * Plans how many engines prefill and how many decode, from the load of the requests:
 * the split in which the busier pool has the most spare capacity. Engines change only if the
 * target serves significantly more and a burst may need it. The nearest near-optimal
 * split is chosen, so that few engines change.
 */
export function planRoles (inputs: RolePlanInputs): RolePlan {
  const { counts, load, changing, sinceLastChangeMs = Number.POSITIVE_INFINITY } = inputs
  if (!load) return keepRoles(counts, RolePlanOutcome.Unknown)
  const currentRate = requestsPerMs(counts, load)
  const target = nearestGoodSplit(inputs, load)
  const rates = { servesPerSecond: MS_PER_SECOND * currentRate, targetServesPerSecond: MS_PER_SECOND * requestsPerMs(target, load) }
  if (changing || sinceLastChangeMs < SETTLING_MS) return { ...keepRoles(target, RolePlanOutcome.Settling), ...rates }
  if (target[EngineRole.Prefill] === counts[EngineRole.Prefill]) return { ...keepRoles(counts, RolePlanOutcome.Balanced), ...rates }
  if (currentRate >= BURST_FACTOR * load.arrivalsPerMs) return { ...keepRoles(target, RolePlanOutcome.Sufficient), ...rates }
  const from = target[EngineRole.Prefill] < counts[EngineRole.Prefill] ? EngineRole.Prefill : EngineRole.Decode
  const maxCount = Math.min(Math.abs(target[from] - counts[from]), Math.max(1, Math.floor(MAX_CHANGE_SHARE * counts[from])))
  const count = Array.from({ length: maxCount }, (_, i) => maxCount - i).find((candidate) => paysOff({ counts, target, from, count: candidate, load })) ?? 0
  return count > 0
    ? { outcome: RolePlanOutcome.Change, target, from, count, ...rates }
    : { ...keepRoles(target, RolePlanOutcome.TooCostly), ...rates }
}

/** Requests per millisecond that engines in these roles can serve. Prompts beyond the capacity of the prefill engines may be prefilled by decode engines. */
export function requestsPerMs ({ prefill, decode }: RoleCounts, { prefillMs, decodeMs, ownPrefillMs }: RoleLoad): number {
  const prefillRate = prefill / prefillMs
  const decodeRate = decode / decodeMs
  if (prefillRate >= decodeRate || ownPrefillMs === undefined) return Math.min(prefillRate, decodeRate)
  return (decode + prefillRate * ownPrefillMs) / (decodeMs + ownPrefillMs)
}

function keepRoles (target: RoleCounts, outcome: RolePlanOutcome): RolePlan {
  return { outcome, target, count: 0 }
}

function nearestGoodSplit ({ counts, minimum }: RolePlanInputs, load: RoleLoad): RoleCounts {
  const engines = counts.prefill + counts.decode
  const splits = Array.from({ length: engines + 1 }, (_, prefill): RoleCounts => ({ prefill, decode: engines - prefill }))
    .filter(({ prefill, decode }) => prefill >= minimum.prefill && decode >= minimum.decode)
  const maxRate = Math.max(...splits.map((split) => requestsPerMs(split, load)))
  const distance = ({ prefill }: RoleCounts) => Math.abs(prefill - counts.prefill)
  const nearOptimal = splits.filter((split) => requestsPerMs(split, load) >= NEAR_OPTIMAL_SHARE * maxRate)
  return nearOptimal.reduce<RoleCounts | undefined>((best, split) => best && distance(best) <= distance(split) ? best : split, undefined) ?? counts
}

interface RoleChange {
  counts: RoleCounts
  target: RoleCounts
  from: EngineRole
  count: number
  load: RoleLoad
}

/** Whether the gain of a change exceeds the capacity lost while its engines are out of service. */
function paysOff ({ counts, target, from, count, load }: RoleChange): boolean {
  const needed = BURST_FACTOR * load.arrivalsPerMs
  const servedRate = (split: RoleCounts) => Math.min(needed, requestsPerMs(split, load))
  const duringChange = { ...counts, [from]: counts[from] - count }
  const gain = (servedRate(target) - servedRate(counts)) * PAYBACK_MS
  const loss = (servedRate(counts) - servedRate(duringChange)) * CHANGE_DURATION_MS
  return gain > loss
}
