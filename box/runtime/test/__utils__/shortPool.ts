import { keyDigest } from '@reelspan/accounts.keys'
import { UpstreamKind } from '@reelspan/config.fleet'
import { ResourceKind } from '@reelspan/config.resources'
import { FakeFleet } from '@reelspan/utils.fake-fleet'
import { type PublishedEntry, sampleDeclarations, SeededRandom, SlottedUpstream } from '@reelspan/utils.fakes'

const HOST = 'scripts.example'
export const POOL = 'script-desk'
export const DEADLINE_MS = 1000
const MS_PER_SECOND = 1000
const SLOTS = 6
const QUEUE = 24
const WORK_MS = 60
/** Durations of calls vary by this share in both directions. */
const WORK_VARIATION = 0.2
export const DESKS = ['desk-1', 'desk-2', 'desk-3', 'desk-4']
/** Calls that four upstreams of 6 slots serve. */
export const CAPACITY_PER_SECOND = DESKS.length * SLOTS * MS_PER_SECOND / WORK_MS
export const ACCOUNTS = ['bulk', 'one', 'two', 'three', 'four']
/** Two thirds of the load come from the first account. */
export const UNEVEN = [8, 1, 1, 1, 1]
/** The share of its time that a caller waits for a retry. */
const HONOURED_SHARE = 1 / 3
const SETTINGS = {
  accounts: { required: true, keyProofMs: 5000 },
  platform: { watchWaitMs: 2000, longestBackoffMs: 700, watchersPerAvailabilityZone: 4, backstopPollMs: 40_000 },
  membership: { probePeriodMs: 700, probeTimeoutMs: 300 },
  relay: { retriesPerRequest: 0.14, retryBurst: 40 },
}

export interface ShortPoolOptions {
  boxCount: number
  seed?: number
  targetMs?: number
  /** Durations of an upstream's calls, as a multiple of the usual ones. */
  slowness?: (desk: string) => number
}

/** A fleet with four service upstreams of 6 slots and a queue of 24, and five client accounts. */
export async function startFleet ({ boxCount, seed = 1, targetMs = 145, slowness = () => 1 }: ShortPoolOptions): Promise<FakeFleet> {
  const zone = (i: number) => ['hall-a', 'hall-b', 'hall-c'][i % 3]
  const deployment = {
    boxes: Array.from({ length: boxCount }, (_, i) => ({ name: `box-${i + 1}`, availabilityZone: zone(i) })),
    upstreams: DESKS.map((name, i) => ({ name, kind: UpstreamKind.Service, pool: POOL, availabilityZone: zone(i) })),
  }
  const route: PublishedEntry = { kind: ResourceKind.Route, name: 'once', spec: { host: HOST, pathPrefix: '/once/', targets: [{ pool: POOL }], notRepeatable: true, maxAttempts: 2, deadlineMs: DEADLINE_MS, ttftTargetMs: targetMs } }
  const accounts = ACCOUNTS.map((name): PublishedEntry => ({ kind: ResourceKind.Account, name, spec: { keyDigests: [keyDigest(name)] } }))
  const fleet = new FakeFleet({ seed, deployment, settings: SETTINGS, declarations: [...sampleDeclarations(), route, ...accounts] })
  const random = new SeededRandom(seed)
  DESKS.forEach((name) => {
    const workMs = () => slowness(name) * WORK_MS * (1 + WORK_VARIATION * (2 * random.nextFloat() - 1))
    fleet.relayedUpstreams.slotted.set(name, new SlottedUpstream({ clock: fleet.clock, slots: SLOTS, queueLength: QUEUE, workMs }))
  })
  return fleet.start()
}

export interface PoolLoad {
  perSecond: number
  seconds: number
  /** Relative load of each account. */
  weights?: readonly number[]
  /** Target of all requests; each has its own if omitted. */
  target?: string
}

/** A request with all its attempts. */
export interface PoolRequestOutcome {
  account: string
  sentAtMs: number
  served: boolean
  /** Whether the first attempt was served. */
  atOnce: boolean
  durationMs: number
  attempts: number
}

let nextId = 0

/** Sends requests at random times to random boxes. Callers honour retry delays of up to a third of their remaining time. */
export async function load (fleet: FakeFleet, { perSecond, seconds, weights = ACCOUNTS.map(() => 1), target }: PoolLoad): Promise<PoolRequestOutcome[]> {
  const { clock, random } = fleet
  const endMs = clock.nowMs() + seconds * MS_PER_SECOND
  const accounts = ACCOUNTS.flatMap((name, i) => Array.from({ length: weights[i] }, () => name))
  const outcomes: Promise<PoolRequestOutcome>[] = []
  while (clock.nowMs() < endMs) {
    outcomes.push(request(fleet, accounts[random.nextInt(accounts.length)], target))
    await clock.advance(-Math.log(1 - random.nextFloat()) * MS_PER_SECOND / perSecond)
  }
  return clock.run(Promise.all(outcomes))
}

async function request (fleet: FakeFleet, account: string, target?: string): Promise<PoolRequestOutcome> {
  const { clock, random } = fleet
  const sentAtMs = clock.nowMs()
  for (let attempts = 1; ; attempts++) {
    const boxes = fleet.liveBoxes()
    const { name } = boxes[random.nextInt(boxes.length)]
    const remainingMs = sentAtMs + DEADLINE_MS - clock.nowMs()
    const caller = await fleet.relay(name, { id: `r-${nextId++}`, host: HOST, target: target ?? `/once/${sentAtMs}`, prompt: undefined, keyDigest: keyDigest(account) }, remainingMs)
    const durationMs = clock.nowMs() - sentAtMs
    const retryAfterMs = caller.refused?.retryAfterMs
    if (caller.complete || retryAfterMs === undefined || retryAfterMs > HONOURED_SHARE * (DEADLINE_MS - durationMs)) return { account, sentAtMs, served: caller.complete, atOnce: caller.complete && attempts === 1, durationMs, attempts }
    await clock.sleep(retryAfterMs)
  }
}

/** Share of the requests for which a condition holds. */
export function shareOf (outcomes: readonly PoolRequestOutcome[], condition: (outcome: PoolRequestOutcome) => boolean): number {
  return outcomes.filter(condition).length / outcomes.length
}

/** Figures of some requests: shares served, served at the first attempt, and in time. */
export function figuresOf (outcomes: readonly PoolRequestOutcome[], targetMs = 145) {
  const round = (share: number) => Number(share.toFixed(3))
  return {
    count: outcomes.length,
    served: round(shareOf(outcomes, ({ served }) => served)),
    atOnce: round(shareOf(outcomes, ({ atOnce }) => atOnce)),
    inTime: round(shareOf(outcomes, ({ served, durationMs }) => served && durationMs <= targetMs)),
    perServed: Math.round(outcomes.filter(({ served }) => served).reduce((sum, { durationMs }) => sum + durationMs, 0) / outcomes.filter(({ served }) => served).length),
  }
}
