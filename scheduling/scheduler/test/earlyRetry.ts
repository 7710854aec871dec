import { type PlacementAnswer, PlacementOutcome, type ReserveRequest } from '@reelspan/core.messages'
import test from 'ava'
import fc from 'fast-check'
import { createShard, requestOf } from './__utils__/createShard.js'

function patient (over: Partial<ReserveRequest> = {}): ReserveRequest {
  return requestOf({ ttftLeftMs: 900, patienceMs: 3600, ...over })
}

/** Another attempt of a request. */
function again (request: ReserveRequest, over: Partial<ReserveRequest> = {}): ReserveRequest {
  return { ...request, label: patient().label, ...over }
}

/** A shard of one slot that is taken, with requests waiting, and a refused request. */
async function createFullShard (over: Partial<ReserveRequest> = {}) {
  const early = { count: 0 }
  const { clock, scheduler } = createShard({ prefill: 1, decode: 1, slots: 1, onEarlyRetry: () => { early.count++ } })
  const running = patient()
  await clock.run(scheduler.reserve(running))
  const refused = patient({ ttftLeftMs: 100, patienceMs: 100, ...over })
  const refusal = await clock.run(scheduler.reserve(refused))
  if (refusal.outcome !== PlacementOutcome.Refused) throw new Error('the request was not refused')
  return { clock, scheduler, running, refused, refusal, early }
}

test('an early retry is answered at once with the remaining delay while requests wait, and takes no slot of theirs', async (t) => {
  const { clock, scheduler, running, refused, refusal, early } = await createFullShard()
  const first = scheduler.reserve(patient())
  await clock.advance(100)
  t.like(await clock.run(scheduler.reserve(again(refused)), 0), { outcome: PlacementOutcome.Refused, retryAfterMs: refusal.retryAfterMs - 100 })
  t.is(early.count, 1)
  scheduler.release(running.label)
  t.is((await clock.run(first)).outcome, PlacementOutcome.Placed)
})

test('an early retry is placed if nothing waits and a slot is free, and refused at once if none is free', async (t) => {
  const { clock, scheduler, running, refused } = await createFullShard({ deadlineMs: 20_000 })
  const full = await clock.run(scheduler.reserve(again(refused, { ttftLeftMs: 900, patienceMs: 3600 })), 0)
  t.like(full, { outcome: PlacementOutcome.Refused, reason: 'retried before its retry delay has passed' })
  scheduler.release(running.label)
  t.is((await clock.run(scheduler.reserve(again(refused, { ttftLeftMs: 900, patienceMs: 3600 })))).outcome, PlacementOutcome.Placed)
})

test('another attempt of a waiting request waits behind first attempts that came later', async (t) => {
  const { clock, scheduler, running } = await createFullShard()
  const placed: string[] = []
  const place = (name: string, request: ReserveRequest) => scheduler.reserve(request).then(({ outcome }) => { if (outcome === PlacementOutcome.Placed) placed.push(name) })
  const one = patient()
  const two = patient()
  void place('one', one)
  void place('again', again(one))
  void place('two', two)
  for (const request of [running, one, two]) {
    scheduler.release(request.label)
    scheduler.recordPrefillEnd(request.label)
    await clock.advance(150)
  }
  t.deepEqual(placed, ['one', 'two', 'again'])
})

test('an early retry of an urgent request is not refused because less urgent ones wait', async (t) => {
  const { clock, scheduler, running, refused } = await createFullShard({ priority: 2 })
  void scheduler.reserve(patient({ priority: 1 }))
  const retried = scheduler.reserve(again(refused, { ttftLeftMs: 900, patienceMs: 3600 }))
  await clock.advance(20)
  scheduler.release(running.label)
  t.is((await clock.run(retried)).outcome, PlacementOutcome.Placed)
})

test('a different prompt with the same beginning is a first attempt, also at a scheduler that knows nothing of the refusal', async (t) => {
  const { clock, scheduler, refused } = await createFullShard()
  void scheduler.reserve(patient())
  void scheduler.reserve(again(refused, { promptTokens: 900, ttftLeftMs: 900, patienceMs: 3600 }))
  await clock.advance(1)
  t.is(scheduler.describe().waiting, 2)
  const next = createShard({ prefill: 1, decode: 1, slots: 1 })
  t.is((await next.clock.run(next.scheduler.reserve(again(refused, { ttftLeftMs: 900 })))).outcome, PlacementOutcome.Placed)
})

test('an early retry is never refused while a slot is free and nothing waits', async (t) => {
  const step = fc.record({ gapMs: fc.integer({ min: 0, max: 120 }), streamMs: fc.integer({ min: 50, max: 900 }) })
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 30, maxLength: 60 }), async (steps) => {
    const { clock, scheduler } = createShard({ prefill: 4, decode: 2, slots: 2 })
    const refused: ReserveRequest[] = []
    const wronglyRefused: PlacementAnswer[] = []
    const carryOut = async (request: ReserveRequest, streamMs: number) => {
      const { decodeEngines, prefillEngines } = { decodeEngines: scheduler.ledger.decodeEngines(), prefillEngines: scheduler.ledger.prefillEngines() }
      const hasRoom = scheduler.describe().waiting === 0 && decodeEngines.some(({ account }) => account.reservedPlaces < 2) && prefillEngines.some(({ account }) => account.freeAtMs(clock.nowMs()) <= clock.nowMs())
      const answer = await scheduler.reserve(request)
      if (answer.outcome === PlacementOutcome.Refused) {
        if (hasRoom) wronglyRefused.push(answer)
        refused.push(request)
        return
      }
      await clock.sleep(130)
      scheduler.recordPrefillEnd(request.label)
      await clock.sleep(streamMs)
      scheduler.release(request.label, { completionTokens: 30, ttftErrorMs: 0, tbtP50Ms: 20 })
    }
    for (const { gapMs, streamMs } of steps) {
      await clock.advance(gapMs)
      void carryOut(patient(), streamMs)
      const early = refused.pop()
      if (early) void carryOut(again(early), streamMs)
    }
    await clock.advance(5000)
    return wronglyRefused.length === 0
  }), { seed: 3, numRuns: 40, endOnFailure: true })
  t.pass()
})
