import { orderedRevisionOf } from '@reelspan/config.store'
import { PauseDetector, TaskGroup } from '@reelspan/core.env'
import { type CacheEventPage, type DecodeEvent, EngineClient, type EngineOrder, type EngineReport, EngineRole, type PrefillResult, UpstreamError } from '@reelspan/upstream.client'
import { type BalancedEngine, OrderOutcome, OrderLease, RoleBalancer, type RoleLoad, RolePlanOutcome, uniqueFenceOf } from '@reelspan/upstream.orders'
import { NodeClock, VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

const LOAD: RoleLoad = { prefillMs: 100, decodeMs: 320, arrivalsPerMs: 0.007 }
const LEAST = { prefill: 1, decode: 1 }

/** Records orders, and fails them if `failure` is set. */
class RecordingEngineClient extends EngineClient {
  readonly orders: EngineOrder[] = []
  failure?: UpstreamError

  async order (_address: string, order: EngineOrder): Promise<void> {
    this.orders.push(order)
    if (this.failure) throw this.failure
  }

  async prefill (): Promise<PrefillResult> { throw new Error('not asked here') }
  async * decode (): AsyncGenerator<DecodeEvent> { throw new Error('not asked here') }
  async release (): Promise<void> {}
  async report (): Promise<EngineReport> { throw new Error('not asked here') }
  async cacheEvents (): Promise<CacheEventPage> { throw new Error('not asked here') }
}

function engineOf (name: string, role: EngineRole, over: Partial<BalancedEngine> = {}): BalancedEngine {
  const report: EngineReport = { role, loaded: [], changing: false, placesUsed: 0, placesTotal: 1, kvBytesUsed: 0, kvBytesTotal: 1, prefillQueueMs: 0, fence: 0, ordersTaken: 4, holds: [] }
  return { name, address: `${name}:1`, availabilityZone: 'a', leaving: false, reservations: 0, report, ...over }
}

function fleetOf (prefill: string[], decode: string[]) {
  return {
    prefill: prefill.map((name) => engineOf(name, EngineRole.Prefill)),
    decode: decode.map((name) => engineOf(name, EngineRole.Decode)),
  }
}

/** Creates a balancer whose lease is already valid. */
async function createBalancer () {
  const shared = new VirtualClock()
  const clock = new NodeClock(shared)
  const contact = { lost: false }
  const pauses = new PauseDetector({ clock })
  pauses.start(new TaskGroup(clock))
  const lease = new OrderLease({ clock, durationMs: 1000, lastContactMs: () => contact.lost ? 0 : clock.nowMs(), pauses })
  lease.acquire()
  await shared.advance(10_000)
  const engines = new RecordingEngineClient()
  const outcomes: OrderOutcome[] = []
  const balancer = new RoleBalancer({ clock, engines, lease, holder: 'box-1', listRevision: () => 7, orderTimeoutMs: 1000, onOrder: (_order, outcome) => outcomes.push(outcome) })
  const pass = async (fleet: ReturnType<typeof fleetOf>, load: RoleLoad | null = LOAD) => {
    await shared.run(balancer.reconcile(fleet, LEAST, load ?? undefined))
    await shared.advance(1000)
  }
  return { balancer, engines, outcomes, pass, contact, clock: shared }
}

const THREE = fleetOf(['p1', 'p2', 'p3'], ['d1', 'd2', 'd3'])

test('an engine is ordered to change its role once the engine counts are steady, with its count of orders and a token of this holder', async (t) => {
  const { engines, pass, outcomes } = await createBalancer()
  await pass(THREE)
  t.deepEqual(engines.orders, [])
  await pass(THREE)
  t.is(engines.orders.length, 1)
  const [order] = engines.orders
  t.like(order, { role: EngineRole.Decode, holder: 'box-1', ordersTaken: 4, fence: uniqueFenceOf(7, 4, 'box-1') })
  t.true(['p1', 'p2', 'p3'].includes(order.instance ?? ''))
  t.deepEqual(outcomes, [OrderOutcome.Accepted])
})

test('no engine is ordered to change its role while engines come and go', async (t) => {
  const { engines, pass } = await createBalancer()
  const more = fleetOf(['p1', 'p2', 'p3', 'p4'], ['d1', 'd2', 'd3'])
  for (let i = 0; i < 6; i++) await pass(i % 2 === 0 ? THREE : more)
  t.deepEqual(engines.orders, [])
})

test('if the engine counts have been steady, engines change as soon as the load is known', async (t) => {
  const { engines, pass } = await createBalancer()
  for (let i = 0; i < 3; i++) await pass(THREE, null)
  await pass(THREE)
  t.is(engines.orders.length, 1)
})

test('a chosen engine gets no new work, and receives its order once it is empty', async (t) => {
  const { balancer, engines, pass } = await createBalancer()
  const busy = { ...THREE, prefill: THREE.prefill.map((engine) => ({ ...engine, reservations: 1 })) }
  await pass(busy)
  await pass(busy)
  const moving = THREE.prefill.filter(({ name }) => balancer.isChangingRole(name))
  t.is(moving.length, 1)
  t.deepEqual(engines.orders, [])
  await pass(THREE)
  t.deepEqual(engines.orders.map(({ instance }) => instance), [moving[0].name])
})

test('an engine receives its order only once, however long the change takes', async (t) => {
  const { balancer, engines, pass } = await createBalancer()
  for (let i = 0; i < 20; i++) await pass(THREE)
  t.is(engines.orders.length, 1)
  t.is(balancer.plan?.outcome, RolePlanOutcome.Settling)
})

test('an engine that is listed in its new role gets work', async (t) => {
  const { balancer, engines, pass } = await createBalancer()
  await pass(THREE)
  await pass(THREE)
  const moved = engines.orders[0].instance as string
  const left = ['p1', 'p2', 'p3'].filter((name) => name !== moved)
  const after = fleetOf(left, ['d1', 'd2', 'd3', moved])
  await pass(after)
  t.false(balancer.isChangingRole(moved))
  for (let i = 0; i < 30; i++) await pass(after)
  t.is(engines.orders.length, 1, 'the split is balanced')
})

test('an engine that refuses its order gets work again, and no other engine is ordered for a while', async (t) => {
  const { balancer, engines, pass, outcomes } = await createBalancer()
  engines.failure = new UpstreamError('another order is under way', { mayHaveRun: false, refused: true })
  for (let i = 0; i < 8; i++) await pass(THREE)
  t.deepEqual(outcomes, [OrderOutcome.Refused])
  t.false(THREE.prefill.some(({ name }) => balancer.isChangingRole(name)))
})

test('an unanswered order may have been accepted, so the engine gets no work until its reports show the outcome', async (t) => {
  const { balancer, engines, pass, outcomes } = await createBalancer()
  engines.failure = new UpstreamError('no answer', { mayHaveRun: true, unreachable: true })
  for (let i = 0; i < 4; i++) await pass(THREE)
  t.deepEqual(outcomes, [OrderOutcome.NotAnswered])
  t.true(balancer.isChangingRole(engines.orders[0].instance as string))
})

test('without a lease no order is sent, and chosen engines get work again', async (t) => {
  const { balancer, engines, pass, contact, outcomes } = await createBalancer()
  const busy = { ...THREE, prefill: THREE.prefill.map((engine) => ({ ...engine, reservations: 1 })) }
  await pass(busy)
  await pass(busy)
  contact.lost = true
  await pass(THREE)
  t.deepEqual(engines.orders, [])
  t.deepEqual(outcomes, [OrderOutcome.NotSent])
  t.false(THREE.prefill.some(({ name }) => balancer.isChangingRole(name)))
})

test('when the lease is lost, only engines without an order get work again', async (t) => {
  const { balancer, engines, pass } = await createBalancer()
  await pass(THREE)
  await pass(THREE)
  balancer.cancelUnorderedMoves()
  t.true(balancer.isChangingRole(engines.orders[0].instance as string))
})

test('an engine that never changes its role gets work again after a timeout', async (t) => {
  const { balancer, engines, pass } = await createBalancer()
  for (let i = 0; i < 2; i++) await pass(THREE)
  const first = engines.orders[0].instance as string
  for (let i = 0; i < 30; i++) await pass(THREE, { ...LOAD, arrivalsPerMs: 0.001 })
  t.false(balancer.isChangingRole(first))
})

test('zones with a surplus of engines of the role are chosen first', async (t) => {
  const { engines, pass } = await createBalancer()
  const fleet = {
    prefill: [engineOf('p1', EngineRole.Prefill, { availabilityZone: 'a' }), engineOf('p2', EngineRole.Prefill, { availabilityZone: 'b' }), engineOf('p3', EngineRole.Prefill, { availabilityZone: 'b' })],
    decode: [engineOf('d1', EngineRole.Decode, { availabilityZone: 'a' }), engineOf('d2', EngineRole.Decode, { availabilityZone: 'a' }), engineOf('d3', EngineRole.Decode, { availabilityZone: 'b' })],
  }
  await pass(fleet)
  await pass(fleet)
  t.true(['p2', 'p3'].includes(engines.orders[0].instance as string))
})

test('fencing tokens increase with the revision and the count of orders, and differ between holders', (t) => {
  t.true(uniqueFenceOf(8, 0, 'box-1') > uniqueFenceOf(7, 200, 'box-2'))
  t.true(uniqueFenceOf(7, 5, 'box-1') > uniqueFenceOf(7, 4, 'box-2'))
  t.not(uniqueFenceOf(7, 4, 'box-1'), uniqueFenceOf(7, 4, 'box-2'))
  t.true(Number.isSafeInteger(uniqueFenceOf(2 ** 24, 255, 'box-1')))
})

test('an order given after the platform\'s store was restored from a copy is not rejected because of earlier fencing tokens', (t) => {
  const before = [1, 2 ** 24, 2 ** 31].map((revision) => uniqueFenceOf(orderedRevisionOf({ era: 0, revision }), 255, 'box-2'))
  const after = [1, 2, 127].map((era) => uniqueFenceOf(orderedRevisionOf({ era, revision: 1 }), 0, 'box-1'))
  const all = [...before, ...after]
  t.deepEqual(all, all.toSorted((a, b) => a - b))
  t.is(new Set(all).size, all.length)
  t.true(uniqueFenceOf(orderedRevisionOf({ era: 8191, revision: 2 ** 39 }), 255, 'box-1') < 2 ** 63)
  t.true(uniqueFenceOf(orderedRevisionOf({ era: 1, revision: 8 }), 0, 'box-1') > uniqueFenceOf(orderedRevisionOf({ era: 1, revision: 7 }), 200, 'box-2'))
  t.not(uniqueFenceOf(orderedRevisionOf({ era: 1, revision: 7 }), 4, 'box-1'), uniqueFenceOf(orderedRevisionOf({ era: 1, revision: 7 }), 4, 'box-2'))
})

test('an engine that restarts during a role change gets work again, and receives no order meant for its previous start', async (t) => {
  const { balancer, engines, pass } = await createBalancer()
  const busy = { ...THREE, prefill: THREE.prefill.map((engine) => ({ ...engine, reservations: 1 })) }
  await pass(busy)
  await pass(busy)
  const [chosen] = ['p1', 'p2', 'p3'].filter((name) => balancer.isChangingRole(name))
  const restarted = { ...THREE, prefill: THREE.prefill.map((engine) => engine.name === chosen ? { ...engine, name: `${chosen}@200` } : engine) }
  await pass(restarted, { ...LOAD, arrivalsPerMs: 0.001 })
  t.false(balancer.isChangingRole(chosen))
  t.false(balancer.isChangingRole(`${chosen}@200`))
  t.deepEqual(engines.orders, [])
})
