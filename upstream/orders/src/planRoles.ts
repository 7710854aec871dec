import { EngineRole } from '@reelspan/upstream.client'

/** Engines of each role in one shard. */
export interface RoleCounts {
  [EngineRole.Prefill]: number
  [EngineRole.Decode]: number
}

/** What the requests of one shard take of its engines. */
export interface RoleLoad {
  /** Time of a prefill engine that one prompt takes. */
  prefillMs: number
  /** Time of a decode engine that one answer takes: how long it lasts, times the part of the engine that it fills. */
  decodeMs: number
  /** Time of a decode engine that one prompt takes which it reads itself. Nothing where engines do not. */
  ownPrefillMs?: number
  /** New requests a millisecond, at the busiest of the last while. */
  arrivalsPerMs: number
}

export interface RolePlanInputs {
  counts: RoleCounts
  /** The fewest engines of each role. */
  least: RoleCounts
  /** Some engine is on its way from one role to the other, or carries out an order. */
  changing: boolean
  /** Nothing until enough requests were seen. */
  load?: RoleLoad
  /** Since the last engine was told another role; nothing when none was. */
  sinceLastChangeMs?: number
}

export enum RolePlanOutcome {
  /** Too little is known of the load. */
  Unknown = 'unknown',
  /** Engines are changing, or have just changed. */
  Settling = 'settling',
  /** The engines would bear a burst as they are. */
  Enough = 'enough',
  /** No other share would serve notably more. */
  Balanced = 'balanced',
  /** What the change would cost while it goes on is more than it would gain. */
  TooDear = 'tooDear',
  Change = 'change',
}

export interface RolePlan {
  outcome: RolePlanOutcome
  /** The share that serves most, or the present one. */
  target: RoleCounts
  /** With `Change`: which role engines give up, and how many do so now. */
  from?: EngineRole
  count: number
  /** Requests a second that the engines can serve in their present roles, and in those of the target. */
  servesPerSecond?: number
  targetServesPerSecond?: number
}

const MS_PER_SECOND = 1000
/** Bursts of twice the load are usual and shorter than a change, so engines are made ready before one comes; from some 80% of use on, requests wait too long. */
const BURST_FACTOR = 2.5
/**
 * Shares that serve this part of the most are as good as the best: what a request takes is known to
 * about a tenth, and each change costs an engine for some ten seconds, in which others may go.
 */
const NEAR_BEST = 0.85
/**
 * An engine that changes is away for about this long: it ends its work (in 0 to 1 s, in one of seven changes in 7 s),
 * loads and is listed anew (7.1 s from its order to its next request, in six of six changes). Not learnt: where engines
 * load for longer, a change costs more than is thought here.
 */
const CHANGE_MS = 9000
/** A change must pay within this time; loads stay alike for some tens of seconds. */
const REPAY_MS = 30_000
/** So long after a change the next one is considered: what the last one brought must show first. */
const SETTLE_MS = 10_000
/** Part of a pool that changes at once, so that a wrong estimate harms little. At least one engine does. */
const AT_ONCE_SHARE = 0.25

/**
 * How many engines should read prompts and how many should decode, by what
 * requests take of them: the share at which the busier pool has most to spare.
 * An engine changes only when that serves notably more and the load may come to
 * need it. The nearest good share is taken, so that few engines change.
 */
export function planRoles (inputs: RolePlanInputs): RolePlan {
  const { counts, load, changing, sinceLastChangeMs = Number.POSITIVE_INFINITY } = inputs
  if (!load) return stay(counts, RolePlanOutcome.Unknown)
  const served = requestsPerMs(counts, load)
  const target = nearestGoodShare(inputs, load)
  const rates = { servesPerSecond: MS_PER_SECOND * served, targetServesPerSecond: MS_PER_SECOND * requestsPerMs(target, load) }
  if (changing || sinceLastChangeMs < SETTLE_MS) return { ...stay(target, RolePlanOutcome.Settling), ...rates }
  if (target[EngineRole.Prefill] === counts[EngineRole.Prefill]) return { ...stay(counts, RolePlanOutcome.Balanced), ...rates }
  if (served >= BURST_FACTOR * load.arrivalsPerMs) return { ...stay(target, RolePlanOutcome.Enough), ...rates }
  const from = target[EngineRole.Prefill] < counts[EngineRole.Prefill] ? EngineRole.Prefill : EngineRole.Decode
  const most = Math.min(Math.abs(target[from] - counts[from]), Math.max(1, Math.floor(AT_ONCE_SHARE * counts[from])))
  const count = Array.from({ length: most }, (_, i) => most - i).find((some) => pays({ counts, target, from, count: some, load })) ?? 0
  return count > 0
    ? { outcome: RolePlanOutcome.Change, target, from, count, ...rates }
    : { ...stay(target, RolePlanOutcome.TooDear), ...rates }
}

/** Requests a millisecond that engines in these roles can serve. What the prefill engines cannot read, decode engines may read themselves. */
export function requestsPerMs ({ prefill, decode }: RoleCounts, { prefillMs, decodeMs, ownPrefillMs }: RoleLoad): number {
  const read = prefill / prefillMs
  const decoded = decode / decodeMs
  if (read >= decoded || ownPrefillMs === undefined) return Math.min(read, decoded)
  return (decode + read * ownPrefillMs) / (decodeMs + ownPrefillMs)
}

function stay (target: RoleCounts, outcome: RolePlanOutcome): RolePlan {
  return { outcome, target, count: 0 }
}

function nearestGoodShare ({ counts, least }: RolePlanInputs, load: RoleLoad): RoleCounts {
  const engines = counts.prefill + counts.decode
  const shares = Array.from({ length: engines + 1 }, (_, prefill): RoleCounts => ({ prefill, decode: engines - prefill }))
    .filter(({ prefill, decode }) => prefill >= least.prefill && decode >= least.decode)
  const most = Math.max(...shares.map((share) => requestsPerMs(share, load)))
  const distance = ({ prefill }: RoleCounts) => Math.abs(prefill - counts.prefill)
  const good = shares.filter((share) => requestsPerMs(share, load) >= NEAR_BEST * most)
  return good.reduce<RoleCounts | undefined>((best, share) => best && distance(best) <= distance(share) ? best : share, undefined) ?? counts
}

interface Change {
  counts: RoleCounts
  target: RoleCounts
  from: EngineRole
  count: number
  load: RoleLoad
}

/** Whether what a change brings is more than what is not served while its engines are away. */
function pays ({ counts, target, from, count, load }: Change): boolean {
  const needed = BURST_FACTOR * load.arrivalsPerMs
  const served = (share: RoleCounts) => Math.min(needed, requestsPerMs(share, load))
  const meanwhile = { ...counts, [from]: counts[from] - count }
  const gain = (served(target) - served(counts)) * REPAY_MS
  const loss = (served(counts) - served(meanwhile)) * CHANGE_MS
  return gain > loss
}
