import { ErrorCode, Verdict } from '@reelspan/core.error'
import { PlacementOutcome, UpstreamOutcome } from '@reelspan/core.messages'
import { UpstreamError } from '@reelspan/upstream.client'
import test from 'ava'
import { type ListedUpstream } from '@reelspan/config.fleet'
import { answers, answersAfter, aborts, createRelay, endsUnlessAborted, fails, stalls, pauses, RecordingCaller, refuses, requestTo, hangs } from './__utils__/createRelay.js'

function startDraining (engines: readonly ListedUpstream[], name: string): void {
  engines.filter((engine) => engine.name === name).forEach((engine) => { engine.leaving = true })
}

test('an answer is passed on completely', async (t) => {
  const { clock, relay } = createRelay([answers(200, 'script')])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/fetch/1'), caller))
  t.is(caller.status, 200)
  t.is(caller.body, 'script')
  t.true(caller.complete)
})

test('an unexpected error in the deadline task is reported', async (t) => {
  const errors: unknown[] = []
  const fault = new TypeError('x is not a function')
  const { clock, relay } = createRelay([answersAfter(800, 200, 'script')], { onTaskError: (error) => { errors.push(error) } })
  const ended = relay.relay(requestTo('/fetch/1'), new RecordingCaller(), 500)
  clock.awaitPendingInput = async () => { throw fault }
  await clock.run(ended)
  t.deepEqual(errors, [fault])
})

test('a non-repeatable request that may have run is not sent again', async (t) => {
  const { clock, relay, upstreams } = createRelay([fails({ mayHaveRun: true })])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/fetch/1'), caller))
  t.is(upstreams.runs.length, 1)
  t.is(caller.refused?.verdict, Verdict.MayHaveRun)
})

test('a request that an upstream refused without running it is sent to another one', async (t) => {
  const { clock, relay, upstreams } = createRelay([refuses(), answers(200, 'script')])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/fetch/1'), caller))
  t.is(new Set(upstreams.runs.map(({ instance }) => instance)).size, 2)
  t.true(caller.complete)
})

test('a request that no upstream ran is refused as not run, with a retry delay', async (t) => {
  const { clock, relay } = createRelay([refuses(), refuses(), refuses()])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/fetch/1'), caller))
  t.is(caller.refused?.verdict, Verdict.NotRun)
  t.true((caller.refused?.retryAfterMs ?? 0) > 0)
})

test('a repeatable request that failed is sent to another upstream, as often as its route allows', async (t) => {
  const { clock, relay, upstreams } = createRelay([answers(500, 'oops'), answers(500, 'oops again')])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/status/1'), caller))
  t.is(upstreams.runs.length, 2)
  t.is(caller.status, 500)
  t.is(caller.body, 'oops again')
})

test('an upstream\'s failure is passed on if the request is not repeatable', async (t) => {
  const { clock, relay, upstreams } = createRelay([answers(500, 'oops')])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/fetch/1'), caller))
  t.is(upstreams.runs.length, 1)
  t.is(caller.status, 500)
  t.true(caller.complete)
})

// Guards against a refusal with a promise for a request that its upstream may have run.
for (const status of [408, 429, 503]) {
  test(`a ${status} of an upstream that does not say that it has not run a request that may run once is not passed on`, async (t) => {
    for (const path of ['/fetch/1', '/draft/1']) {
      const { clock, relay, upstreams } = createRelay([answers(status, 'oops')])
      const caller = new RecordingCaller()
      await clock.run(relay.relay(requestTo(path), caller))
      t.is(upstreams.runs.length, 1)
      t.is(caller.status, undefined)
      t.is(caller.refused?.verdict, Verdict.MayHaveRun)
    }
  })
}

test('nothing is retried without retry budget', async (t) => {
  const { clock, relay, upstreams } = createRelay([answers(500, 'oops'), answers(500, 'oops'), answers(500, 'oops')], { retryBurst: 1 })
  const callers = [new RecordingCaller(), new RecordingCaller()]
  await clock.run(relay.relay(requestTo('/status/1'), callers[0]))
  await clock.run(relay.relay(requestTo('/status/2'), callers[1]))
  t.is(upstreams.runs.length, 3)
  t.is(callers[1].status, 500)
})

test('a repeatable request moves from an unresponsive upstream to another one', async (t) => {
  const { clock, relay, upstreams } = createRelay([hangs(), answers(200, 'status')])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/status/1'), caller))
  t.is(upstreams.runs.length, 2)
  t.is(caller.body, 'status')
})

test('a call that takes as long as others of its route is not given up for an upstream that could not answer before the deadline', async (t) => {
  const durationMs = 700
  const { clock, relay, upstreams } = createRelay(Array.from({ length: 6 }, () => answersAfter(durationMs, 200, 'status')))
  // After 300 ms these are sent to another upstream, since their deadline of 2,000 ms leaves enough time.
  for (const id of ['a', 'b']) await clock.run(relay.relay(requestTo(`/status/${id}`), new RecordingCaller()))
  t.is(upstreams.runs.length, 4)
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/status/c'), caller, 950))
  t.is(caller.body, 'status')
  t.is(upstreams.runs.length, 5)
})

/** Plays three calls one after another, each at two upstreams at most. */
async function playLongCalls (durationMs: number) {
  const { clock, relay, upstreams } = createRelay(Array.from({ length: 6 }, () => answersAfter(durationMs, 200, 'status')))
  const callers = Array.from({ length: 3 }, () => new RecordingCaller())
  for (const [i, caller] of callers.entries()) await clock.run(relay.relay(requestTo(`/status/${i}`), caller, 950))
  return { bodies: callers.map(({ body }) => body), runs: upstreams.runs.length }
}

test('calls that take longer than half of their deadline are answered, and no longer sent twice once two of them have ended', async (t) => {
  t.deepEqual(await playLongCalls(700), { bodies: ['status', 'status', 'status'], runs: 5 })
})

test('a call is not sent twice once two calls of its route were not answered by two upstreams each until their deadline', async (t) => {
  t.deepEqual(await playLongCalls(1200), { bodies: ['', '', ''], runs: 5 })
})

test('a late answer is passed on if there is no other upstream', async (t) => {
  const { clock, relay, upstreams } = createRelay([answersAfter(1500, 200, 'status')], { services: ['s1'] })
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/status/1'), caller))
  t.is(upstreams.runs.length, 1)
  t.is(caller.body, 'status')
  t.true(caller.complete)
})

test('a late answer is passed on if the retry budget is exhausted', async (t) => {
  const { clock, relay, upstreams } = createRelay([answers(500, 'oops'), answers(200, 'status'), answersAfter(1500, 200, 'late status')], { retryBurst: 1 })
  await clock.run(relay.relay(requestTo('/status/1'), new RecordingCaller()))
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/status/2'), caller))
  t.is(upstreams.runs.length, 3)
  t.is(caller.body, 'late status')
})

test('a late answer of the last permitted attempt is passed on while its caller waits', async (t) => {
  const { clock, relay, upstreams } = createRelay([hangs(), answersAfter(1000, 200, 'late status')])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/status/1'), caller))
  t.is(upstreams.runs.length, 2)
  t.is(caller.body, 'late status')
})

test('a stream that begins late is passed on while its caller waits', async (t) => {
  const { clock, relay, upstreams } = createRelay([answersAfter(5000, 200, 'id: 0\ndata: a\n\n')])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.is(upstreams.runs.length, 1)
  t.is(caller.body, 'id: 0\ndata: a\n\n')
  t.true(caller.complete)
})

test('a late resumable answer is waited for if the retry budget is exhausted', async (t) => {
  const { clock, relay, upstreams } = createRelay([answers(500, 'oops'), answers(200, 'status'), answersAfter(5000, 200, 'id: 0\ndata: a\n\n')], { retryBurst: 1 })
  await clock.run(relay.relay(requestTo('/reply/1'), new RecordingCaller()))
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/2'), caller))
  t.is(upstreams.runs.length, 3)
  t.is(caller.body, 'id: 0\ndata: a\n\n')
})

test('a stalled stream stays at its engine if the retry budget is exhausted', async (t) => {
  const { clock, relay, upstreams } = createRelay([pauses(200, ['id: 0\ndata: a\n\n', 'id: 1\ndata: b\n\n'], 1000), answers(500, 'oops'), answers(200, 'id: 0\ndata: c\n\n')], { retryBurst: 1 })
  const caller = new RecordingCaller()
  const work = relay.relay(requestTo('/reply/1'), caller)
  await clock.advance(20)
  await clock.run(relay.relay(requestTo('/reply/2'), new RecordingCaller()), 50)
  await clock.run(work)
  t.is(upstreams.runs.length, 3)
  t.is(caller.body, 'id: 0\ndata: a\n\nid: 1\ndata: b\n\n')
  t.true(caller.complete)
})

test('a non-repeatable request waits for an unresponsive upstream until its deadline, and is answered then', async (t) => {
  const { clock, relay, upstreams } = createRelay([hangs()])
  const caller = new RecordingCaller()
  const startedAtMs = clock.nowMs()
  await clock.run(relay.relay(requestTo('/fetch/1'), caller))
  t.is(clock.nowMs() - startedAtMs, 2000)
  t.is(upstreams.runs.length, 1)
  t.is(caller.refused?.code, ErrorCode.DeadlinePassed)
  t.is(caller.refused?.verdict, Verdict.MayHaveRun)
})

test('the caller\'s deadline applies if it is earlier than that of the route', async (t) => {
  const { clock, relay, upstreams } = createRelay([hangs()])
  const caller = new RecordingCaller()
  const startedAtMs = clock.nowMs()
  await clock.run(relay.relay(requestTo('/fetch/1'), caller, 700))
  t.is(clock.nowMs() - startedAtMs, 700)
  t.is(upstreams.runs[0].opts.deadlineMs, 700)
})

test('a request whose deadline passes while it waits for a connection has not run', async (t) => {
  const { clock, relay, upstreams } = createRelay([])
  upstreams.connects = new Promise(() => {})
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/fetch/1'), caller, 300))
  t.is(upstreams.runs.length, 0)
  t.is(caller.refused?.code, ErrorCode.DeadlinePassed)
  t.is(caller.refused?.verdict, Verdict.NotRun)
})

test('a box that has just started holds requests until it has a configuration', async (t) => {
  const { clock, relay, upstreams } = createRelay([answers(200, 'script')], { configuredAfterMs: 1500 })
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/fetch/1'), caller))
  t.is(caller.body, 'script')
  t.is(upstreams.runs[0].opts.deadlineMs, 500, 'of the 2,000 ms of its route')
})

test('a box without a configuration for a long time refuses requests at once', async (t) => {
  const { clock, relay } = createRelay([], { configuredAfterMs: 60_000 })
  const callers = [new RecordingCaller(), new RecordingCaller()]
  const startedAtMs = clock.nowMs()
  await clock.run(relay.relay(requestTo('/fetch/1'), callers[0]))
  t.true(clock.nowMs() - startedAtMs <= 2500)
  const waitedUntilMs = clock.nowMs()
  await clock.run(relay.relay(requestTo('/fetch/2'), callers[1]))
  t.is(clock.nowMs(), waitedUntilMs)
  t.deepEqual(callers.map(({ refused }) => [refused?.code, refused?.verdict]), callers.map(() => [ErrorCode.NotReady, Verdict.NotRun]))
})

test('a request ends when its caller disconnects while the box waits for its configuration', async (t) => {
  const { clock, relay, upstreams } = createRelay([], { configuredAfterMs: 2000 })
  const caller = new RecordingCaller()
  const work = relay.relay(requestTo('/fetch/1'), caller)
  await clock.advance(100)
  caller.left.abort()
  const leftAtMs = clock.nowMs()
  await clock.run(work)
  t.is(clock.nowMs(), leftAtMs)
  t.is(upstreams.runs.length, 0)
})

test('a caller\'s deadline applies while a box waits for its configuration', async (t) => {
  const { clock, relay, upstreams } = createRelay([], { configuredAfterMs: 2000 })
  const caller = new RecordingCaller()
  const startedAtMs = clock.nowMs()
  await clock.run(relay.relay(requestTo('/fetch/1'), caller, 300))
  t.is(clock.nowMs() - startedAtMs, 300)
  t.is(upstreams.runs.length, 0)
  t.is(caller.refused?.verdict, Verdict.NotRun)
})

test('an upstream call is aborted when the caller disconnects', async (t) => {
  const { clock, relay, upstreams } = createRelay([hangs()])
  const caller = new RecordingCaller()
  const work = relay.relay(requestTo('/fetch/1'), caller)
  await clock.advance(50)
  caller.left.abort()
  await clock.run(work)
  t.true(upstreams.runs[0].opts.signal.aborted)
  t.is(relay.inFlight, 0)
})

test('an interrupted answer is aborted for the caller too', async (t) => {
  const { clock, relay } = createRelay([aborts(200, ['half'])])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/fetch/1'), caller))
  t.is(caller.body, 'half')
  t.true(caller.wasAborted)
  t.false(caller.complete)
})

test('a path without a declared route is refused with «no route»', async (t) => {
  const { clock, relay, upstreams } = createRelay([])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/elsewhere/1'), caller))
  t.is(caller.refused?.code, ErrorCode.NoRoute)
  t.is(upstreams.runs.length, 0)
})

test('the outcomes at the engines of a placement are reported to the scheduler', async (t) => {
  const { clock, relay, placer } = createRelay([fails({ mayHaveRun: true }), answers(200, 'data: line')])
  await clock.run(relay.relay(requestTo('/reply/1'), new RecordingCaller()))
  t.deepEqual(placer.outcomes, [
    { engine: 'p1', outcome: UpstreamOutcome.Answered },
    { engine: 'd1', outcome: UpstreamOutcome.Failed },
    { engine: 'p1', outcome: UpstreamOutcome.Answered },
    { engine: 'd2', outcome: UpstreamOutcome.Answered },
  ])
})

test('a completion is placed, prefilled and decoded where it was placed', async (t) => {
  const { clock, relay, upstreams, placer } = createRelay([answers(200, 'data: line')])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.deepEqual(upstreams.prefills, ['p1'])
  t.is(upstreams.runs[0].instance, 'd1')
  t.deepEqual(upstreams.runs[0].opts.source, { address: '10.0.0.1:1', handle: 'handle-1' })
  t.true(caller.complete)
  t.deepEqual(upstreams.freed, [])
  t.is(placer.released, 1)
})

test('a completion whose decode engine computes the prompt is sent only there, without a prefill source', async (t) => {
  const { clock, relay, upstreams, placer } = createRelay([answers(200, 'data: line\n\n')])
  placer.ownPrefill = true
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.deepEqual(upstreams.prefills, [])
  t.deepEqual(upstreams.runs.map(({ instance, opts }) => [instance, opts.source]), [['d1', undefined]])
  t.true(caller.complete)
  t.true(placer.requests[0].allowsOwnPrefill)
  t.is(placer.prefilled, 1, 'the scheduler is notified that the prompt is computed')
})

test('the idle timeout of a decode engine that computes the prompt includes the time for that', async (t) => {
  const { clock, relay, upstreams, placer } = createRelay([answersAfter(300, 200, 'data: line')])
  placer.ownPrefill = true
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.is(upstreams.runs.length, 1)
  t.true(caller.complete)
})

test('a completion without a placement is refused at once with the scheduler\'s retry delay', async (t) => {
  const { clock, relay, placer, upstreams } = createRelay([])
  placer.refusal = { outcome: PlacementOutcome.Refused, reason: 'full', retryAfterMs: 640 }
  const caller = new RecordingCaller()
  const startedAtMs = clock.nowMs()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.is(clock.nowMs(), startedAtMs)
  t.is(caller.refused?.verdict, Verdict.NotRun)
  t.is(caller.refused?.retryAfterMs, 640)
  t.is(upstreams.prefills.length, 0)
})

test('a prefill handle is freed when no decode engine consumes it', async (t) => {
  const { clock, relay, upstreams, placer } = createRelay([refuses()])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.deepEqual(upstreams.freed, [{ address: '10.0.0.1:1', handle: 'handle-1' }])
  t.is(caller.refused?.verdict, Verdict.NotRun)
  t.is(placer.released, 1)
})

test('a completion whose prefill failed has not run, and is retried', async (t) => {
  const { clock, relay, upstreams, placer } = createRelay([])
  upstreams.prefillFailure = new UpstreamError('reset', { mayHaveRun: true, unreachable: true })
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.true(upstreams.prefills.length > 1)
  t.true(placer.requests.at(-1)?.avoid.includes('p1'))
  t.is(caller.refused?.verdict, Verdict.NotRun)
})

test('the scheduler recognizes a caller\'s retry by its last prompt prefix', async (t) => {
  const { clock, relay, placer } = createRelay([answers(200, 'a'), answers(200, 'b')])
  await clock.run(relay.relay(requestTo('/draft/1', { id: 'first' }), new RecordingCaller()))
  await clock.run(relay.relay(requestTo('/draft/1', { id: 'second' }), new RecordingCaller()))
  t.is(placer.requests[0].returnId, placer.requests[1].returnId)
  t.not(placer.requests[0].label.requestId, placer.requests[1].label.requestId)
})

test('a draining box refuses new requests as not run', async (t) => {
  const { clock, relay, upstreams } = createRelay([])
  relay.stopAccepting()
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/fetch/1'), caller))
  t.is(caller.refused?.code, ErrorCode.Draining)
  t.is(caller.refused?.verdict, Verdict.NotRun)
  t.is(upstreams.runs.length, 0)
})

test('an interrupted resumable answer continues at another engine behind the last complete event', async (t) => {
  const { clock, relay, upstreams } = createRelay([
    aborts(200, ['id: 0\ndata: a\n\nid: 1\nda', 'ta: b\n\nid: 2\ndat']),
    answers(200, 'id: 2\ndata: c\n\n'),
  ])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.is(caller.body, 'id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n')
  t.true(caller.complete)
  t.is(upstreams.runs[1].opts.resumeAfter, '1')
  t.not(upstreams.runs[1].instance, upstreams.runs[0].instance)
})

test('an interrupted resumable answer continues at its engine, which still has the prompt cached', async (t) => {
  const { clock, relay, upstreams, placer } = createRelay([aborts(200, ['id: 0\ndata: a\n\n']), answers(200, 'id: 1\ndata: b\n\n')], { computesPrompts: true })
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.deepEqual(upstreams.runs.map(({ instance, opts }) => [instance, opts.source?.handle, opts.resumeAfter]), [['d1', 'handle-1', undefined], ['d1', undefined, '0']])
  t.is(upstreams.prefills.length, 1)
  t.is(caller.body, 'id: 0\ndata: a\n\nid: 1\ndata: b\n\n')
  t.true(caller.complete)
  t.is(placer.released, 1)
})

test('a stream moves to another engine after two interruptions at one engine', async (t) => {
  const { clock, relay, upstreams } = createRelay([aborts(200, ['id: 0\ndata: a\n\n']), aborts(200, []), answers(200, 'id: 1\ndata: b\n\n')], { computesPrompts: true })
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.deepEqual(upstreams.runs.map(({ instance }) => instance), ['d1', 'd1', 'd2'])
  t.true(caller.complete)
})

test('an engine that cannot fetch the KV cache is asked to compute the prompt itself, also for a non-repeatable request', async (t) => {
  const { clock, relay, upstreams } = createRelay([refuses(), answers(200, 'data: line\n\n')], { computesPrompts: true })
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.deepEqual(upstreams.runs.map(({ instance, opts }) => [instance, opts.source?.handle]), [['d1', 'handle-1'], ['d1', undefined]])
  t.true(caller.complete)
})

test('the handle of a prefill is freed when its engine refuses the request and then computes the prompt itself', async (t) => {
  const { clock, relay, upstreams } = createRelay([refuses(), answers(200, 'data: line\n\n')], { computesPrompts: true })
  await clock.run(relay.relay(requestTo('/draft/1'), new RecordingCaller()))
  t.deepEqual(upstreams.freed.map(({ handle }) => handle), ['handle-1'])
})

test('a non-resumable answer is not requested again from the engine that interrupted it', async (t) => {
  const { clock, relay, upstreams } = createRelay([aborts(200, ['id: 0\ndata: a\n\n']), answers(200, 'id: 1\ndata: b\n\n')], { computesPrompts: true })
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.is(upstreams.runs.length, 1)
  t.true(caller.wasAborted)
})

test('a non-repeatable request is not sent again to an engine that may have run it', async (t) => {
  const { clock, relay, upstreams } = createRelay([fails({ mayHaveRun: true }), answers(200, 'data: line\n\n')], { computesPrompts: true })
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.is(upstreams.runs.length, 1)
  t.is(caller.refused?.verdict, Verdict.MayHaveRun)
})

test('an engine whose answer was interrupted is not asked again without retry budget', async (t) => {
  const cut = aborts(200, ['id: 0\ndata: a\n\n'])
  const { clock, relay, upstreams } = createRelay([cut, answers(200, 'id: 1\ndata: b\n\n'), cut], { computesPrompts: true, retryBurst: 1 })
  const callers = [new RecordingCaller(), new RecordingCaller()]
  await clock.run(relay.relay(requestTo('/reply/1'), callers[0]))
  t.is(upstreams.runs.length, 2)
  await clock.run(relay.relay(requestTo('/reply/2'), callers[1]))
  t.is(upstreams.runs.length, 3)
  t.true(callers[1].wasAborted)
})

test('a prompt is computed again only for an answer that can still be complete in time', async (t) => {
  const { clock, relay, placer } = createRelay([aborts(200, ['id: 0\ndata: a\n\n']), answers(200, 'id: 1\ndata: b\n\n')])
  const request = requestTo('/reply/1')
  // The model takes at least 4 ms per token, and the deadline of the route is 10,000 ms.
  const prompt = { ...request.prompt, model: 'm', promptTokens: 1000, maxTokens: 4000, prefixes: [], expectedTokens: 2400 }
  await clock.run(relay.relay({ ...request, prompt }, new RecordingCaller()))
  const [first, again] = placer.requests
  t.is(first.patienceMs, 2700)
  t.true(again.ttftLeftMs <= 400 + 4, `${again.ttftLeftMs} ms`)
  t.true(again.patienceMs !== undefined && again.patienceMs <= 400 + 4, `${again.patienceMs} ms`)
})

test('an interrupted answer of engines that are faster than declared is continued, though it could not be at the declared speed', async (t) => {
  const parts = ['id: 0\ndata: a\n\n', 'id: 1\ndata: b\n\n', 'id: 2\ndata: c\n\n']
  const { clock, relay, placer } = createRelay([pauses(200, parts, 1), aborts(200, ['id: 0\ndata: a\n\n']), answers(200, 'id: 1\ndata: b\n\n')])
  const request = requestTo('/reply/1')
  // 3,000 tokens take 12 s at the declared 4 ms per token, and the deadline of the route is 10 s.
  const prompt = { ...request.prompt, model: 'm', promptTokens: 1000, maxTokens: 4000, prefixes: [], expectedTokens: 3000 }
  await clock.run(relay.relay({ ...request, prompt }, new RecordingCaller()))
  await clock.run(relay.relay({ ...request, id: 'second', prompt }, new RecordingCaller()))
  t.is(placer.requests.length, 3)
  t.true(placer.requests[2].ttftLeftMs > 1000, `${placer.requests[2].ttftLeftMs} ms left for the first token`)
})

test('a non-resumable answer is aborted where it was interrupted', async (t) => {
  const { clock, relay, upstreams } = createRelay([aborts(200, ['id: 0\ndata: a\n\nid: 1\nda'])])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.is(caller.body, 'id: 0\ndata: a\n\nid: 1\nda')
  t.true(caller.wasAborted)
  t.is(upstreams.runs.length, 1)
})

test('an answer that has begun is not continued with another engine\'s failure response', async (t) => {
  const { clock, relay } = createRelay([aborts(200, ['id: 0\ndata: a\n\n']), answers(500, 'oops')])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.is(caller.body, 'id: 0\ndata: a\n\n')
  t.true(caller.wasAborted)
})

test('a prefill without an answer is aborted, and the request is placed without its engine', async (t) => {
  const { clock, relay, upstreams, placer } = createRelay([answers(200, 'data: line\n\n')])
  upstreams.prefillHangs = true
  const caller = new RecordingCaller()
  const startedAtMs = clock.nowMs()
  const work = relay.relay(requestTo('/draft/1'), caller)
  await clock.advance(400)
  upstreams.prefillHangs = false
  await clock.run(work)
  t.true(caller.complete)
  t.true(clock.nowMs() - startedAtMs < 900)
  t.true(placer.requests[1].avoid.includes('p1'))
})

test('a resumable stream that stalls continues at another engine', async (t) => {
  const { clock, relay, upstreams } = createRelay([stalls(200, 'id: 0\ndata: a\n\n'), answers(200, 'id: 1\ndata: b\n\n')])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.is(caller.body, 'id: 0\ndata: a\n\nid: 1\ndata: b\n\n')
  t.true(caller.complete)
  t.true(upstreams.runs[0].opts.signal.aborted)
})

test('a caller that reads slowly does not cause its engine to be abandoned', async (t) => {
  const { clock, relay, upstreams, placer } = createRelay([endsUnlessAborted(200, ['id: 0\ndata: a\n\n', 'id: 1\ndata: b\n\n'])])
  const caller = new RecordingCaller()
  caller.stopsReading = true
  const work = relay.relay(requestTo('/reply/1'), caller)
  await clock.advance(5000)
  caller.resumeReading()
  await clock.run(work)
  t.is(caller.body, 'id: 0\ndata: a\n\nid: 1\ndata: b\n\n')
  t.true(caller.complete)
  t.is(upstreams.runs.length, 1)
  t.false(placer.outcomes.some(({ outcome }) => outcome !== UpstreamOutcome.Answered))
})

test('an engine that stalled while the caller did not read is abandoned once the caller reads', async (t) => {
  const { clock, relay, upstreams } = createRelay([stalls(200, 'id: 0\ndata: a\n\n'), answers(200, 'id: 1\ndata: b\n\n')])
  const caller = new RecordingCaller()
  caller.stopsReading = true
  const work = relay.relay(requestTo('/reply/1'), caller)
  await clock.advance(3000)
  t.false(upstreams.runs[0].opts.signal.aborted)
  caller.resumeReading()
  await clock.run(work, 2000)
  t.is(caller.body, 'id: 0\ndata: a\n\nid: 1\ndata: b\n\n')
  t.true(caller.complete)
})

test('a non-resumable stream that stalls is kept while its caller waits', async (t) => {
  const { clock, relay, upstreams } = createRelay([stalls(200, 'id: 0\ndata: a\n\n')])
  const caller = new RecordingCaller()
  const work = relay.relay(requestTo('/draft/1'), caller)
  await clock.advance(9000)
  t.false(upstreams.runs[0].opts.signal.aborted)
  caller.left.abort()
  await clock.run(work)
  t.true(upstreams.runs[0].opts.signal.aborted)
})

test('an engine that drains after the placement does not get the request', async (t) => {
  const { clock, relay, upstreams, engines } = createRelay([answers(200, 'data: line\n\n')])
  startDraining(engines, 'd1')
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.is(upstreams.prefills.length, 1)
  t.is(upstreams.runs[0].instance, 'd2')
  t.true(caller.complete)
})

test('a decode engine that drains during the prefill does not get the request', async (t) => {
  const { clock, relay, upstreams, engines } = createRelay([answers(200, 'data: line\n\n')])
  upstreams.onPrefill = () => { startDraining(engines, 'd1') }
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.is(upstreams.runs[0].instance, 'd2')
  t.deepEqual(upstreams.freed, [{ address: '10.0.0.1:1', handle: 'handle-1' }])
})

test('a stream limited to one attempt goes to another engine if the connection to the first failed', async (t) => {
  const { clock, relay, upstreams } = createRelay([answers(200, 'data: line')])
  upstreams.unreachable.add('d1')
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.deepEqual(upstreams.runs.map(({ instance }) => instance), ['d2'])
  t.true(caller.complete)
  t.is(upstreams.freed.length, 1, 'the handle of the first prefill is freed')
})

test('a stream limited to one attempt is not sent to another engine after it was sent to one', async (t) => {
  const { clock, relay, upstreams } = createRelay([refuses()])
  upstreams.unreachable.add('d1')
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.true(new Set(upstreams.runs.map(({ instance }) => instance)).size <= 1)
  t.is(caller.refused?.verdict, Verdict.NotRun)
})

test('a call avoids an upstream that several boxes reported for closing connections without an answer', async (t) => {
  const { clock, relay, upstreams, reports } = createRelay(Array.from({ length: 20 }, () => answers(200, 'script')))
  ;['box-1', 'box-2'].forEach((box) => reports.add({ id: box, upstream: 's1', box, ageMs: 0 }))
  for (let i = 0; i < 20; i++) await clock.run(relay.relay(requestTo('/fetch/1'), new RecordingCaller()))
  t.false(upstreams.runs.some(({ instance }) => instance === 's1'))
})

test('a call whose connection was closed without an answer is reported, and a failure response is not', async (t) => {
  const { clock, relay, upstreams, closedUnanswered } = createRelay([fails({ mayHaveRun: true, unreachable: true }), answers(500, 'oops')])
  await clock.run(relay.relay(requestTo('/fetch/1'), new RecordingCaller()))
  await clock.run(relay.relay(requestTo('/fetch/1'), new RecordingCaller()))
  t.deepEqual(closedUnanswered, [upstreams.runs[0].instance])
})
