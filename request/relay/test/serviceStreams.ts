import { ErrorCode, Verdict } from '@reelspan/core.error'
import test from 'ava'
import { aborts, createRelay, fails, hangs, pauses, RecordingCaller, requestTo, streams } from './__utils__/createRelay.js'

const REST = 'id: 5\ndata: f\n\n'
const PROBED_ADDRESSES = ['10.0.4.1:1', '10.0.5.1:1', '10.0.6.1:1']
const TAKEN_UP = { id: 'r2', resumeAfter: '4' }

function resumedAfter ({ upstreams }: ReturnType<typeof createRelay>): (string | undefined)[] {
  return upstreams.runs.map(({ opts }) => opts.resumeAfter)
}

// Guards against a stream of a service that begins at its first event again when a client takes it up.
test('a stream of a service that a client takes up goes on behind the event that the client names', async (t) => {
  const created = createRelay([streams(REST), streams(REST)])
  const { clock, relay } = created
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/notes/1', TAKEN_UP), caller))
  await clock.run(relay.relay(requestTo('/notes/2'), new RecordingCaller()))
  t.deepEqual(resumedAfter(created), ['4', undefined])
  t.is(caller.body, REST)
})

test('a stream of a service that a client takes up goes on behind that event also when it is sent again', async (t) => {
  const created = createRelay([fails({ mayHaveRun: true }), streams(REST)])
  const { clock, relay } = created
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/notes/1', TAKEN_UP), caller))
  t.deepEqual(resumedAfter(created), ['4', '4'])
  t.is(caller.body, REST)
})

test('a stream of a service that is run for another box goes on behind the event that the client names', async (t) => {
  const created = createRelay([streams(REST)])
  const { clock, relay } = created
  const caller = new RecordingCaller()
  await clock.run(relay.relayDelegated(requestTo('/notes/1', TAKEN_UP), caller, { box: 'box-2', elapsedMs: 0, deadlineMs: 2000, urgency: 1, attemptsUsed: 0, onSent: () => {} }))
  t.deepEqual(resumedAfter(created), ['4'])
  t.is(caller.body, REST)
})

test('services receive the last event id of any route as the client sent it', async (t) => {
  const created = createRelay([streams(REST), streams(REST)])
  const { clock, relay } = created
  await clock.run(relay.relay(requestTo('/fetch/1', TAKEN_UP), new RecordingCaller()))
  await clock.run(relay.relay(requestTo('/status/1', { ...TAKEN_UP, resumeAfter: 'five' }), new RecordingCaller()))
  t.deepEqual(resumedAfter(created), ['4', 'five'])
})

test('a stream of a service that breaks off ends visibly for its caller', async (t) => {
  const { clock, relay, upstreams } = createRelay([aborts(200, [REST, 'id: 6\nda'])])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/notes/1', TAKEN_UP), caller))
  t.is(upstreams.runs.length, 1)
  t.true(caller.body.startsWith(REST))
  t.false(caller.complete)
})

// Guards against events that a caller gets twice, of an upstream that ignores where it should go on.
test('a stream that its upstream begins anew is not passed on behind events that the caller has', async (t) => {
  for (const path of ['/notes/1', '/reply/1']) {
    const { clock, relay, upstreams } = createRelay(Array.from({ length: 4 }, () => pieces(['id: ', '4\ndata: e\n', '\nid: 5\n'])))
    const caller = new RecordingCaller()
    await clock.run(relay.relay(requestTo(path, TAKEN_UP), caller))
    t.true(upstreams.runs.length > 0)
    t.is(caller.body, '', path)
    t.false(caller.complete)
  }
})

test('a stream that goes on behind the event is passed on unchanged however its parts arrive, with comments and without ids', async (t) => {
  for (const parts of [['id', ': 5\nda', 'ta: f\n\nid: 6\ndata: g\n', '\n'], [': x\n\n', 'data: f\n\n', 'id: 4\ndata: g\n\n'], ['id: a\ndata: f\n\n'], ['id: 5\nda']]) {
    const { clock, relay } = createRelay([pieces(parts)])
    const caller = new RecordingCaller()
    await clock.run(relay.relay(requestTo('/fetch/1', TAKEN_UP), caller))
    t.is(caller.body, parts.join(''))
  }
})

// Guards against a stream that is joined from two services.
test('a stream is not taken up at a service while its route leads, or has led lately, to another service or model as well', async (t) => {
  for (const [path, moved] of [['/mixed/1', false], ['/notes/1', true]] as const) {
    const { clock, relay, upstreams, origins } = createRelay([streams(REST)])
    origins.moved = moved
    const caller = new RecordingCaller()
    await clock.run(relay.relay(requestTo(path, TAKEN_UP), caller))
    t.like(caller.refused, { verdict: Verdict.NotRun, code: ErrorCode.StreamOriginUnknown, retryAfterMs: undefined }, path)
    t.is(upstreams.runs.length, 0)
    await clock.run(relay.relay(requestTo(path), new RecordingCaller()))
    t.is(upstreams.runs.length, 1, 'one that begins is sent')
  }
})

test('a box that loses its paths tells the one that runs a stream of a service behind which event it goes on', async (t) => {
  const { clock, relay, probe, delegator } = createRelay([hangs()], {
    services: ['s1'],
    probedAddresses: PROBED_ADDRESSES,
    delegate: async (_request, { onSent, onHead, onData }) => {
      onSent('s1', '')
      onHead(200, ['Content-Type', 'text/event-stream'])
      await onData(Buffer.from(REST))
    },
  })
  PROBED_ADDRESSES.forEach((address) => probe.ended.add(address))
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/notes/1', TAKEN_UP), caller))
  t.deepEqual(delegator.requests.map(({ request }) => request.resumeAfter), ['4'])
  t.is(caller.body, REST)
})

/** Sends parts of a stream of events. */
function pieces (parts: string[]) {
  return pauses(200, parts, 1, ['Content-Type', 'text/event-stream'])
}
