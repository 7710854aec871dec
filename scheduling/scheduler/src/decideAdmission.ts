import { RateForecast, type SlotForecast, type SlotRates } from './slotForecast.js'

/** Admission decision for a request that is not placed at once. */
export enum AdmissionOutcome {
  /** The request waits, and its first token will probably be in time. */
  InTime = 'inTime',
  /** The request waits, and its first token will probably be late but still useful. */
  Late = 'late',
  Refused = 'refused',
}

/** State of a request and its shard at the time of the decision. */
export interface AdmissionInputs extends SlotRates {
  /** Minimum time to its first token if it were placed at once; undefined if no engine takes work. */
  minTtftMs?: number
  /** Number of requests ahead of it that can be in time or have a higher priority. */
  aheadInTime: number
  /** Number of late requests ahead of it. */
  aheadLate: number
  /** Number of outstanding retries with a promised slot that are due before this request is late. */
  aheadDue: number
  /** Slots after which its client's share of them covers this request, whatever others request; omitted if others are not limited by shares. */
  slotsUntilOwn?: number
  /** Relative standard error of the rates. */
  rateError: number
  /** When slots become free; from the rates if omitted. */
  forecast?: SlotForecast
  /** Relative correction of the forecast for new requests, from what was forecast and observed before. */
  newcomerError?: number
  /** Minimum time from a free slot to its first token that the forecast does not include. */
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
  /** Time until the slot that the request would get if it went before late ones; infinite if none is expected. */
  slotMs?: number
  /** Time until the slot that it would get as a late one, if that was evaluated. */
  lateSlotMs?: number
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
  const { minTtftMs, inTimeLeftMs, usefulLeftMs, rateError, handoverMs, returned, promised, kept } = inputs
  const forecast = inputs.forecast ?? new RateForecast(inputs)
  if (minTtftMs === undefined) return refuse(Number.POSITIVE_INFINITY, 0, 'no engine of the model takes work')
  if (minTtftMs > usefulLeftMs) return refuse(minTtftMs, 0, 'the first token would be late')
  const firstTokenMs = (slotMs: number) => Math.max(minTtftMs, slotMs + handoverMs)
  // Refusing a request that has waited loses the time it waited, and a second refusal costs its caller as much as
  // waiting in vain: for these requests the error counts in their favour.
  const favoured = kept || returned
  const aheadFirst = inputs.aheadInTime + inputs.aheadDue
  const slotMs = forecast.slotMs(aheadFirst + 1, favoured ? 0 : inputs.newcomerError)
  const estimateMs = firstTokenMs(slotMs)
  if (estimateMs <= inTimeLeftMs) return { outcome: AdmissionOutcome.InTime, estimateMs, errorMs: rateError * estimateMs, slotMs, reason: 'a slot is expected in time' }
  // Requests that this one does not wait for, such as those of clients over their shares, are not in this rate.
  const msPerArrival = inputs.msPerArrival ?? Number.POSITIVE_INFINITY
  const lateSlot = (error: number) => lateSlotOfShareMs(forecast, { slots: aheadFirst + inputs.aheadLate + 1, slotsUntilOwn: inputs.slotsUntilOwn, msPerArrival, error })
  const lateSlotMs = lateSlot(0)
  const lateEstimateMs = firstTokenMs(lateSlotMs)
  const boundMs = firstTokenMs(lateSlot(favoured ? rateError : -rateError))
  const errorMs = Number.isFinite(lateEstimateMs) && Number.isFinite(boundMs) ? Math.abs(boundMs - lateEstimateMs) : 0
  if (promised || boundMs <= usefulLeftMs) return { outcome: AdmissionOutcome.Late, estimateMs: lateEstimateMs, errorMs, slotMs, lateSlotMs, reason: 'a slot is expected, but late' }
  return { ...refuse(lateEstimateMs, errorMs, reasonOf(inputs, lateSlotMs)), slotMs, lateSlotMs }
}

/** Time until the slot of a late request. New requests that can be in time go before it, those of other clients within their shares only. */
function lateSlotOfShareMs (forecast: SlotForecast, { slots, slotsUntilOwn, msPerArrival, error }: { slots: number, slotsUntilOwn?: number, msPerArrival: number, error: number }): number {
  const lateSlotMs = forecast.lateSlotMs(slots, error, msPerArrival)
  return slotsUntilOwn === undefined ? lateSlotMs : Math.min(lateSlotMs, forecast.slotMs(Math.max(slots, slotsUntilOwn), error))
}

function reasonOf ({ aheadInTime, aheadLate, msPerPlace, msPerArrival, forecast }: AdmissionInputs, lateSlotMs: number): string {
  const ahead = `${aheadInTime + aheadLate} requests are queued ahead`
  if (forecast) return `${ahead}, and ${Number.isFinite(lateSlotMs) ? `a slot is expected in ${Math.round(lateSlotMs)} ms` : 'new requests take the slots that become free'}`
  const arrivals = msPerArrival === undefined ? '' : `, and a request arrives every ${Math.round(msPerArrival)} ms`
  return `${ahead}, a slot becomes free every ${Math.round(msPerPlace)} ms${arrivals}`
}

function refuse (estimateMs: number, errorMs: number, reason: string): AdmissionDecision {
  return { outcome: AdmissionOutcome.Refused, estimateMs, errorMs, reason }
}
