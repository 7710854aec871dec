import { type FakeFleet, type KeepingCaller } from '@reelspan/utils.fake-fleet'
import { fullestWindow, type LimitRule, type RelayedArrival } from '@reelspan/utils.fakes'
import { PROPAGATION_MS, HOST } from './crashingRequests.js'

const MS_PER_SECOND = 1000

/** What an upstream that names a limit may get in any 4 s, as the users' pages say. */
export function ruleOf (perSecond: number): LimitRule {
  return { perSecond, burst: 0, windowMs: 4000, overage: 0.5, slack: 5 }
}

/** Upstreams name these limits from now on, and the others none. */
export function advertiseLimits ({ relayed }: FakeFleet, limits: Readonly<Record<string, number>>): void {
  relayed.signalsOf = (upstream) => {
    const perSecond = limits[upstream]
    return perSecond === undefined ? {} : { rateLimit: { perSecond, text: String(perSecond) } }
  }
}

export interface LoadOptions {
  target: string
  perSecond: number
  seconds: number
  /** Names the requests. */
  name?: string
  /** Boxes that callers use; all that live without. */
  boxes?: readonly string[]
}

/** What became of a request. */
export interface Outcome {
  caller: KeepingCaller
  heldMs: number
}

/** Requests at random moments and boxes. Resolves with what became of them, once all have ended. */
export async function load (fleet: FakeFleet, { target, perSecond, seconds, name = 'load', boxes }: LoadOptions): Promise<Outcome[]> {
  const { clock, random } = fleet
  const endMs = clock.nowMs() + seconds * MS_PER_SECOND
  const outcomes: Promise<Outcome>[] = []
  for (let i = 0; clock.nowMs() < endMs; i++) {
    const [box] = random.sample(boxes ?? fleet.liveBoxes().map((live) => live.name), 1)
    const prompt = target.startsWith('/status') || target.startsWith('/once') ? { prompt: undefined } : {}
    const sentAtMs = clock.nowMs()
    const relayed = fleet.relay(box, { id: `${name}-${i}`, host: HOST, target: `${target}${name}-${i}`, ...prompt })
    outcomes.push(relayed.then((caller) => ({ caller, heldMs: clock.nowMs() - sentAtMs })))
    await clock.advance(-Math.log(1 - random.nextFloat()) * MS_PER_SECOND / perSecond)
  }
  return clock.run(Promise.all(outcomes))
}

/** What reached an upstream from a moment on. */
export function arrivalsAt ({ relayed }: FakeFleet, upstream: string, sinceMs: number): RelayedArrival[] {
  return relayed.arrivals.filter((arrival) => arrival.upstream === upstream && arrival.atMs >= sinceMs)
}

/** A limit that an upstream named once and for all. */
export interface AdvertisedLimit {
  perSecond: number
  advertisedAtMs: number
  /** Addresses of boxes that the users do not count, since they were cut off, frozen or restarted. */
  excused?: readonly string[]
}

/**
 * The most that an upstream got in any 4 s, as a part of what it may get there, from when boxes can have
 * known its limit. Above 1 the rule is broken.
 */
export function peakUsageAt (fleet: FakeFleet, upstream: string, { perSecond, advertisedAtMs, excused = [] }: AdvertisedLimit): number {
  const counted = arrivalsAt(fleet, upstream, advertisedAtMs + PROPAGATION_MS).filter(({ from }) => !excused.includes(from))
  const runs = counted.map(({ atMs }) => ({ atMs, cost: 1 }))
  return fullestWindow(runs, ruleOf(perSecond))
}
