import { PlacementOutcome } from '@reelspan/core.messages'
import { type AdmissionDecision } from '@reelspan/scheduling.scheduler'
import test from 'ava'
import { createShard, requestOf } from './__utils__/createShard.js'

const SLOTS = 4
const TOKENS_PER_EVENT = 50
const EVENTS = 10
const EVENT_INTERVAL_MS = 100
const STREAM_MS = EVENTS * EVENT_INTERVAL_MS

test('slots of streams whose events hold many tokens are forecast for the end of the streams, not for many times as late', async (t) => {
  const decisions: AdmissionDecision[] = []
  const { clock, scheduler } = createShard({ prefill: 4, decode: 1, slots: SLOTS, tokensPerEvent: TOKENS_PER_EVENT, onAdmission: (_id, inputs, decision) => { if (inputs.forecast) decisions.push(decision) } })
  const streamOf = () => requestOf({ promptTokens: 40, maxTokens: EVENTS * TOKENS_PER_EVENT, tbtTargetMs: 500, ttftLeftMs: 3000 })
  const startBatch = async () => {
    const batch = Array.from({ length: SLOTS }, streamOf)
    const answers = await clock.run(Promise.all(batch.map((request) => scheduler.reserve(request))))
    t.true(answers.every(({ outcome }) => outcome === PlacementOutcome.Placed))
    batch.forEach(({ label }) => scheduler.recordPrefillEnd(label))
    return batch
  }
  // Lengths of answers are known from the eighth on.
  for (let i = 0; i < 3; i++) {
    const batch = await startBatch()
    await clock.advance(STREAM_MS)
    batch.forEach(({ label }) => scheduler.release(label, { completionTokens: EVENTS * TOKENS_PER_EVENT, ttftErrorMs: 0, tbtP50Ms: EVENT_INTERVAL_MS }))
  }
  const running = await startBatch()
  const waiting = scheduler.reserve(streamOf())
  await clock.advance(50)
  t.true((decisions[0]?.slotMs ?? 0) >= 0.9 * STREAM_MS && (decisions[0]?.slotMs ?? 0) <= 1.2 * STREAM_MS, `${decisions[0]?.slotMs} ms`)
  running.forEach(({ label }) => scheduler.release(label))
  t.is((await clock.run(waiting)).outcome, PlacementOutcome.Placed)
})
