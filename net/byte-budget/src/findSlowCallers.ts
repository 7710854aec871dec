/** Why a caller is disconnected. */
export enum SlowCallerReason {
  /** It read nothing for the configured time. */
  ReadNothing = 'readNothing',
  /** It read nothing for some seconds, and the rest of its answer waits at the upstream. */
  UpstreamPaused = 'upstreamPaused',
  /** It read the least while the budget was short. */
  BudgetShort = 'budgetShort',
}

/** What is known of a caller that has not taken all of its answer. */
export interface CallerProgress {
  bufferedBytes: number
  /** Whether the answer's upstream is paused. */
  paused: boolean
  /** For how long the caller has taken nothing. */
  stalledMs: number
  /** What the caller takes, if it was observed for long enough. */
  bytesPerMs?: number
}

export interface FindSlowCallersOptions {
  /** Whether the budget is short. */
  short: boolean
  slowCallerMs: number
}

/** Below the time after which upstreams cut off unread answers. A caller with a small receive buffer shows progress within it; with a large one its system acknowledges in steps of a 16th of the buffer, which can take longer. */
const STALLED_MS = 3000
/**
 * 16 KB/s, far below what networks transfer. A caller that takes less, and needs this long for what is buffered, is
 * disconnected in a shortage. Faster ones keep their bytes: others need no more than one read each to proceed.
 */
const MIN_BYTES_PER_MS = 16
const MAX_DRAIN_MS = 30_000

export interface SlowCaller<C extends CallerProgress> {
  caller: C
  reason: SlowCallerReason
}

/**
 * Finds the callers to disconnect now: those that have read nothing for the configured time, and of those that
 * have read nothing or too little during a shortage one only, since it may end the shortage. That is the one that
 * needs the longest for what is buffered, and of those that read nothing the one that has the most buffered.
 */
export function findSlowCallers<C extends CallerProgress> (callers: readonly C[], { short, slowCallerMs }: FindSlowCallersOptions): SlowCaller<C>[] {
  const silent = callers.filter(({ stalledMs }) => stalledMs >= slowCallerMs)
  if (silent.length > 0) return silent.map((caller) => ({ caller, reason: SlowCallerReason.ReadNothing }))
  const slow = callers.filter((caller) => caller.stalledMs >= STALLED_MS ? (short || caller.paused) && !readsSteadily(caller) : short && isTrickling(caller))
  if (slow.length === 0) return []
  const slowest = slow.reduce((worst, caller) => isSlower(caller, worst) ? caller : worst)
  return [{ caller: slowest, reason: short ? SlowCallerReason.BudgetShort : SlowCallerReason.UpstreamPaused }]
}

/** Whether a caller that shows no progress now took its answer fast enough until recently. */
function readsSteadily ({ bytesPerMs = 0 }: CallerProgress): boolean {
  return bytesPerMs >= MIN_BYTES_PER_MS
}

function isTrickling (caller: CallerProgress): boolean {
  const { bytesPerMs = Number.POSITIVE_INFINITY } = caller
  return bytesPerMs < MIN_BYTES_PER_MS && drainMs(caller) >= MAX_DRAIN_MS
}

/** How long the caller needs for what is buffered. */
function drainMs ({ bufferedBytes, stalledMs, bytesPerMs }: CallerProgress): number {
  if (stalledMs >= STALLED_MS) return Number.POSITIVE_INFINITY
  return bytesPerMs === undefined ? 0 : bufferedBytes / bytesPerMs
}

function isSlower (caller: CallerProgress, other: CallerProgress): boolean {
  const [ms, otherMs] = [drainMs(caller), drainMs(other)]
  return ms === otherMs ? caller.bufferedBytes > other.bufferedBytes : ms > otherMs
}
