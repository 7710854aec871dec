import { type Clock, PauseDetector, TaskGroup } from '@reelspan/core.env'
import { checkResources, type DeclaredResource } from '@reelspan/config.resources'
import { type EngineReport, EngineRole, HoldKind, OrderKind } from '@reelspan/upstream.client'
import { fenceOf, FENCE_STEPS, OrderLease, type OrderScope, planOrders, type ReportedEngine } from '@reelspan/upstream.orders'
import { NodeClock, VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

const POOLS = [
  { kind: 'Pool', name: 'p', revision: 1, spec: { role: 'prefill' } },
  { kind: 'Pool', name: 'd', revision: 1, spec: { role: 'decode', minReadyEngines: 2 } },
]
const MODEL = { kind: 'Model', name: 'm', revision: 1, spec: { version: '1', prefillPool: 'p', decodePool: 'd', kvBytesPerToken: 1, prefillTokensPerSecond: 1, decodeStepBaseMs: 1, decodeStepPerRequestMs: 0 } }

function configurationWith (rollout: object | undefined, revision = 5) {
  const declared: DeclaredResource[] = [...POOLS, MODEL, ...rollout ? [{ kind: 'Rollout', name: 'r', revision, spec: { model: 'm', toVersion: '2', enginePercent: 100, ...rollout } }] : []]
  const { configuration, problems } = checkResources(declared, revision)
  if (problems.length > 0) throw new Error(JSON.stringify(problems))
  return configuration
}

function engine (name: string, over: Partial<EngineReport> = {}): ReportedEngine {
  const report: EngineReport = {
    role: EngineRole.Decode,
    loaded: [{ model: 'm', version: '1' }],
    changing: false,
    placesUsed: 0,
    placesTotal: 20,
    kvBytesUsed: 0,
    kvBytesTotal: 1,
    prefillQueueMs: 0,
    fence: 0,
    holds: [],
    ...over,
  }
  return { name, address: name, leaving: false, report }
}

function scope (engines: ReportedEngine[]): OrderScope {
  return { model: 'm', role: EngineRole.Decode, pool: configurationWith(undefined).pool('d')!, engines }
}

const HOLD = { label: { ownerAddress: 'a', ownerIncarnation: 'i', requestId: 'r', maxHoldMs: 1 }, kind: HoldKind.Decode, kvBytes: 1, tokensDone: 0 }

test('an engine is emptied before it receives an order', (t) => {
  const busy = planOrders(configurationWith({}), scope([engine('a', { holds: [HOLD] }), engine('b'), engine('c')]))
  t.deepEqual(busy.retiring, ['a'])
  t.deepEqual(busy.orders, [])
  const empty = planOrders(configurationWith({}), scope([engine('a'), engine('b'), engine('c')]))
  t.deepEqual(empty.orders, [{ engine: 'a', address: 'a', order: { kind: OrderKind.LoadModel, model: 'm', version: '2', fence: fenceOf(5, 0) } }])
})

test('the declared number of engines stays in service', (t) => {
  t.deepEqual(planOrders(configurationWith({ maxUnavailable: 3 }), scope([engine('a'), engine('b')])).retiring, [])
  t.deepEqual(planOrders(configurationWith({ maxUnavailable: 3 }), scope([engine('a'), engine('b'), engine('c')])).retiring, ['a'])
})

test('an engine that does not answer counts as out of service', (t) => {
  const unresponsive = { ...engine('a'), report: undefined }
  t.deepEqual(planOrders(configurationWith({}), scope([unresponsive, engine('b'), engine('c'), engine('d')])).retiring, [])
})

test('an engine with a wrong role is ordered to change its role first', (t) => {
  const plan = planOrders(configurationWith(undefined), scope([engine('a', { role: EngineRole.Prefill }), engine('b'), engine('c')]))
  t.deepEqual(plan.orders.map(({ order }) => order.kind), [OrderKind.ChangeRole])
})

test('fencing tokens increase with the revision and with each accepted order, and every controller computes the same', (t) => {
  t.true(fenceOf(5, 0) > fenceOf(4, 0))
  t.is(fenceOf(5, fenceOf(5, 0)), fenceOf(5, 0) + 1)
  t.is(fenceOf(5, fenceOf(4, 0)), 5 * FENCE_STEPS + 1)
})

function startPauseWatch (clock: Clock): PauseDetector {
  const pauses = new PauseDetector({ clock })
  pauses.start(new TaskGroup(clock))
  return pauses
}

test('after a pause a box waits for the lease of a possible successor to expire before it gives an order', async (t) => {
  const shared = new VirtualClock()
  const clock = new NodeClock(shared)
  const lease = new OrderLease({ clock, durationMs: 1000, lastContactMs: () => clock.nowMs(), pauses: startPauseWatch(clock) })
  lease.acquire()
  await shared.advance(2000)
  t.true(lease.isValid())
  clock.pause()
  await shared.advance(250)
  clock.resume()
  t.true(lease.isValid(), 'the pause is too short for another box to take over')
  await shared.advance(500)
  clock.pause()
  await shared.advance(1500)
  clock.resume()
  t.false(lease.isValid())
  await shared.advance(1900)
  t.false(lease.isValid())
  await shared.advance(200)
  t.true(lease.isValid())
})

test('the lease expires without contact, and a new holder waits for the previous one to expire', async (t) => {
  const shared = new VirtualClock()
  const clock = new NodeClock(shared)
  let contactMs = clock.nowMs()
  const lease = new OrderLease({ clock, durationMs: 1000, lastContactMs: () => contactMs, pauses: startPauseWatch(clock) })
  t.false(lease.isValid())
  lease.acquire()
  contactMs = clock.nowMs()
  t.false(lease.isValid(), 'the previous holder may still have the lease')
  await shared.advance(2000)
  contactMs = clock.nowMs()
  t.true(lease.isValid())
  await shared.advance(1000)
  t.false(lease.isValid())
  lease.release()
  contactMs = clock.nowMs()
  t.false(lease.isValid())
})

test('a holder whose lease has expired waits for a possible successor once it has contact again', async (t) => {
  const clock = new VirtualClock()
  let contactMs: number | undefined
  const lease = new OrderLease({ clock, durationMs: 1000, lastContactMs: () => contactMs ?? clock.nowMs(), pauses: startPauseWatch(clock) })
  lease.acquire()
  await clock.advance(2000)
  t.true(lease.isValid())
  contactMs = clock.nowMs()
  await clock.advance(1000)
  t.false(lease.isValid())
  contactMs = undefined
  await clock.advance(1900)
  t.false(lease.isValid())
  await clock.advance(100)
  t.true(lease.isValid())
})
