import { PlacementOutcome } from '@reelspan/core.messages'
import { AccountWeights, type ShardSchedulerOptions } from '@reelspan/scheduling.scheduler'
import test from 'ava'
import fc from 'fast-check'
import { createShard, requestOf } from './__utils__/createShard.js'
import { accountOf, type PlayedAccount, playAccounts, sumOf } from './__utils__/playAccounts.js'

const SMALL = ['a', 'b', 'c', 'd']
const FLOOD = { client: 'flood', perSecond: 30 }
const FIVE_ACCOUNTS: readonly PlayedAccount[] = [FLOOD, ...SMALL.map((client) => ({ client, perSecond: 2.75 }))]
const DURATION_MS = 15_000
/** Two engines of 4 slots then serve 20 streams per second. */
const STREAM_MS = 400

function playOnTwoEngines (accounts: readonly PlayedAccount[], { seed = 7, lostAtMs, onAnswered }: { seed?: number, lostAtMs?: number, onAnswered?: ShardSchedulerOptions['onAnswered'] } = {}) {
  const { clock, scheduler } = createShard({ prefill: 2, decode: 2, slots: 4, onAnswered })
  const event = lostAtMs === undefined ? undefined : { atMs: lostAtMs, run: () => scheduler.markUnresponsive('d-2') }
  return playAccounts({ clock, scheduler, accounts, durationMs: DURATION_MS, streamMs: STREAM_MS, seed, event })
}

test('accounts below their share are served what they request while another one requests 1.5 times the capacity', async (t) => {
  for (const seed of [7, 8]) {
    const tallies = await playOnTwoEngines(FIVE_ACCOUNTS, { seed })
    const small = sumOf(tallies, (client) => client !== 'flood')
    t.log(`served ${small.served}, first attempts ${small.firstServed}, in time ${small.inTime} of ${small.sent}; flood ${tallies.get('flood')?.served}`)
    t.true(small.served >= 0.98 * small.sent && small.firstServed >= 0.97 * small.sent && small.inTime >= 0.95 * small.sent)
    t.true((tallies.get('flood')?.served ?? 0) >= 8 * DURATION_MS / 1000, 'the rest of the capacity is used')
  }
})

test('with one engine left, from the start or during the load, each account is served its share', async (t) => {
  for (const lostAtMs of [0, 5000]) {
    const tallies = await playOnTwoEngines(FIVE_ACCOUNTS, { lostAtMs })
    const perSecond = SMALL.map((client) => (tallies.get(client)?.served ?? 0) * 1000 / DURATION_MS)
    t.log(perSecond.map((rate) => rate.toFixed(2)).join(', '), 'per second; flood', tallies.get('flood')?.served)
    t.true(perSecond.every((rate, i) => rate >= 0.8 * Math.min(2, (tallies.get(SMALL[i])?.sent ?? 0) * 1000 / DURATION_MS)))
  }
})

test('a burst of an urgent kind does not take from accounts below their share more than it needs, and is served first', async (t) => {
  const urgent = { client: 'a', perSecond: 1, burst: { fromMs: 4000, untilMs: 7000, perSecond: 10 }, request: { priority: 2 } }
  let urgentOverShare = 0
  const tallies = await playOnTwoEngines([FLOOD, urgent, ...FIVE_ACCOUNTS.slice(2)], { onAnswered: (_, { client, overShare }) => { if (client === 'a' && overShare) urgentOverShare++ } })
  t.is(urgentOverShare, 0, 'no other account has urgent requests')
  const [burst, others] = [sumOf(tallies, (client) => client === 'a'), sumOf(tallies, (client) => ['b', 'c', 'd'].includes(client))]
  t.true(burst.served >= 0.98 * burst.sent && burst.firstServed >= 0.9 * burst.sent, `${burst.served}, first attempts ${burst.firstServed} of ${burst.sent}`)
  t.true(others.served >= 0.95 * others.sent, `${others.served} of ${others.sent}`)
})

test('small requests over their share leave room to a large one within its share that needs more memory than is free', async (t) => {
  const accounts = [accountOf('flood', 1000), accountOf('large', 4000)]
  const { clock, scheduler } = createShard({ prefill: 6, decode: 1, slots: 8, accounts: () => accounts })
  const placed: string[] = []
  // Small requests need 0.15 of the engine's memory, the large one 0.75.
  const reserve = (client: string, maxTokens: number) => {
    const request = requestOf({ client, maxTokens, promptTokens: 40, patienceMs: 3000 })
    return { request, done: scheduler.reserve(request).then(({ outcome }) => { if (outcome === PlacementOutcome.Placed) placed.push(client) }) }
  }
  const running = Array.from({ length: 6 }, () => reserve('flood', 6000))
  await clock.advance(1500)
  const waiting = [reserve('flood', 6000), reserve('large', 30_000), reserve('flood', 6000)]
  for (const { request } of running) {
    await clock.advance(50)
    scheduler.release(request.label)
  }
  await clock.run(Promise.all(waiting.map(({ done }) => done)))
  t.deepEqual(placed.slice(0, 7), [...running.map(() => 'flood'), 'large'])
})

test('one of sixteen accounts of uneven weights at 7 times its usual load delays none of the others, and without it all are served', async (t) => {
  const weights = [16, 8, 6, 4, 4, 3, 3, 2, 2, 2, 1, 1, 1, 1, 1, 1]
  const declared = weights.map((weight, i) => accountOf(`account-${i}`, 1000 * weight))
  for (const noisy of [3, undefined]) {
    const { clock, scheduler } = createShard({ prefill: 4, decode: 6, slots: 8, accounts: () => declared })
    // Six engines of 8 slots serve 120 streams per second, of which the usual load is 0.8.
    const accounts = weights.map((weight, i) => ({ client: `account-${i}`, perSecond: 1.6 * weight, burst: i === noisy ? { fromMs: 2000, untilMs: 8000, perSecond: 11.2 * weight } : undefined }))
    const tallies = await playAccounts({ clock, scheduler, accounts, durationMs: 9000, streamMs: STREAM_MS })
    const others = sumOf(tallies, (client) => client !== 'account-3')
    t.true(others.firstServed >= 0.98 * others.sent, `${others.firstServed} of ${others.sent}`)
    t.true(noisy !== undefined || tallies.get('account-3')?.firstServed === tallies.get('account-3')?.sent)
  }
})

test('a new scheduler learns usage from the reservations that it adopts', async (t) => {
  const before = createShard({ prefill: 6, decode: 1, slots: 6 })
  const { clock, scheduler } = createShard({ prefill: 6, decode: 1, slots: 6 })
  const held = Array.from({ length: 6 }, () => requestOf({ client: 'flood', promptTokens: 40 }))
  const plans = await before.clock.run(Promise.all(held.map((request) => before.scheduler.reserve(request))))
  scheduler.adopt(plans.flatMap((plan, i) => plan.outcome === PlacementOutcome.Placed ? [{ request: held[i], plan, ageMs: 100, decoding: true, tokensDone: 1 }] : []))
  const placed: string[] = []
  const waiting = ['flood', 'flood', 'small'].map((client) => scheduler.reserve(requestOf({ client, promptTokens: 40 })).then(({ outcome }) => { if (outcome === PlacementOutcome.Placed) placed.push(client) }))
  await clock.advance(20)
  scheduler.release(held[0].label)
  await clock.run(Promise.all(waiting))
  t.is(placed[0], 'small')
})

test('weights follow limits in tokens, accounts without one have the mean, and a route with weights of its own decides alone', (t) => {
  const accounts = [accountOf('x', 3000), accountOf('y', 1000), accountOf('z')]
  const weightsOf = (route?: { clientWeights: Record<string, number> }) => new AccountWeights({ route: () => route as never, accounts: () => accounts })
  t.deepEqual(['x', 'y', 'z', ''].map((client) => weightsOf().weightOf(client)), [3000, 1000, 2000, 2000])
  t.deepEqual(['x', 'y'].map((client) => weightsOf({ clientWeights: { x: 2 } }).weightOf(client)), [2, 1])
  t.is(new AccountWeights({ route: () => undefined, accounts: () => [] }).weightOf('x'), 1)
})

test('no order of arrivals leaves an account under its share waiting while a request over its share is placed that needs as much', async (t) => {
  const arrival = fc.record({ gapMs: fc.integer({ min: 0, max: 20 }), client: fc.constantFrom('flood', 'flood', 'flood', 'flood', 'x', 'y'), priority: fc.constantFrom(1, 1, 1, 2), maxTokens: fc.constantFrom(64, 64, 15_000) })
  let overSharePlaced = 0
  await fc.assert(fc.asyncProperty(fc.array(arrival, { minLength: 60, maxLength: 90 }), fc.integer({ min: 1, max: 3 }), async (arrivals, slots) => {
    const placedCost = new Map(['flood', 'x', 'y'].map((client) => [client, 0]))
    const waiting = new Set<(typeof arrivals)[number]>()
    /** Whether each answered request was over its share, in the order in which the answers resolve. */
    const answeredOver: boolean[] = []
    let violations = 0
    const { clock, scheduler } = createShard({ prefill: 4, decode: 2, slots, onAnswered: (_, { overShare }) => answeredOver.push(overShare) })
    // In a run of less than a second, usage that is a quarter of another one's is below it, decayed or not.
    const isFarBelow = (client: string, other: string) => [...placedCost].every(([any, cost]) => any === client || (placedCost.get(client) ?? 0) <= cost) && 4 * (placedCost.get(client) ?? 0) < (placedCost.get(other) ?? 0)
    const play = async (one: (typeof arrivals)[number]) => {
      const request = requestOf({ client: one.client, priority: one.priority, maxTokens: one.maxTokens, promptTokens: 40, patienceMs: 1500 })
      waiting.add(one)
      const { outcome } = await scheduler.reserve(request)
      const placedOver = answeredOver.shift()
      waiting.delete(one)
      if (outcome === PlacementOutcome.Refused) return
      if (placedOver) overSharePlaced++
      if (placedOver && [...waiting].some((other) => other.priority === one.priority && other.maxTokens <= one.maxTokens && isFarBelow(other.client, one.client))) violations++
      placedCost.set(one.client, (placedCost.get(one.client) ?? 0) + one.maxTokens)
      await clock.sleep(60)
      scheduler.release(request.label)
    }
    const running: Promise<void>[] = []
    for (const one of arrivals) {
      await clock.advance(one.gapMs)
      running.push(play(one))
    }
    await clock.run(Promise.all(running))
    return violations === 0
  }), { seed: 31, numRuns: 120, endOnFailure: true })
  t.true(overSharePlaced >= 20, `${overSharePlaced} placements over a share`)
})
