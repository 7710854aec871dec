import { LogEvent } from '@reelspan/telemetry.log'
import { UpstreamError } from '@reelspan/upstream.client'
import test, { type ExecutionContext } from 'ava'
import { createRelay, hangs, pauses, RecordingCaller, repeats, requestTo, type Script, streams } from './__utils__/createRelay.js'

const FIRST = 'id: 0\ndata: a\n\n'
const SECOND = 'id: 1\ndata: b\n\n'
const PIECE_BYTES = 65_536
/** More than any bound, so that an answer that is read to its end shows. */
const FLOOD_BYTES = 8_388_608

function floods (head: string, piece: string): Script {
  return repeats(head, piece.repeat(PIECE_BYTES / piece.length), FLOOD_BYTES / PIECE_BYTES)
}

const FLOODS: Record<string, { piece: string, bound: string, maxBytes: number }> = {
  'an event': { piece: 'xxxxxxxx', bound: 'event', maxBytes: 1_048_576 },
  'an event of many lines': { piece: 'data: x\n', bound: 'event', maxBytes: 1_048_576 },
  'an event with comments': { piece: 'x\n:xxxxx\n', bound: 'event', maxBytes: 1_048_576 },
  comments: { piece: ':xxxxx\n\n', bound: 'betweenEvents', maxBytes: 65_536 },
  'empty lines': { piece: '\n', bound: 'betweenEvents', maxBytes: 65_536 },
}

function assertCutOff (t: ExecutionContext, { log, metrics }: Pick<ReturnType<typeof createRelay>, 'log' | 'metrics'>, { bound, maxBytes }: { bound: string, maxBytes: number }): void {
  const logged = log.entries.filter(({ event }) => event === LogEvent.AnswerOversized).map(({ fields }) => fields)
  t.deepEqual(logged.map((fields) => [fields?.answer, fields?.upstream, fields?.limit]), [[bound, 'd1', maxBytes]])
  t.true((logged[0]?.readBytes as number) <= maxBytes + 3 * PIECE_BYTES)
  t.true(metrics.exposition().includes(`reelspan_oversized_answers_total{answer="${bound}"} 1`))
}

Object.entries(FLOODS).forEach(([what, { piece, ...expected }]) => {
  test(`a stream whose engine sends ${what} without end goes on elsewhere behind its last complete event`, async (t) => {
    const created = createRelay([floods(FIRST, piece), streams(SECOND)], { computesPrompts: true })
    const caller = new RecordingCaller()
    await created.clock.run(created.relay.relay(requestTo('/reply/1'), caller))
    t.deepEqual(caller.body.split('\n').filter((line) => line !== '' && !line.startsWith(':')), ['id: 0', 'data: a', 'id: 1', 'data: b'])
    t.true(caller.complete)
    t.deepEqual(created.upstreams.runs.map(({ instance, opts: { resumeAfter } }) => [instance, resumeAfter]), [['d1', undefined], ['d2', '0']])
    assertCutOff(t, created, expected)
  })
})

test('a stream whose engine sends a first event without end begins elsewhere', async (t) => {
  const created = createRelay([floods('id: 0\ndata: ', 'x'), streams(FIRST)])
  const caller = new RecordingCaller()
  await created.clock.run(created.relay.relay(requestTo('/reply/1'), caller))
  t.is(caller.body, FIRST)
  assertCutOff(t, created, { bound: 'event', maxBytes: 1_048_576 })
})

test('a stream whose engine sends one comment without end begins elsewhere', async (t) => {
  const created = createRelay([floods(':', 'x'), streams(FIRST)])
  const caller = new RecordingCaller()
  await created.clock.run(created.relay.relay(requestTo('/reply/1'), caller))
  t.is(caller.body, FIRST)
  assertCutOff(t, created, { bound: 'betweenEvents', maxBytes: 65_536 })
})

test('a stream that may not be resumed ends visibly when its engine sends an event without end', async (t) => {
  const created = createRelay([floods(FIRST, 'x')])
  const caller = new RecordingCaller()
  await created.clock.run(created.relay.relay(requestTo('/draft/1'), caller))
  t.true(caller.wasAborted)
  t.false(caller.complete)
  assertCutOff(t, created, { bound: 'event', maxBytes: 1_048_576 })
})

test('a failure without end that is passed on to its caller ends visibly at a bound', async (t) => {
  const flood = repeats('oops', 'x'.repeat(PIECE_BYTES), FLOOD_BYTES / PIECE_BYTES, ['Content-Type', 'text/plain'])
  const created = createRelay([async (opts) => ({ ...await flood(opts), status: 500 })])
  const caller = new RecordingCaller()
  await created.clock.run(created.relay.relay(requestTo('/draft/1'), caller))
  t.is(caller.status, 500)
  t.true(caller.wasAborted)
  assertCutOff(t, created, { bound: 'body', maxBytes: 1_048_576 })
})

test('a long failure that ends is passed on whole', async (t) => {
  const body = 'x'.repeat(1_000_000)
  const { clock, relay } = createRelay([async () => ({ status: 500, notRun: false, headers: ['Content-Type', 'text/plain'], body: (async function * () { yield Buffer.from(body) })() })])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.is(caller.body, body)
  t.true(caller.complete)
})

test('an engine that sends without end is suspected at once', async (t) => {
  const created = createRelay([floods(FIRST, 'x'), streams(SECOND), streams(FIRST)])
  await created.clock.run(created.relay.relay(requestTo('/reply/1'), new RecordingCaller()))
  await created.clock.run(created.relay.relay(requestTo('/reply/2'), new RecordingCaller()))
  t.true(created.log.entries.some(({ event, fields }) => event === LogEvent.UpstreamSuspected && fields?.upstream === 'd1'))
})

test('heartbeats and a large event of a sound engine, and a long answer that is no stream of events, are whole', async (t) => {
  const texts = [':\n\n'.repeat(10_000) + FIRST, `data: ${'x'.repeat(1_000_000)}\n\n`]
  for (const text of texts) {
    const { clock, relay } = createRelay([streams(text)])
    const caller = new RecordingCaller()
    await clock.run(relay.relay(requestTo('/reply/1'), caller))
    t.is(caller.body, text)
  }
  const { clock, relay } = createRelay([repeats('{"text":"', 'x'.repeat(PIECE_BYTES), 64, [])])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.is(caller.body.length, 9 + 64 * PIECE_BYTES)
  t.true(caller.complete)
})

const EVENT_STREAM = ['Content-Type', 'text/event-stream']
/** Shorter than a stream may be silent. */
const PAUSE_MS = 100

const NO_SIGNS_OF_LIFE: Record<string, string> = {
  'an event': 'x',
  'a comment': ':x',
  'large comments': `:${'x'.repeat(200)}\n\n`,
}

Object.entries(NO_SIGNS_OF_LIFE).forEach(([what, piece]) => {
  test(`a stream whose engine slowly sends ${what} without end is written by another engine before its deadline`, async (t) => {
    const { clock, relay, upstreams } = createRelay([pauses(200, [FIRST, ...Array.from({ length: 90 }, () => piece)], PAUSE_MS, EVENT_STREAM), streams(SECOND)])
    const caller = new RecordingCaller()
    const startedAtMs = clock.nowMs()
    await clock.run(relay.relay(requestTo('/reply/1'), caller))
    t.true(caller.complete)
    t.is(upstreams.runs.length, 2)
    t.true(upstreams.runs[0].opts.signal.aborted)
    t.true(clock.nowMs() - startedAtMs < 4000)
  })
})

test('a comment of a silent engine does not cancel the attempt beside it', async (t) => {
  const silent = pauses(200, [FIRST, ':\n\n', ':\n\n'], 700, EVENT_STREAM)
  const { clock, relay, upstreams } = createRelay([silent, pauses(200, ['', SECOND], 1000, EVENT_STREAM)])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.is(upstreams.runs.length, 2)
  t.is(caller.body, FIRST + SECOND)
})

test('a stream whose engine sends heartbeats while it computes is not sent to another engine', async (t) => {
  const heartbeats = Array.from({ length: 80 }, (_, i) => i % 2 === 0 ? ': keep-alive\n\n' : ':\n')
  const { clock, relay, upstreams } = createRelay([pauses(200, [FIRST, ...heartbeats, SECOND], PAUSE_MS, EVENT_STREAM)])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.is(upstreams.runs.length, 1)
  t.is(caller.body, [FIRST, ...heartbeats, SECOND].join(''))
})

test('passing on the parts of an event without end does not make them a sign of life', async (t) => {
  const { clock, relay, log } = createRelay([pauses(200, [FIRST, ...Array.from({ length: 90 }, () => 'x')], PAUSE_MS, EVENT_STREAM)])
  const work = relay.relay(requestTo('/draft/1'), new RecordingCaller())
  await clock.advance(3000)
  t.true(log.entries.some(({ event }) => event === LogEvent.ExchangeSilent))
  await clock.run(work)
})

/** Answers with a body that has no end, fast or as slow as given. Tells what was read of it. */
function failsWithoutEnd (status: number, notRun: boolean, pauseMs: number, read: { bytes: number, ended: boolean }): Script {
  async function * body (signal: AbortSignal, pause: () => Promise<void>) {
    try {
      while (!signal.aborted) {
        if (pauseMs > 0) await pause()
        if (signal.aborted) throw new UpstreamError('aborted', { mayHaveRun: true })
        read.bytes += 200
        yield Buffer.alloc(200, 'x')
      }
    } finally {
      read.ended = true
    }
  }
  return async ({ clock, signal }) => ({ status, notRun, headers: [], body: body(signal, () => clock.sleep(pauseMs, { signal })) })
}

for (const [path, status, notRun, answer] of [['/reply/1', 500, false, FIRST], ['/reply/1', 421, true, FIRST], ['/status/1', 503, true, 'ok'], ['/status/1', 500, false, 'ok']] as const) {
  for (const pauseMs of [0, 30]) {
    test(`a body without end of an unused ${status} is not read on while the request goes on (${path}, ${pauseMs === 0 ? 'fast' : 'slow'})`, async (t) => {
      const read = { bytes: 0, ended: false }
      const { clock, relay } = createRelay([failsWithoutEnd(status, notRun, pauseMs, read), pauses(200, [answer, answer], 1500)])
      const caller = new RecordingCaller()
      const work = relay.relay(requestTo(path), caller)
      await clock.advance(1200)
      t.true(read.ended)
      t.true(read.bytes <= 2 * 65_536)
      await clock.run(work)
      t.is(caller.body, answer + answer)
    })
  }
}

test('a stream whose delegate sends an event without end goes on at another delegate', async (t) => {
  const addresses = ['10.0.4.1:1', '10.0.5.1:1', '10.0.6.1:1']
  let calls = 0
  const { clock, relay, upstreams, probe, delegator, log } = createRelay([hangs()], {
    probedAddresses: addresses,
    delegate: async (_request, answer) => {
      const isFirst = calls++ === 0
      answer.onSent(isFirst ? 'd2' : 'd3', '')
      answer.onHead(200, EVENT_STREAM)
      await answer.onData(Buffer.from(isFirst ? FIRST : SECOND))
      if (!isFirst) return
      for (let i = 0; i < FLOOD_BYTES / PIECE_BYTES; i++) await answer.onData(Buffer.alloc(PIECE_BYTES, 'x'))
    },
  })
  addresses.forEach((address) => probe.ended.add(address))
  const caller = new RecordingCaller()
  const work = relay.relay(requestTo('/outline/1'), caller)
  await clock.advance(10)
  upstreams.prefillHangs = true
  await clock.run(work)
  t.is(delegator.requests.length, 2)
  t.is(caller.body, FIRST + SECOND)
  t.deepEqual(log.entries.filter(({ event }) => event === LogEvent.AnswerOversized).map(({ fields }) => fields?.upstream), ['the delegate'])
})
