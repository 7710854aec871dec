import test from 'ava'
import { answers, createRelay, RecordingCaller, refuses, requestTo, type Script } from './__utils__/createRelay.js'

/** A relay whose single retry has been used by another request. */
async function createWithoutRetry (scripts: Script[]) {
  const created = createRelay([answers(500, 'oops'), answers(200, 'other'), ...scripts], { retryBurst: 1 })
  await created.clock.run(created.relay.relay(requestTo('/reply/1'), new RecordingCaller()))
  return created
}

test('a request whose placement reached no engine is placed again without a retry', async (t) => {
  const { clock, relay, upstreams, placer, engines } = await createWithoutRetry([answers(200, 'data: line\n\n')])
  placer.startInMs = 50
  const caller = new RecordingCaller()
  const work = relay.relay(requestTo('/reply/2'), caller)
  await clock.advance(10)
  engines.filter(({ name }) => name === 'd3').forEach((engine) => { engine.leaving = true })
  await clock.run(work)
  t.true(caller.complete, caller.refused?.message)
  t.is(upstreams.runs.at(-1)?.instance, 'd4')
})

test('a request that an engine refused is not sent to another one without a retry', async (t) => {
  const { clock, relay, upstreams } = await createWithoutRetry([refuses(), answers(200, 'data: line\n\n')])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/2'), caller))
  t.false(caller.complete)
  t.is(upstreams.runs.length, 3)
})
