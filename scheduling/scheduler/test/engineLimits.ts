// Guards against choosing engines at their rate limit: they look idle to a scheduler that ignores limits, and owners
// get no permit for them and have to place the request again.
import { type PlacementAnswer, PlacementOutcome } from '@reelspan/core.messages'
import test from 'ava'
import { createShard, requestOf, type TestShardOptions } from './__utils__/createShard.js'

const EVERY_MS = 50
const SECONDS = 10

/** Sends a short request every 50 ms; each is released as soon as it is placed. */
async function placements (opts: TestShardOptions, limits: { ttftLeftMs: number }): Promise<PlacementAnswer[]> {
  const { clock, scheduler } = createShard({ prefill: 3, decode: 3, ...opts })
  const answers: Promise<PlacementAnswer>[] = []
  for (let i = 0; i < SECONDS * 1000 / EVERY_MS; i++) {
    const request = requestOf({ promptTokens: 100, ...limits })
    answers.push(scheduler.reserve(request).then((answer) => {
      scheduler.release(request.label)
      return answer
    }))
    await clock.advance(EVERY_MS)
  }
  return clock.run(Promise.all(answers))
}

function countOf (answers: readonly PlacementAnswer[], engine: string): number {
  return answers.filter((answer) => answer.outcome === PlacementOutcome.Placed && [answer.prefillEngine, answer.decodeEngine].includes(engine)).length
}

for (const engine of ['p-1', 'd-1']) {
  test(`${engine} gets no more requests than its limit, and the others get the rest`, async (t) => {
    const answers = await placements({ limitPerSecond: (name) => name === engine ? 2 : undefined }, { ttftLeftMs: 390 })
    const got = countOf(answers, engine)
    t.true(got >= 0.5 * 2 * SECONDS && got <= 2 * SECONDS + 2, `${got}`)
    t.true(answers.every(({ outcome }) => outcome === PlacementOutcome.Placed))
  })
}

test('as many requests as the limits allow are placed, and the rest is refused if no permit is free in time', async (t) => {
  const answers = await placements({ limitPerSecond: (name) => name.startsWith('d') ? 2 : undefined }, { ttftLeftMs: 390 })
  const placed = answers.filter(({ outcome }) => outcome === PlacementOutcome.Placed).length
  t.true(placed >= 0.9 * 6 * SECONDS && placed <= 6 * SECONDS + 6, `${placed}`)
})

test('a request is refused at once if no permit is free in time', async (t) => {
  const { clock, scheduler } = createShard({ prefill: 2, decode: 2, limitPerSecond: () => 0.2 })
  const startedAtMs = clock.nowMs()
  const answer = await clock.run(scheduler.reserve(requestOf({ promptTokens: 100 })))
  t.is(answer.outcome, PlacementOutcome.Refused)
  t.is(clock.nowMs(), startedAtMs)
})

test('a request that avoids all engines is refused at once', async (t) => {
  const { clock, scheduler } = createShard({ prefill: 2, decode: 2 })
  const startedAtMs = clock.nowMs()
  const answer = await clock.run(scheduler.reserve(requestOf({ avoid: ['p-1', 'p-2', 'd-1', 'd-2'] })))
  t.is(answer.outcome, PlacementOutcome.Refused)
  t.is(clock.nowMs(), startedAtMs)
})

for (const avoid of [['d-1', 'd-2'], ['p-1', 'p-2']]) {
  test(`a request that avoids ${avoid.join(' and ')}, all engines of one role, is refused at once`, async (t) => {
    const { clock, scheduler } = createShard({ prefill: 2, decode: 2 })
    const startedAtMs = clock.nowMs()
    const answer = await clock.run(scheduler.reserve(requestOf({ avoid })))
    t.is(answer.outcome, PlacementOutcome.Refused)
    t.is(clock.nowMs(), startedAtMs)
  })
}
