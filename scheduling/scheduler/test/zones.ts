import { PlacementOutcome, type ReserveRequest } from '@reelspan/core.messages'
import { type ShardScheduler } from '@reelspan/scheduling.scheduler'
import { type VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'
import { createShard, requestOf } from './__utils__/createShard.js'

const ZONES = ['a', 'b', 'c']
/** Engines are numbered in list order, and zones are assigned to them in turn. */
const zoneOf = (engine: string) => ZONES[(Number(engine.split('-').at(-1)) - 1) % ZONES.length]

/** Places a request and ends its prefill before the next one is placed. */
async function place (clock: VirtualClock, scheduler: ShardScheduler, over: Partial<ReserveRequest> = {}) {
  const request = requestOf({ ttftLeftMs: 900, patienceMs: 2700, tbtTargetMs: 300, ...over })
  const plan = await clock.run(scheduler.reserve(request))
  if (plan.outcome !== PlacementOutcome.Placed) throw new Error(plan.reason)
  await clock.advance(150)
  scheduler.recordPrefillEnd(request.label)
  return plan
}

test('a prompt is decoded in the availability zone in which it was computed', async (t) => {
  const { clock, scheduler } = createShard({ prefill: 3, decode: 6, zones: ZONES })
  for (let i = 0; i < 6; i++) {
    const { prefillEngine, decodeEngine } = await place(clock, scheduler)
    t.is(zoneOf(decodeEngine), zoneOf(prefillEngine))
  }
})

test('a stream runs in its owner\'s zone if the engines there are not fuller than others', async (t) => {
  const { clock, scheduler } = createShard({ prefill: 1, decode: 3, zones: ZONES })
  const decoded = new Set<string>()
  for (let i = 0; i < 2; i++) decoded.add(zoneOf((await place(clock, scheduler, { availabilityZone: 'a' })).decodeEngine))
  t.deepEqual([...decoded], ['a'])
})

test('an engine in another zone is chosen if the local one is notably fuller', async (t) => {
  const { clock, scheduler } = createShard({ prefill: 1, decode: 2, zones: ZONES, slots: 20 })
  const zones: string[] = []
  for (let i = 0; i < 10; i++) zones.push(zoneOf((await place(clock, scheduler)).decodeEngine))
  t.true(zones.includes('b'))
  t.true(zones.filter((zone) => zone === 'a').length > 5)
})

test('without prefill engines a prompt is computed in its owner\'s zone', async (t) => {
  const { clock, scheduler } = createShard({ prefill: 0, decode: 3, zones: ZONES, decodePrefillTokensPerSecond: 4000 })
  const { decodeEngine } = await place(clock, scheduler, { availabilityZone: 'c', allowsOwnPrefill: true })
  t.is(zoneOf(decodeEngine), 'c')
})
