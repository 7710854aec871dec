import { type PlacementAnswer, PlacementOutcome } from '@reelspan/core.messages'
import { EngineRole } from '@reelspan/upstream.client'
import test from 'ava'
import { createShard, reportOf, requestOf } from './__utils__/createShard.js'
import { playRequests } from './__utils__/playRequests.js'

/** Half the speed of the prefill engines: 1,000 tokens take 255 ms, against 130 ms plus the transfer. */
const HALF_PACE = 4000
const TARGET = { ttftLeftMs: 900, tbtTargetMs: 300, patienceMs: 2700, allowsOwnPrefill: true }

function isOwn (answer: PlacementAnswer): boolean {
  return answer.outcome === PlacementOutcome.Placed && answer.prefillEngine === answer.decodeEngine
}

/** A load beyond the capacity of the shard's prefill engine, while its decode engines are half empty. */
async function playPrefillBound (decodePrefillTokensPerSecond?: number) {
  const { clock, scheduler } = createShard({ prefill: 1, decode: 4, slots: 20, decodePrefillTokensPerSecond })
  let prefillUntilMs = 0
  const outcome = await playRequests({
    clock,
    scheduler,
    requestsPerSecond: 12,
    durationMs: 20_000,
    request: TARGET,
    firstTokenMs: ({ prefillEngine, decodeEngine }) => {
      if (prefillEngine === decodeEngine) return 300
      prefillUntilMs = Math.max(prefillUntilMs, clock.nowMs()) + 130
      return prefillUntilMs - clock.nowMs() + 30
    },
    streamMs: () => 2000,
  })
  return outcome
}

test('decode engines compute no prompts while prefill engines are free', async (t) => {
  const { clock, scheduler } = createShard({ decodePrefillTokensPerSecond: HALF_PACE })
  const answers = await clock.run(Promise.all([scheduler.reserve(requestOf(TARGET)), scheduler.reserve(requestOf(TARGET))]))
  t.deepEqual(answers.map(isOwn), [false, false])
})

test('a decode engine computes a prompt if the prefill engines would take longer, including the wait for them', async (t) => {
  const { clock, scheduler } = createShard({ prefill: 1, decode: 2, decodePrefillTokensPerSecond: HALF_PACE })
  const answers = await clock.run(Promise.all(Array.from({ length: 5 }, () => scheduler.reserve(requestOf(TARGET)))))
  t.true(answers.some(isOwn))
  t.true(answers.some((answer) => !isOwn(answer)))
})

test('decode engines compute the prompts if there are no prefill engines', async (t) => {
  const { clock, scheduler } = createShard({ prefill: 0, decode: 2, decodePrefillTokensPerSecond: HALF_PACE })
  const answers = await clock.run(Promise.all([scheduler.reserve(requestOf(TARGET)), scheduler.reserve(requestOf(TARGET))]))
  t.deepEqual(answers.map(isOwn), [true, true])
  const engines = answers.map((answer) => answer.outcome === PlacementOutcome.Placed && answer.decodeEngine)
  t.is(new Set(engines).size, 2, 'each computes one at a time')
})

test('a decode engine without a free slot computes no prompts', async (t) => {
  const { clock, scheduler } = createShard({ prefill: 0, decode: 1, slots: 1, decodePrefillTokensPerSecond: HALF_PACE })
  const first = requestOf(TARGET)
  t.true(isOwn(await clock.run(scheduler.reserve(first))))
  const second = scheduler.reserve(requestOf(TARGET))
  await clock.advance(400)
  scheduler.release(first.label, { completionTokens: 10, ttftErrorMs: 0, tbtP50Ms: 20 })
  t.true(isOwn(await clock.run(second)))
})

test('decode engines without prefill support are not chosen for prefills', async (t) => {
  const { clock, scheduler } = createShard({ prefill: 0, decode: 2 })
  t.like(await clock.run(scheduler.reserve(requestOf(TARGET))), { outcome: PlacementOutcome.Refused, reason: 'no engine of the model takes work' })
})

test('a request that does not allow own prefill is not placed on a decode engine only', async (t) => {
  const { clock, scheduler } = createShard({ prefill: 0, decode: 2, decodePrefillTokensPerSecond: HALF_PACE })
  t.like(await clock.run(scheduler.reserve(requestOf({ ...TARGET, allowsOwnPrefill: undefined }))), { outcome: PlacementOutcome.Refused, reason: 'no engine of the model takes work' })
})

test('an engine whose reported role differs from the fleet list gets no work', async (t) => {
  const { clock, scheduler } = createShard({ prefill: 2, decode: 2 })
  scheduler.recordReport('p-1', reportOf(EngineRole.Decode))
  const answers = await clock.run(Promise.all([scheduler.reserve(requestOf(TARGET)), scheduler.reserve(requestOf(TARGET))]))
  t.deepEqual(answers.map((answer) => answer.outcome === PlacementOutcome.Placed && answer.prefillEngine), ['p-2', 'p-2'])
})

test('a load beyond the capacity of the prefill engines is served in time with the help of decode engines', async (t) => {
  const before = await playPrefillBound()
  const after = await playPrefillBound(HALF_PACE)
  t.log(`in time of ${before.requests}: ${before.inTime} without own prefills, ${after.inTime} with; refused ${before.refused}, ${after.refused}; own ${after.ownPrefills}; wasted wait ${Math.round(before.wastedWaitMs)} ms, ${Math.round(after.wastedWaitMs)} ms`)
  t.is(before.ownPrefills, 0)
  t.true(after.inTime >= 0.95 * after.requests, `${after.inTime} of ${after.requests}`)
  t.true(before.inTime < 0.7 * before.requests, `${before.inTime} of ${before.requests}`)
  t.true(after.ownPrefills < 0.6 * after.requests, 'prefill engines are still used first')
})

test('a decode engine computes the waiting prompt with the highest priority first', async (t) => {
  const { clock, scheduler } = createShard({ prefill: 0, decode: 1, slots: 1, decodePrefillTokensPerSecond: HALF_PACE })
  const first = requestOf(TARGET)
  t.true(isOwn(await clock.run(scheduler.reserve(first))))
  const order: string[] = []
  const reserve = (name: string, priority: number) => scheduler.reserve(requestOf({ ...TARGET, priority })).then((answer) => { if (isOwn(answer)) order.push(name) })
  void reserve('usual', 0)
  void reserve('urgent', 1)
  await clock.advance(100)
  scheduler.release(first.label, { completionTokens: 10, ttftErrorMs: 0, tbtP50Ms: 20 })
  await clock.advance(10)
  t.deepEqual(order, ['urgent'])
})
