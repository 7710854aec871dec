/** What becomes of a request that is not placed at once. */
export enum AdmissionOutcome {
  /** It waits, and its first token will probably be in time. */
  InTime = 'inTime',
  /** It waits, and its first token will probably be late but still of use. */
  Late = 'late',
  Refused = 'refused',
}

/** What is known of a request and its shard at one moment. */
export interface AdmissionInputs {
  /** Least time to its first token if it were placed at once; nothing when no engine takes work. */
  minTtftMs?: number
  /** Requests that go before it because they can be in time, or are more urgent. */
  aheadInTime: number
  /** Others that go before it. */
  aheadLate: number
  /** Requests that were promised a place and will come back for it before this one is late. */
  aheadDue: number
  /** From one free place to the next; 0 when nothing is known. */
  msPerPlace: number
  /** From one new request to the next; nothing when it is not known. */
  msPerArrival?: number
  /** Standard error of the rates, as a part of them. */
  rateError: number
  /** From its placement to its first token, at least. */
  handoverMs: number
  /** Until a first token is late, for a caller who counts from the first try. */
  inTimeLeftMs: number
  /** Until a first token is of no use. */
  usefulLeftMs: number
  /** It was refused before and came back when told to. */
  returned: boolean
  /** It was promised a place and came back when told to. */
  promised: boolean
  /** It has been kept waiting before this decision. */
  kept: boolean
}

export interface AdmissionDecision {
  outcome: AdmissionOutcome
  /** Expected time to the first token. Infinite when none is in sight. */
  estimateMs: number
  errorMs: number
  reason: string
}

/**
 * Whether a request is kept waiting. One that can probably be served in time is
 * kept. One that can only be served late goes behind those, and is kept if a
 * place for it is in sight even when the estimate errs. Anything else is refused,
 * in the moment in which that is known: waiting would cost its caller time for
 * nothing.
 */
export function decideAdmission (inputs: AdmissionInputs): AdmissionDecision {
  const { minTtftMs, inTimeLeftMs, usefulLeftMs, msPerPlace, rateError, handoverMs, returned, promised, kept } = inputs
  if (minTtftMs === undefined) return refuse(Number.POSITIVE_INFINITY, 0, 'no engine of the model takes work')
  if (minTtftMs > usefulLeftMs) return refuse(minTtftMs, 0, 'the first token would be late')
  const waitForMs = (slots: number, msPerSlot: number) => Math.max(minTtftMs, slots * msPerSlot + handoverMs)
  const estimateMs = waitForMs(inputs.aheadInTime + inputs.aheadDue + 1, msPerPlace)
  if (estimateMs <= inTimeLeftMs) return { outcome: AdmissionOutcome.InTime, estimateMs, errorMs: rateError * estimateMs, reason: 'a place in time is in sight' }
  // What a request has waited is lost if it is refused now, and a second refusal costs its caller as much as
  // waiting for nothing: for these, the error counts in their favour.
  const favoured = kept || returned
  const lateEstimateMs = waitForMs(inputs.aheadInTime + inputs.aheadDue + inputs.aheadLate + 1, msPerLatePlace(inputs, 0))
  const boundMs = waitForMs(inputs.aheadInTime + inputs.aheadDue + inputs.aheadLate + 1, msPerLatePlace(inputs, favoured ? rateError : -rateError))
  const errorMs = Number.isFinite(lateEstimateMs) && Number.isFinite(boundMs) ? Math.abs(boundMs - lateEstimateMs) : 0
  if (promised || boundMs <= usefulLeftMs) return { outcome: AdmissionOutcome.Late, estimateMs: lateEstimateMs, errorMs, reason: 'a place is in sight, late' }
  return refuse(lateEstimateMs, errorMs, reasonOf(inputs))
}

/**
 * From one place to the next of those that are left for late requests: newcomers
 * that can be in time take theirs before.
 *
 * @param error part by which places are taken to come faster, and newcomers more slowly, than was counted
 */
export function msPerLatePlace ({ msPerPlace, msPerArrival }: Pick<AdmissionInputs, 'msPerPlace' | 'msPerArrival'>, error: number): number {
  if (msPerPlace === 0) return 0
  const slotsPerMs = (1 + error) / msPerPlace
  const lateSlotsPerMs = msPerArrival === undefined ? slotsPerMs : slotsPerMs - (1 - error) / msPerArrival
  return lateSlotsPerMs > 0 ? 1 / lateSlotsPerMs : Number.POSITIVE_INFINITY
}

function reasonOf ({ aheadInTime, aheadLate, msPerPlace, msPerArrival }: AdmissionInputs): string {
  const arrivals = msPerArrival === undefined ? '' : `, and a request comes every ${Math.round(msPerArrival)} ms`
  return `${aheadInTime + aheadLate} requests wait before it, a place becomes free every ${Math.round(msPerPlace)} ms${arrivals}`
}

function refuse (estimateMs: number, errorMs: number, reason: string): AdmissionDecision {
  return { outcome: AdmissionOutcome.Refused, estimateMs, errorMs, reason }
}
