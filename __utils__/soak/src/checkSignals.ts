import { type UpstreamArrival } from '@reelspan/utils.platform-stand-ins'
import { type BoundedHistory, type BoundedVerdict } from './checkBounds.js'
import { groupBy } from './groupBy.js'

/** A time in which an upstream refuses everything, and asks each box that it refuses to wait. */
export interface Refusing {
  instance: string
  waitMs: number
  fromMs: number
  toMs: number
}

/** An instance that advertises draining in each response from some moment on. */
export interface Draining {
  instance: string
  fromMs: number
}

export interface SignalledHistory extends Pick<BoundedHistory, 'attempts' | 'arrivals' | 'isUnharmed'> {
  draining: readonly Draining[]
  refusing: readonly Refusing[]
}

/** A box that has passed on a response may use what it says from now on. */
const DRAIN_MS = 2000
const CROSSING_MS = 500
const MAX_IN_BACKOFF = 2
const OK = 200

type Found = (string | undefined)[]

/** Judges what boxes make of what upstreams advertise. It shares no code with the product. */
export function checkSignals (history: SignalledHistory): BoundedVerdict {
  const checks = { draining: checkDraining(history), backoff: checkBackoff(history) }
  return {
    violations: Object.values(checks).flatMap((found) => found.filter((problem) => problem !== undefined)),
    judged: Object.fromEntries(Object.entries(checks).map(([name, found]) => [name, found.length])),
  }
}

/** What a client sends later than the bound after its box passed on a response of a draining upstream does not reach that one. */
function checkDraining ({ attempts, arrivals, draining, isUnharmed }: SignalledHistory): Found {
  const attemptOf = new Map(attempts.map((attempt) => [attempt.id, attempt]))
  // Only who had the last word of an attempt is known to have been passed on.
  const lastArrivals = new Map(arrivals.map((arrival) => [arrival.id, arrival]))
  return draining.flatMap(({ instance, fromMs }) => {
    const there = arrivals.filter((arrival) => arrival.instance === instance).flatMap((arrival) => {
      const attempt = attemptOf.get(arrival.id)
      const passedOnAtMs = attempt?.status === OK && arrival.atMs >= fromMs && lastArrivals.get(arrival.id) === arrival ? attempt.endedAtMs : undefined
      return attempt ? [{ ...attempt, atMs: arrival.atMs, passedOnAtMs }] : []
    })
    const boxes = [...groupBy(there, ({ box }) => box)]
    return boxes.flatMap(([box, those]) => {
      const toldAtMs = Math.min(...those.map(({ passedOnAtMs }) => passedOnAtMs ?? Number.POSITIVE_INFINITY))
      if (!isUnharmed(box, [], { fromMs: toldAtMs, toMs: toldAtMs + DRAIN_MS })) return []
      const late = those.filter(({ sentAtMs, atMs }) => sentAtMs > toldAtMs + DRAIN_MS && isUnharmed(box, [], { fromMs: toldAtMs, toMs: atMs }))
      const problems = late.map(({ id, sentAtMs }) => `${id} reached ${instance} from ${box}, sent ${Math.round(sentAtMs - toldAtMs)} ms after a response had said that it is draining`)
      return [...problems, ...Number.isFinite(toldAtMs) ? [undefined] : []]
    })
  })
}

/** An upstream that asked a box to wait gets hardly anything of it until then. */
function checkBackoff ({ attempts, arrivals, refusing, isUnharmed }: SignalledHistory): Found {
  const boxOf = new Map(attempts.map(({ id, box }) => [id, box]))
  return refusing.flatMap(({ instance, waitMs, fromMs, toMs }) => {
    const there = arrivals.filter((arrival) => arrival.instance === instance)
    const refused = there.filter(({ atMs }) => atMs >= fromMs && atMs < toMs)
    return refused.flatMap(({ id, atMs }) => {
      const box = boxOf.get(id)
      if (box === undefined || !isUnharmed(box, [instance], { fromMs: atMs, toMs: atMs + waitMs })) return []
      const isWithin = (other: UpstreamArrival) => boxOf.get(other.id) === box && other.atMs > atMs + CROSSING_MS && other.atMs < atMs + waitMs
      const got = there.filter(isWithin).length
      return [got > MAX_IN_BACKOFF ? `${instance} asked ${box} to wait for ${waitMs} ms and got ${got} requests of it meanwhile` : undefined]
    })
  })
}
