import { MessageType, PlacementOutcome, type PlacementRefusal } from '@reelspan/core.messages'
import test from 'ava'
import { createPlacer, requestOf } from './__utils__/createPlacer.js'

const REFUSAL: PlacementRefusal = { outcome: PlacementOutcome.Refused, reason: 'overloaded', retryAfterMs: 2000, busyForMs: 200 }

/** Places another attempt of the same request, and returns whether the scheduler was asked, and what the box answered by itself. */
async function createRefused (refusal = REFUSAL) {
  const early = { count: 0 }
  const parts = createPlacer({ remote: true, onEarlyRetry: () => { early.count++ } })
  const { clock, link, placer } = parts
  const retry = (attempt: string, over = {}) => placer.place({ ...requestOf('r'), label: { ...requestOf('r').label, requestId: attempt }, ...over }, { signal: new AbortController().signal })
  const placing = retry('r.1')
  await clock.advance(0)
  link.calls[0].answer({ type: MessageType.ReserveAnswer, answer: refusal })
  await clock.run(placing, 0)
  const asked = () => link.ofType(MessageType.Reserve).length - 1
  return { ...parts, retry, asked, early }
}

test('a box refuses early retries with the remaining delay without asking the scheduler, while requests wait there', async (t) => {
  const { clock, retry, asked, early } = await createRefused()
  await clock.advance(150)
  t.like(await clock.run(retry('r.2'), 0), { outcome: PlacementOutcome.Refused, retryAfterMs: 1850 })
  t.is(asked(), 0)
  t.is(early.count, 1)
})

test('the scheduler is asked if the queue may be empty, for another prompt, and by an earlier build\'s refusal', async (t) => {
  const { clock, retry, asked } = await createRefused()
  void retry('r.2', { promptTokens: 999 })
  await clock.advance(200)
  t.is(asked(), 1)
  void retry('r.3')
  await clock.advance(0)
  t.is(asked(), 2)
  const earlier = await createRefused({ ...REFUSAL, busyForMs: undefined })
  void earlier.retry('r.2')
  await earlier.clock.advance(0)
  t.is(earlier.asked(), 1)
})

test('a scheduler that has taken over is asked: it knows nothing of the refusal', async (t) => {
  const { clock, retry, schedulers: [scheduler], replaceScheduler } = await createRefused()
  replaceScheduler()
  void retry('r.2')
  await clock.advance(0)
  t.is(scheduler.describe().waiting, 1)
})
