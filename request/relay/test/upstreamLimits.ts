import { ErrorCode, Verdict } from '@reelspan/core.error'
import { PlacementOutcome } from '@reelspan/core.messages'
import { LogEvent } from '@reelspan/telemetry.log'
import { type UpstreamStates } from '@reelspan/upstream.signals'
import test from 'ava'
import { answers, answersAfter, createRelay, RecordingCaller, requestTo } from './__utils__/createRelay.js'

/** Limits upstreams to one request in ten seconds, with the first one available now. */
function limit (upstreamStates: UpstreamStates, upstreams: readonly string[]): void {
  upstreams.forEach((upstream) => upstreamStates.observe(upstream, { succeeded: true, rateLimit: { perSecond: 0.1, text: '0.1' } }, 0))
}

test('an upstream at its limit is skipped without counting as an attempt, and a request that none accepts is refused as not run with a retry delay', async (t) => {
  const { clock, relay, upstreams, upstreamStates, log } = createRelay(Array.from({ length: 3 }, () => answers(200, 'script')))
  limit(upstreamStates, ['s1', 's2', 's3'])
  const callers = [0, 1, 2, 3].map(() => new RecordingCaller())
  for (const caller of callers) await clock.run(relay.relay(requestTo('/fetch/1'), caller))
  t.deepEqual(upstreams.runs.map(({ instance }) => instance).sort(), ['s1', 's2', 's3'])
  t.deepEqual(callers.map(({ complete }) => complete), [true, true, true, false])
  const refused = callers[3].refused
  t.like(refused, { verdict: Verdict.NotRun, code: ErrorCode.UpstreamLimit })
  t.true((refused?.retryAfterMs ?? 0) > 5000 && (refused?.retryAfterMs ?? 0) <= 10_000, `${refused?.retryAfterMs}`)
  t.true(log.entries.some(({ event, fields }) => event === LogEvent.UpstreamsAtLimit && fields?.retryAfterMs !== undefined))
})

test('callers that are refused one after another get successive retry times', async (t) => {
  const { clock, relay, upstreamStates } = createRelay([answers(200, 'script')], { services: ['s1'] })
  limit(upstreamStates, ['s1'])
  const callers = [0, 1, 2].map(() => new RecordingCaller())
  for (const caller of callers) await clock.run(relay.relay(requestTo('/fetch/1'), caller))
  const [, first, second] = callers.map(({ refused }) => refused?.retryAfterMs ?? 0)
  t.true(second - first >= 9000, `${first} and ${second}`)
})

test('the permit of a request that was not sent is released', async (t) => {
  const { clock, relay, upstreams, upstreamStates } = createRelay([answers(200, 'script')], { services: ['s1'] })
  limit(upstreamStates, ['s1'])
  upstreams.unreachable.add('s1')
  await clock.run(relay.relay(requestTo('/fetch/1'), new RecordingCaller()))
  upstreams.unreachable.clear()
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/fetch/2'), caller))
  t.true(caller.complete)
})

test('a failure response is passed on if no other upstream accepts the request', async (t) => {
  const { clock, relay, upstreams, upstreamStates } = createRelay([answers(200, 'one'), answers(500, 'oops')], { services: ['s1', 's2'] })
  limit(upstreamStates, ['s1', 's2'])
  await clock.run(relay.relay(requestTo('/status/1'), new RecordingCaller()))
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/status/1', { id: 'r2' }), caller))
  t.is(new Set(upstreams.runs.map(({ instance }) => instance)).size, 2)
  t.is(upstreams.runs.length, 2)
  t.is(caller.status, 500)
  t.is(caller.body, 'oops')
})

test('an unresponsive upstream is not abandoned if no other accepts the request', async (t) => {
  const { clock, relay, upstreams, upstreamStates } = createRelay([answers(200, 'one'), answersAfter(1500, 200, 'late')], { services: ['s1', 's2'] })
  limit(upstreamStates, ['s1', 's2'])
  await clock.run(relay.relay(requestTo('/status/1'), new RecordingCaller()))
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/status/1', { id: 'r2' }), caller))
  t.is(upstreams.runs.length, 2)
  t.is(caller.body, 'late')
})

test('a stream is placed again without an engine at its limit, and nothing is sent to that engine', async (t) => {
  const { clock, relay, upstreams, placer, upstreamStates } = createRelay([answers(200, 'data: 1\n\n')])
  limit(upstreamStates, ['d1', 'p1'])
  const caller = new RecordingCaller()
  placer.ownPrefill = true
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.deepEqual(upstreams.runs.map(({ instance }) => instance), ['d1'])
  limit(upstreamStates, ['d2'])
  placer.requests.length = 0
  const again = new RecordingCaller()
  upstreams.runs.length = 0
  await clock.run(relay.relay(requestTo('/draft/2', { id: 'r2' }), again))
  t.deepEqual(upstreams.runs.map(({ instance }) => instance), ['d2'])
  t.true(placer.requests[1].avoid.includes('d1'))
  t.is(placer.placed - placer.released, 0)
  t.deepEqual(again.refused, undefined)
})

test('a stream that no engine accepts is refused as not run, with the time until one does', async (t) => {
  const { clock, relay, upstreams, placer, upstreamStates } = createRelay([answers(200, 'data: 1\n\n')])
  limit(upstreamStates, ['p1'])
  await clock.run(relay.relay(requestTo('/draft/1'), new RecordingCaller()))
  const place = placer.place.bind(placer)
  placer.place = async (request) => {
    if (request.avoid.includes('p1')) placer.refusal = { outcome: PlacementOutcome.Refused, reason: 'no engine of the model takes work', retryAfterMs: 100 }
    return place(request)
  }
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/2', { id: 'r2' }), caller))
  t.is(upstreams.prefills.length, 1)
  t.like(caller.refused, { verdict: Verdict.NotRun, code: ErrorCode.UpstreamLimit })
  t.true((caller.refused?.retryAfterMs ?? 0) > 5000)
})
