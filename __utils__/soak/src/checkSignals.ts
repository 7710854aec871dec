import { type UpstreamArrival } from '@reelspan/utils.platform-stand-ins'
import { type CheckedHistory, type SoakCheckResult } from './checkBounds.js'
import { groupBy } from './groupBy.js'

/** A period in which an upstream refuses all requests and asks boxes to wait. */
export interface RefusalPeriod {
  instance: string
  waitMs: number
  fromMs: number
  toMs: number
}

/** An upstream instance that advertises draining in its responses from this time on. */
export interface DrainingStart {
  instance: string
  fromMs: number
}

export interface SignalHistory extends Pick<CheckedHistory, 'attempts' | 'arrivals' | 'isUndisrupted'> {
  draining: readonly DrainingStart[]
  refusals: readonly RefusalPeriod[]
}

/** A box sends nothing to a draining upstream this long after it forwarded a response that advertises draining. */
const DRAIN_BOUND_MS = 2000
/** Requests that arrive this soon after a refusal may have been sent before it. */
const IN_FLIGHT_MS = 500
const MAX_IN_BACKOFF = 2
const OK = 200

type Findings = (string | undefined)[]

/** Checks that boxes respect the draining and backoff that upstreams advertise. Shares no code with the product. */
export function checkSignals (history: SignalHistory): SoakCheckResult {
  const checks = { draining: checkDraining(history), backoff: checkBackoff(history) }
  return {
    violations: Object.values(checks).flatMap((findings) => findings.filter((violation) => violation !== undefined)),
    checkCounts: Object.fromEntries(Object.entries(checks).map(([name, findings]) => [name, findings.length])),
  }
}

/** A request does not reach a draining upstream if it is sent later than the bound after its box forwarded a response that advertises draining. */
function checkDraining ({ attempts, arrivals, draining, isUndisrupted }: SignalHistory): Findings {
  const attemptOf = new Map(attempts.map((attempt) => [attempt.id, attempt]))
  // Of several upstreams that an attempt reached, only the last one's response is known to have been forwarded.
  const lastArrivals = new Map(arrivals.map((arrival) => [arrival.id, arrival]))
  return draining.flatMap(({ instance, fromMs }) => {
    const instanceAttempts = arrivals.filter((arrival) => arrival.instance === instance).flatMap((arrival) => {
      const attempt = attemptOf.get(arrival.id)
      const forwardedAtMs = attempt?.status === OK && arrival.atMs >= fromMs && lastArrivals.get(arrival.id) === arrival ? attempt.endedAtMs : undefined
      return attempt ? [{ ...attempt, atMs: arrival.atMs, forwardedAtMs }] : []
    })
    const attemptsByBox = [...groupBy(instanceAttempts, ({ box }) => box)]
    return attemptsByBox.flatMap(([box, boxAttempts]) => {
      const notifiedAtMs = Math.min(...boxAttempts.map(({ forwardedAtMs }) => forwardedAtMs ?? Number.POSITIVE_INFINITY))
      if (!isUndisrupted(box, [], { fromMs: notifiedAtMs, toMs: notifiedAtMs + DRAIN_BOUND_MS })) return []
      const lateAttempts = boxAttempts.filter(({ sentAtMs, atMs }) => sentAtMs > notifiedAtMs + DRAIN_BOUND_MS && isUndisrupted(box, [], { fromMs: notifiedAtMs, toMs: atMs }))
      const violations = lateAttempts.map(({ id, sentAtMs }) => `${id} reached ${instance} from ${box}, sent ${Math.round(sentAtMs - notifiedAtMs)} ms after a response had advertised draining`)
      return [...violations, ...Number.isFinite(notifiedAtMs) ? [undefined] : []]
    })
  })
}

/** An upstream that asked a box to wait receives at most a few requests of it during that time. */
function checkBackoff ({ attempts, arrivals, refusals, isUndisrupted }: SignalHistory): Findings {
  const boxOf = new Map(attempts.map(({ id, box }) => [id, box]))
  return refusals.flatMap(({ instance, waitMs, fromMs, toMs }) => {
    const instanceArrivals = arrivals.filter((arrival) => arrival.instance === instance)
    const refused = instanceArrivals.filter(({ atMs }) => atMs >= fromMs && atMs < toMs)
    return refused.flatMap(({ id, atMs }) => {
      const box = boxOf.get(id)
      if (box === undefined || !isUndisrupted(box, [instance], { fromMs: atMs, toMs: atMs + waitMs })) return []
      const isDuringBackoff = (other: UpstreamArrival) => boxOf.get(other.id) === box && other.atMs > atMs + IN_FLIGHT_MS && other.atMs < atMs + waitMs
      const requestCount = instanceArrivals.filter(isDuringBackoff).length
      return [requestCount > MAX_IN_BACKOFF ? `${instance} asked ${box} to wait for ${waitMs} ms but received ${requestCount} requests of it meanwhile` : undefined]
    })
  })
}
