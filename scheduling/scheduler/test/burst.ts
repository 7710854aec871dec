import { PlacementOutcome, type PlacementRefusal } from '@reelspan/core.messages'
import test from 'ava'
import { createShard, requestOf } from './__utils__/createShard.js'

const SLOTS = 13
const STREAM_MS = 200
const TTFT_TARGET_MS = 390

/** Streams that go on elsewhere at about the same time, at a scheduler that knows of no earlier ones. Returns those that were refused. */
async function refusedOfBurst (count: number, { spreadMs }: { spreadMs: number }): Promise<{ reason: string, heldMs: number }[]> {
  const { clock, scheduler } = createShard({ decode: 2, slots: SLOTS })
  const calls = Array.from({ length: count }, async (_, i) => {
    await clock.sleep(i * spreadMs / count)
    const sentAtMs = clock.nowMs()
    const one = requestOf({ promptTokens: 40, maxTokens: 24, ttftLeftMs: TTFT_TARGET_MS, patienceMs: 3 * TTFT_TARGET_MS, deadlineMs: 8000 })
    const answer = await scheduler.reserve(one)
    if (answer.outcome !== PlacementOutcome.Placed) return [{ reason: (answer as PlacementRefusal).reason, heldMs: clock.nowMs() - sentAtMs }]
    await clock.sleep(answer.expectedTtftMs / 2)
    scheduler.recordPrefillEnd(one.label)
    await clock.sleep(STREAM_MS)
    scheduler.release(one.label, { completionTokens: 24, ttftErrorMs: 0, tbtP50Ms: 6 })
    return []
  })
  return (await clock.run(Promise.all(calls))).flat()
}

test('a burst is not refused for slots that become free soon, at a scheduler that knows of no earlier streams', async (t) => {
  t.deepEqual(await refusedOfBurst(46, { spreadMs: 0 }), [])
  t.deepEqual(await refusedOfBurst(46, { spreadMs: 50 }), [])
})
