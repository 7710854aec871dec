import { LogEvent } from '@reelspan/telemetry.log'
import test from 'ava'
import { answers, aborts, createRelay, RecordingCaller, refuses, requestTo, hangs } from './__utils__/createRelay.js'

function endedLogFields ({ log }: ReturnType<typeof createRelay>) {
  return log.entries.find(({ event }) => event === LogEvent.RequestEnded)?.fields
}

test('the log line of an ended request has the targets of its route and the status that was passed on', async (t) => {
  const relay = createRelay([answers(500, 'oops')])
  await relay.clock.run(relay.relay.relay(requestTo('/fetch/1'), new RecordingCaller()))
  t.like(endedLogFields(relay), { route: 'fetch', kind: 'call', ttftTargetMs: 200, tbtTargetMs: undefined, status: 500 })
})

test('the log line of an ended request has the time at which it was last sent to an upstream', async (t) => {
  const relay = createRelay([hangs(), answers(200, 'state')])
  await relay.clock.run(relay.relay.relay(requestTo('/status/1'), new RecordingCaller()))
  t.like(endedLogFields(relay), { kind: 'repeatableCall', lastSentMs: 300, status: 200 })
})

test('the log line of a request that was never sent has no time of sending and no status', async (t) => {
  const relay = createRelay([])
  relay.relay.stopAccepting()
  await relay.clock.run(relay.relay.relay(requestTo('/reply/1'), new RecordingCaller()))
  const end = endedLogFields(relay)
  t.like(end, { kind: 'resumableStream', tbtTargetMs: 76 })
  t.is(end?.lastSentMs, undefined)
  t.is(end?.status, undefined)
})

test('the log lines of attempts with one prompt have the same hash and no part of the prompt', async (t) => {
  const relay = createRelay([])
  relay.relay.stopAccepting()
  const prompt = { model: 'm', promptTokens: 30, maxTokens: 10, prefixes: [{ digest: 'shared', tokens: 10 }, { digest: 'own-part', tokens: 30 }] }
  await relay.clock.run(relay.relay.relay(requestTo('/reply/1', { id: 'first', prompt }), new RecordingCaller()))
  await relay.clock.run(relay.relay.relay(requestTo('/reply/1', { id: 'second', prompt }), new RecordingCaller()))
  await relay.clock.run(relay.relay.relay(requestTo('/reply/1', { id: 'other', prompt: { ...prompt, prefixes: prompt.prefixes.slice(0, 1) } }), new RecordingCaller()))
  const [first, second, other] = relay.log.entries.filter(({ event }) => event === LogEvent.RequestEnded).map(({ fields }) => String(fields?.promptHash))
  t.is(first, second)
  t.not(first, other)
  t.notRegex(first, /own-part|undefined/)
})

test('an interrupted run is logged with the identity hash that its attempts share', async (t) => {
  const { clock, relay, probe, log } = createRelay([aborts(200, ['id: 0\ndata: a\n\n']), aborts(200, [])])
  probe.ended.add('10.0.1.1:1')
  await clock.run(relay.relay(requestTo('/draft/1', { id: 'first' }), new RecordingCaller()))
  await clock.run(relay.relay(requestTo('/draft/1', { id: 'second' }), new RecordingCaller()))
  await clock.advance(10)
  const interruptions = log.entries.filter(({ event }) => event === LogEvent.RunBrokeOff).map(({ fields }) => fields)
  t.like(interruptions, [{ request: 'first', upstream: 'd1', presence: 'refuses' }, { request: 'second', upstream: 'd2', presence: 'listens' }])
  t.is(interruptions[0]?.contentHash, interruptions[1]?.contentHash)
})

test('a run that was cancelled locally or never sent is not logged as interrupted', async (t) => {
  const { clock, relay, log } = createRelay([hangs(), refuses(), refuses(), refuses()])
  const caller = new RecordingCaller()
  const ended = relay.relay(requestTo('/draft/1'), caller)
  await clock.advance(100)
  caller.left.abort()
  await clock.run(ended)
  await clock.run(relay.relay(requestTo('/fetch/1'), new RecordingCaller()))
  t.deepEqual(log.entries.filter(({ event }) => event === LogEvent.RunBrokeOff), [])
})
