/** Admission decision for a request that is not placed at once. */
export enum AdmissionOutcome {
  /** The request waits, and its first token will probably be in time. */
  InTime = 'inTime',
  /** The request waits, and its first token will probably be late but still useful. */
  Late = 'late',
  Refused = 'refused',
}

/** State of a request and its shard at the time of the decision. */
export interface AdmissionInputs {
  /** Minimum time to its first token if it were placed at once; undefined if no engine takes work. */
  minTtftMs?: number
  /** Number of requests ahead of it that can be in time or have a higher priority. */
  aheadInTime: number
  /** Number of late requests ahead of it. */
  aheadLate: number
  /** Number of outstanding retries with a promised slot that are due before this request is late. */
  aheadDue: number
  /** Mean time between free slots; 0 if unknown. */
  msPerPlace: number
  /** Mean time between new requests; undefined if unknown. */
  msPerArrival?: number
  /** Relative standard error of the rates. */
  rateError: number
  /** Minimum time from the end of its prefill to its first token. */
  handoverMs: number
  /** Time left until the first token is late, counted from the caller's first attempt. */
  inTimeLeftMs: number
  /** Time left until the first token is no longer useful. */
  usefulLeftMs: number
  /** Whether it is a retry at the assigned time. */
  returned: boolean
  /** Whether it is a retry at the assigned time that was promised a slot. */
  promised: boolean
  /** Whether an earlier decision kept it waiting. */
  kept: boolean
}

export interface AdmissionDecision {
  outcome: AdmissionOutcome
  /** Expected time to the first token; infinite if no slot is expected. */
  estimateMs: number
  errorMs: number
  reason: string
}

/**
 * Decides whether a request is kept waiting. A request that can probably be served in
 * time is kept. A request that can only be served late goes behind those, and is kept
 * if a slot is expected while its answer is useful, with the estimate's error taken into
 * account. All others are refused as soon as this is known, since waiting would only cost
 * their callers time.
 */
export function decideAdmission (inputs: AdmissionInputs): AdmissionDecision {
  const { minTtftMs, inTimeLeftMs, usefulLeftMs, msPerPlace, rateError, handoverMs, returned, promised, kept } = inputs
  if (minTtftMs === undefined) return refuse(Number.POSITIVE_INFINITY, 0, 'no engine of the model takes work')
  if (minTtftMs > usefulLeftMs) return refuse(minTtftMs, 0, 'the first token would be late')
  const waitForMs = (slots: number, msPerSlot: number) => Math.max(minTtftMs, slots * msPerSlot + handoverMs)
  const estimateMs = waitForMs(inputs.aheadInTime + inputs.aheadDue + 1, msPerPlace)
  if (estimateMs <= inTimeLeftMs) return { outcome: AdmissionOutcome.InTime, estimateMs, errorMs: rateError * estimateMs, reason: 'a slot is expected in time' }
  // Refusing a request that has waited loses the time it waited, and a second refusal costs its caller as much as
  // waiting in vain: for these requests the error counts in their favour.
  const favoured = kept || returned
  const lateEstimateMs = waitForMs(inputs.aheadInTime + inputs.aheadDue + inputs.aheadLate + 1, msPerLatePlace(inputs, 0))
  const boundMs = waitForMs(inputs.aheadInTime + inputs.aheadDue + inputs.aheadLate + 1, msPerLatePlace(inputs, favoured ? rateError : -rateError))
  const errorMs = Number.isFinite(lateEstimateMs) && Number.isFinite(boundMs) ? Math.abs(boundMs - lateEstimateMs) : 0
  if (promised || boundMs <= usefulLeftMs) return { outcome: AdmissionOutcome.Late, estimateMs: lateEstimateMs, errorMs, reason: 'a slot is expected, but late' }
  return refuse(lateEstimateMs, errorMs, reasonOf(inputs))
}

/**
 * Mean time between the free slots that are left for late requests, after new requests
 * that can be in time have taken theirs.
 *
 * @param error relative correction: slots are assumed to become free faster, and new requests to arrive more slowly, than counted
 */
export function msPerLatePlace ({ msPerPlace, msPerArrival }: Pick<AdmissionInputs, 'msPerPlace' | 'msPerArrival'>, error: number): number {
  if (msPerPlace === 0) return 0
  const slotsPerMs = (1 + error) / msPerPlace
  const lateSlotsPerMs = msPerArrival === undefined ? slotsPerMs : slotsPerMs - (1 - error) / msPerArrival
  return lateSlotsPerMs > 0 ? 1 / lateSlotsPerMs : Number.POSITIVE_INFINITY
}

function reasonOf ({ aheadInTime, aheadLate, msPerPlace, msPerArrival }: AdmissionInputs): string {
  const arrivals = msPerArrival === undefined ? '' : `, and a request arrives every ${Math.round(msPerArrival)} ms`
  return `${aheadInTime + aheadLate} requests are queued ahead, a slot becomes free every ${Math.round(msPerPlace)} ms${arrivals}`
}

function refuse (estimateMs: number, errorMs: number, reason: string): AdmissionDecision {
  return { outcome: AdmissionOutcome.Refused, estimateMs, errorMs, reason }
}
