import { PlacementOutcome } from '@reelspan/core.messages'
import test from 'ava'
import fc from 'fast-check'
import { createShard, requestOf } from './__utils__/createShard.js'

/** One request of each kind arriving together: both kinds have the same rate and sizes. */
interface Arrival {
  gapMs: number
  promptTokens: number
  urgentFirst: boolean
}

/** Results of the requests of one kind. */
interface Tally {
  sent: number
  served: number
  inTime: number
}

/** Differences up to 5 in 100 count as equal. */
const TOLERANCE = 0.05
const TTFT_TARGET_MS = 900
/** Prefill speed of the test's shard: 1,000 tokens take 130 ms. */
const PREFILL_MS_PER_TOKEN = 0.13

async function play (arrivals: readonly Arrival[], { streamMs, slots, engineLostAt }: { streamMs: number, slots: number, engineLostAt: number }): Promise<Record<'urgent' | 'other', Tally>> {
  const { clock, scheduler } = createShard({ prefill: 2, decode: 2, slots })
  const tallies = { urgent: { sent: 0, served: 0, inTime: 0 }, other: { sent: 0, served: 0, inTime: 0 } }
  const carryOut = async (kind: 'urgent' | 'other', promptTokens: number) => {
    const tally = tallies[kind]
    const firstAtMs = clock.nowMs()
    tally.sent++
    const request = requestOf({ promptTokens, priority: kind === 'urgent' ? 2 : 1, ttftLeftMs: TTFT_TARGET_MS, patienceMs: 3 * TTFT_TARGET_MS, deadlineMs: 14_000 })
    for (const attempt of ['1', '2']) {
      const label = { ...request.label, requestId: `${request.label.requestId}.${attempt}` }
      const answer = await scheduler.reserve({ ...request, label })
      if (answer.outcome === PlacementOutcome.Placed) {
        tally.served++
        if (clock.nowMs() + answer.expectedTtftMs - firstAtMs <= TTFT_TARGET_MS) tally.inTime++
        await clock.sleep(promptTokens * PREFILL_MS_PER_TOKEN)
        scheduler.recordPrefillEnd(label)
        await clock.sleep(streamMs)
        scheduler.release(label)
        return
      }
      await clock.sleep(answer.retryAfterMs)
    }
  }
  const running: Promise<void>[] = []
  for (const [i, { gapMs, promptTokens, urgentFirst }] of arrivals.entries()) {
    await clock.advance(gapMs)
    if (i === engineLostAt) scheduler.markUnresponsive('d-2')
    running.push(...(urgentFirst ? ['urgent', 'other'] as const : ['other', 'urgent'] as const).map((kind) => carryOut(kind, promptTokens)))
  }
  await clock.run(Promise.all(running))
  return tallies
}

test('requests of higher priority are never served worse than those of lower priority of the same model, at any load and when engines are lost', async (t) => {
  const arrival = fc.record({ gapMs: fc.integer({ min: 1, max: 160 }), promptTokens: fc.integer({ min: 200, max: 3000 }), urgentFirst: fc.boolean() })
  const load = fc.record({
    arrivals: fc.array(arrival, { minLength: 60, maxLength: 90 }),
    streamMs: fc.integer({ min: 100, max: 1500 }),
    slots: fc.integer({ min: 1, max: 8 }),
    engineLostAt: fc.nat(120),
  })
  await fc.assert(fc.asyncProperty(load, async ({ arrivals, ...opts }) => {
    const { urgent, other } = await play(arrivals, opts)
    return urgent.served / urgent.sent >= other.served / other.sent - TOLERANCE && urgent.inTime / urgent.sent >= other.inTime / other.sent - TOLERANCE
  }), { seed: 27, numRuns: 40, endOnFailure: true })
  t.pass()
})
