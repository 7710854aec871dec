import { UpstreamKind } from '@reelspan/config.fleet'
import { ResourceKind } from '@reelspan/config.resources'
import { FakeFleet, type FakeRelayCaller } from '@reelspan/utils.fake-fleet'
import { type DeployedBox, sampleDeclarations, type DeployedUpstream } from '@reelspan/utils.fakes'

export const HOST = 'drafts.example'
/** Settings of the production platform. */
const SETTINGS = {
  platform: { watchWaitMs: 2000, longestBackoffMs: 700, watchersPerAvailabilityZone: 4, backstopPollMs: 40_000 },
  membership: { probePeriodMs: 700, probeTimeoutMs: 300 },
  relay: { retriesPerRequest: 0.14, retryBurst: 40 },
}
const ZONES = ['hall-a', 'hall-b', 'hall-c']
export const PREFILL_ENGINES = numberedNames('prefill', 4)
export const DECODE_ENGINES = numberedNames('decode', 14)
export const SERVICES = numberedNames('desk', 5)
/** All boxes must know of an event after this time. */
export const PROPAGATION_MS = 3000
/** Attempts that may still reach upstreams after that. */
export const MAX_LATE_ATTEMPTS = 3

const ROUTES = [
  { kind: ResourceKind.Route, name: 'draft', spec: { host: HOST, pathPrefix: '/draft/', targets: [{ model: 'draft' }], streaming: true, notRepeatable: true, maxAttempts: 1, deadlineMs: 14_000, ttftTargetMs: 900, tbtTargetMs: 300 } },
  { kind: ResourceKind.Route, name: 'reply', spec: { host: HOST, pathPrefix: '/reply/', targets: [{ model: 'draft' }], streaming: true, resumable: true, maxAttempts: 2, deadlineMs: 14_000, ttftTargetMs: 900, tbtTargetMs: 300 } },
  { kind: ResourceKind.Route, name: 'once', spec: { host: HOST, pathPrefix: '/once/', targets: [{ pool: 'script-desk' }], notRepeatable: true, maxAttempts: 1, deadlineMs: 2500, ttftTargetMs: 900 } },
  { kind: ResourceKind.Route, name: 'status', spec: { host: HOST, pathPrefix: '/status/', targets: [{ pool: 'script-desk' }], maxAttempts: 2, deadlineMs: 2500, ttftTargetMs: 900 } },
]

function numberedNames (kind: string, count: number): string[] {
  return Array.from({ length: count }, (_, i) => `${kind}-${i + 1}`)
}

function deploymentOf (boxCount: number): { boxes: DeployedBox[], upstreams: DeployedUpstream[] } {
  const zone = (i: number) => ZONES[i % ZONES.length]
  const upstreamsOf = (names: readonly string[], kind: UpstreamKind, pool: string) => names.map((name, i): DeployedUpstream => ({ name, kind, pool, availabilityZone: zone(i) }))
  return {
    boxes: Array.from({ length: boxCount }, (_, i) => ({ name: `box-${i + 1}`, availabilityZone: zone(i) })),
    upstreams: [
      ...upstreamsOf(PREFILL_ENGINES, UpstreamKind.Engine, 'draft-prefill'),
      ...upstreamsOf(DECODE_ENGINES, UpstreamKind.Engine, 'draft-decode'),
      ...upstreamsOf(SERVICES, UpstreamKind.Service, 'script-desk'),
    ],
  }
}

/** @param slots slots of each decode engine */
function declarationsOf (slots?: number) {
  return sampleDeclarations().map((declared) => slots !== undefined && declared.name === 'draft-decode' ? { ...declared, spec: { ...declared.spec as object, placesPerEngine: slots } } : declared)
}

export interface StartFleetOptions {
  seed?: number
  boxCount?: number
  restartDelayMs?: number
  slots?: number
  /** How long the route of resumable streams holds a request. */
  heldMs?: number
}

/**
 * Starts a fleet with routes for a resumable stream, a stream that is not resumable, a call that is not repeatable and a
 * repeatable call. Targets that contain `ends` crash the upstreams that run them.
 */
export async function startFleet ({ seed = 1, boxCount = 8, restartDelayMs, slots, heldMs }: StartFleetOptions = {}): Promise<FakeFleet> {
  const routes = ROUTES.map((route) => heldMs !== undefined && route.name === 'reply' ? { ...route, spec: { ...route.spec, deadlineMs: heldMs } } : route)
  const fleet = new FakeFleet({ seed, restartDelayMs, deployment: deploymentOf(boxCount), declarations: [...declarationsOf(slots), ...routes], settings: SETTINGS })
  fleet.relayedUpstreams.crashesUpstream = ({ target }) => target.includes('ends')
  await fleet.start()
  await fleet.clock.advance(2000)
  return fleet
}

export interface RepeatRequestOptions {
  target: string
  times: number
  everyMs: number
  callerAddress?: string
  /** Boxes that the caller may use; by default all live ones. */
  boxes?: readonly string[]
}

/** Repeats a request from one caller, each time under a new id and at a random box. */
export async function repeatRequest (fleet: FakeFleet, { target, times, everyMs, callerAddress = '10.9.0.1', boxes }: RepeatRequestOptions): Promise<FakeRelayCaller[]> {
  const callers: FakeRelayCaller[] = []
  for (let i = 0; i < times; i++) {
    const names = boxes ?? fleet.liveBoxes().map(({ name }) => name)
    const [box] = fleet.random.sample(names, 1)
    void fleet.relay(box, { id: `${target}#${callerAddress}#${i}`, host: HOST, target, callerAddress }).then((caller) => callers.push(caller))
    await fleet.clock.advance(everyMs)
  }
  return callers
}

/** Ids of the attempts that reached upstreams although all boxes must have known that the target had crashed three of them. */
export function lateAttempts ({ relayedUpstreams }: FakeFleet, target: string): string[] {
  const third = relayedUpstreams.crashes.filter((ended) => ended.target === target)[2]
  if (!third) return []
  const late = relayedUpstreams.arrivals.filter((arrival) => arrival.target === target && arrival.sentAtMs > third.atMs + PROPAGATION_MS)
  return [...new Set(late.map(({ id }) => id))]
}
