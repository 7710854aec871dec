import { ErrorCode, Verdict } from '@reelspan/core.error'
import { LogEvent } from '@reelspan/telemetry.log'
import test from 'ava'
import { answers, createRelay, RecordingCaller, refuses, requestTo } from './__utils__/createRelay.js'

test('a decode engine that requests a backoff during the prefill is not sent the request, and the handle is freed', async (t) => {
  const { clock, relay, upstreams, placer, backoffs } = createRelay([answers(200, 'id: 0\ndata: 1\n\n')])
  upstreams.onPrefill = () => backoffs.start('d1', 3000)
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.deepEqual(upstreams.runs.map(({ instance }) => instance), ['d2'])
  t.is(upstreams.freed.length, 1)
  t.true(placer.requests[1].avoid.includes('d1'))
  t.true(caller.complete)
})

test('a decode engine that refuses with a backoff is not asked again to compute the prompt itself', async (t) => {
  const { clock, relay, upstreams, signals } = createRelay([async (opts) => {
    signals.observe('d1', { succeeded: false, backoff: { durationMs: 3000, text: '3' } }, 0)
    return refuses()(opts)
  }, answers(200, 'id: 0\ndata: 1\n\n')], { computesPrompts: true })
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.deepEqual(upstreams.runs.map(({ instance }) => instance), ['d1', 'd2'])
})

test('placements avoid exactly the engines that asked this box to back off', async (t) => {
  const { clock, relay, placer, backoffs } = createRelay([answers(200, 'data: 1\n\n'), answers(200, 'data: 1\n\n')])
  backoffs.start('d3', 3000)
  await clock.run(relay.relay(requestTo('/draft/1'), new RecordingCaller()))
  t.deepEqual(placer.requests[0].avoid, ['d3'])
  await clock.advance(3000)
  await clock.run(relay.relay(requestTo('/draft/2', { id: 'r2' }), new RecordingCaller()))
  t.deepEqual(placer.requests[1].avoid, [])
})

test('calls go to other services during the backoff of one, without waiting', async (t) => {
  const { clock, relay, upstreams, backoffs, log } = createRelay(Array.from({ length: 4 }, () => answers(200, 'one')))
  backoffs.start('s1', 3000)
  const callers = Array.from({ length: 4 }, () => new RecordingCaller())
  for (const [i, caller] of callers.entries()) await clock.run(relay.relay(requestTo('/fetch/1', { id: `r${i}` }), caller))
  t.false(upstreams.runs.some(({ instance }) => instance === 's1'))
  t.true(callers.every(({ complete }) => complete))
  t.false(log.entries.some(({ event }) => event === LogEvent.UpstreamsAtLimit))
})

test('callers that are refused during a backoff get ordered retry times, from its end to soon after', async (t) => {
  const { clock, relay, upstreams, backoffs, log } = createRelay([], { services: ['s1', 's2'] })
  const startMs = clock.nowMs()
  backoffs.start('s1', 2000)
  backoffs.start('s2', 5000)
  const retryTimesMs: number[] = []
  for (let i = 0; i < 20; i++) {
    const caller = new RecordingCaller()
    await clock.run(relay.relay(requestTo('/fetch/1', { id: `r${i}` }), caller))
    t.like(caller.refused, { verdict: Verdict.NotRun, code: ErrorCode.UpstreamBackoff })
    retryTimesMs.push(clock.nowMs() - startMs + (caller.refused?.retryAfterMs ?? 0))
    await clock.advance(95)
  }
  t.is(upstreams.runs.length, 0)
  t.is(retryTimesMs[0], 2000)
  t.true(retryTimesMs.every((atMs, i) => i === 0 || atMs > retryTimesMs[i - 1]), retryTimesMs.join())
  t.true(retryTimesMs[19] > 2500 && retryTimesMs[19] <= 3000, `${retryTimesMs[19]}`)
  t.true(log.entries.some(({ event, fields }) => event === LogEvent.UpstreamsBackingOff && fields?.retryAfterMs !== undefined))
})

test('a service that refused with a backoff gets calls again as soon as it is over', async (t) => {
  const { clock, relay, upstreams, signals } = createRelay([async (opts) => {
    signals.observe('s1', { succeeded: false, backoff: { durationMs: 500, text: '0.5' } }, 0)
    return refuses()(opts)
  }, answers(200, 'one')], { services: ['s1'] })
  await clock.run(relay.relay(requestTo('/fetch/1'), new RecordingCaller()))
  await clock.advance(500)
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/fetch/2', { id: 'r2' }), caller))
  t.is(upstreams.runs.length, 2)
  t.true(caller.complete)
})

test('a refusal names a bounded number of the upstreams of a large pool', async (t) => {
  const services = Array.from({ length: 3000 }, (_, i) => `s${i}`)
  const { clock, relay, backoffs, log } = createRelay([], { services })
  services.forEach((service) => backoffs.start(service, 2000))
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/fetch/1'), caller))
  t.is(caller.refused?.code, ErrorCode.UpstreamBackoff)
  t.regex(caller.refused?.message ?? '', /and 2960 more$/)
  const line = log.entries.find(({ event }) => event === LogEvent.UpstreamsBackingOff)
  t.is((line?.fields?.upstreams as string[]).length, 40)
})
