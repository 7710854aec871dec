import { ErrorCode, Verdict } from '@reelspan/core.error'
import { PlacementOutcome, UpstreamOutcome } from '@reelspan/core.messages'
import { UpstreamError } from '@reelspan/upstream.client'
import test from 'ava'
import { type ListedUpstream } from '@reelspan/config.fleet'
import { answers, answersAfter, aborts, createRelay, endsUnlessAborted, fails, stalls, pauses, RecordingCaller, refuses, requestTo, hangs } from './__utils__/createRelay.js'

function startDraining (engines: readonly ListedUpstream[], name: string): void {
  engines.filter((engine) => engine.name === name).forEach((engine) => { engine.leaving = true })
}

test('an answer is passed on whole', async (t) => {
  const { clock, relay } = createRelay([answers(200, 'script')])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/fetch/1'), caller))
  t.is(caller.status, 200)
  t.is(caller.body, 'script')
  t.true(caller.whole)
})

test('a fault of the program while a deadline is watched is told of', async (t) => {
  const errors: unknown[] = []
  const fault = new TypeError('x is not a function')
  const { clock, relay } = createRelay([answersAfter(800, 200, 'script')], { onTaskError: (error) => { errors.push(error) } })
  const ended = relay.relay(requestTo('/fetch/1'), new RecordingCaller(), 500)
  clock.settle = async () => { throw fault }
  await clock.run(ended)
  t.deepEqual(errors, [fault])
})

test('a request that may not be repeated is sent once when it may have run', async (t) => {
  const { clock, relay, upstreams } = createRelay([fails({ mayHaveRun: true })])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/fetch/1'), caller))
  t.is(upstreams.runs.length, 1)
  t.is(caller.refused?.verdict, Verdict.MayHaveRun)
})

test('a request that an upstream refused unrun is sent to another one', async (t) => {
  const { clock, relay, upstreams } = createRelay([refuses(), answers(200, 'script')])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/fetch/1'), caller))
  t.is(new Set(upstreams.runs.map(({ instance }) => instance)).size, 2)
  t.true(caller.whole)
})

test('a request that no upstream ran is refused as not run, with a time to return', async (t) => {
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

test('an upstream\'s failure is passed on when nothing may be repeated', async (t) => {
  const { clock, relay, upstreams } = createRelay([answers(500, 'oops')])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/fetch/1'), caller))
  t.is(upstreams.runs.length, 1)
  t.is(caller.status, 500)
  t.true(caller.whole)
})

test('without budget nothing is sent twice', async (t) => {
  const { clock, relay, upstreams } = createRelay([answers(500, 'oops'), answers(500, 'oops'), answers(500, 'oops')], { retryBurst: 1 })
  const callers = [new RecordingCaller(), new RecordingCaller()]
  await clock.run(relay.relay(requestTo('/status/1'), callers[0]))
  await clock.run(relay.relay(requestTo('/status/2'), callers[1]))
  t.is(upstreams.runs.length, 3)
  t.is(callers[1].status, 500)
})

test('a repeatable request leaves an upstream that is silent for another one', async (t) => {
  const { clock, relay, upstreams } = createRelay([hangs(), answers(200, 'status')])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/status/1'), caller))
  t.is(upstreams.runs.length, 2)
  t.is(caller.body, 'status')
})

test('a late answer is passed on when there is no other upstream that could answer sooner', async (t) => {
  const { clock, relay, upstreams } = createRelay([answersAfter(1500, 200, 'status')], { services: ['s1'] })
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/status/1'), caller))
  t.is(upstreams.runs.length, 1)
  t.is(caller.body, 'status')
  t.true(caller.whole)
})

test('a late answer is passed on when nothing may be sent twice any more', async (t) => {
  const { clock, relay, upstreams } = createRelay([answers(500, 'oops'), answers(200, 'status'), answersAfter(1500, 200, 'late status')], { retryBurst: 1 })
  await clock.run(relay.relay(requestTo('/status/1'), new RecordingCaller()))
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/status/2'), caller))
  t.is(upstreams.runs.length, 3)
  t.is(caller.body, 'late status')
})

test('a late answer of the last upstream that may be asked is passed on while its caller waits', async (t) => {
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
  t.true(caller.whole)
})

test('a late answer that may be resumed elsewhere is waited for when nothing may be sent twice any more', async (t) => {
  const { clock, relay, upstreams } = createRelay([answers(500, 'oops'), answers(200, 'status'), answersAfter(5000, 200, 'id: 0\ndata: a\n\n')], { retryBurst: 1 })
  await clock.run(relay.relay(requestTo('/reply/1'), new RecordingCaller()))
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/2'), caller))
  t.is(upstreams.runs.length, 3)
  t.is(caller.body, 'id: 0\ndata: a\n\n')
})

test('a stream goes on at its engine when nothing may be sent twice any more by the time it pauses', async (t) => {
  const { clock, relay, upstreams } = createRelay([pauses(200, ['id: 0\ndata: a\n\n', 'id: 1\ndata: b\n\n'], 1000), answers(500, 'oops'), answers(200, 'id: 0\ndata: c\n\n')], { retryBurst: 1 })
  const caller = new RecordingCaller()
  const work = relay.relay(requestTo('/reply/1'), caller)
  await clock.advance(20)
  await clock.run(relay.relay(requestTo('/reply/2'), new RecordingCaller()), 50)
  await clock.run(work)
  t.is(upstreams.runs.length, 3)
  t.is(caller.body, 'id: 0\ndata: a\n\nid: 1\ndata: b\n\n')
  t.true(caller.whole)
})

test('a request that may not be repeated waits for a silent upstream until its time is over, and is answered then', async (t) => {
  const { clock, relay, upstreams } = createRelay([hangs()])
  const caller = new RecordingCaller()
  const startedAtMs = clock.nowMs()
  await clock.run(relay.relay(requestTo('/fetch/1'), caller))
  t.is(clock.nowMs() - startedAtMs, 2000)
  t.is(upstreams.runs.length, 1)
  t.is(caller.refused?.code, ErrorCode.DeadlinePassed)
  t.is(caller.refused?.verdict, Verdict.MayHaveRun)
})

test('a caller\'s own deadline counts when it is the sooner one', async (t) => {
  const { clock, relay, upstreams } = createRelay([hangs()])
  const caller = new RecordingCaller()
  const startedAtMs = clock.nowMs()
  await clock.run(relay.relay(requestTo('/fetch/1'), caller, 700))
  t.is(clock.nowMs() - startedAtMs, 700)
  t.is(upstreams.runs[0].opts.deadlineMs, 700)
})

test('a request whose time ends while it waits for a connection has not run', async (t) => {
  const { clock, relay, upstreams } = createRelay([])
  upstreams.connects = new Promise(() => {})
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/fetch/1'), caller, 300))
  t.is(upstreams.runs.length, 0)
  t.is(caller.refused?.code, ErrorCode.DeadlinePassed)
  t.is(caller.refused?.verdict, Verdict.NotRun)
})

test('a box that has just started keeps requests until it has a configuration', async (t) => {
  const { clock, relay, upstreams } = createRelay([answers(200, 'script')], { configuredAfterMs: 1500 })
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/fetch/1'), caller))
  t.is(caller.body, 'script')
  t.is(upstreams.runs[0].opts.deadlineMs, 500, 'of the 2,000 ms of its route')
})

test('a box that has had no configuration for long refuses requests at once', async (t) => {
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

test('a caller that leaves while a box waits for its configuration is let go', async (t) => {
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

test('a caller\'s deadline counts while a box waits for its configuration', async (t) => {
  const { clock, relay, upstreams } = createRelay([], { configuredAfterMs: 2000 })
  const caller = new RecordingCaller()
  const startedAtMs = clock.nowMs()
  await clock.run(relay.relay(requestTo('/fetch/1'), caller, 300))
  t.is(clock.nowMs() - startedAtMs, 300)
  t.is(upstreams.runs.length, 0)
  t.is(caller.refused?.verdict, Verdict.NotRun)
})

test('an upstream stops working for a caller that has left', async (t) => {
  const { clock, relay, upstreams } = createRelay([hangs()])
  const caller = new RecordingCaller()
  const work = relay.relay(requestTo('/fetch/1'), caller)
  await clock.advance(50)
  caller.left.abort()
  await clock.run(work)
  t.true(upstreams.runs[0].opts.signal.aborted)
  t.is(relay.inFlight, 0)
})

test('an answer that breaks off is cut for the caller too', async (t) => {
  const { clock, relay } = createRelay([aborts(200, ['half'])])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/fetch/1'), caller))
  t.is(caller.body, 'half')
  t.true(caller.wasCut)
  t.false(caller.whole)
})

test('there is no answer but «no route» for a path that nothing is declared for', async (t) => {
  const { clock, relay, upstreams } = createRelay([])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/elsewhere/1'), caller))
  t.is(caller.refused?.code, ErrorCode.NoRoute)
  t.is(upstreams.runs.length, 0)
})

test('the scheduler is told how the engines of a placement answered', async (t) => {
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
  t.true(caller.whole)
  t.deepEqual(upstreams.freed, [])
  t.is(placer.released, 1)
})

test('a completion whose decode engine computes the prompt is sent there alone, without a source', async (t) => {
  const { clock, relay, upstreams, placer } = createRelay([answers(200, 'data: line\n\n')])
  placer.ownPrefill = true
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.deepEqual(upstreams.prefills, [])
  t.deepEqual(upstreams.runs.map(({ instance, opts }) => [instance, opts.source]), [['d1', undefined]])
  t.true(caller.whole)
  t.true(placer.requests[0].allowsOwnPrefill)
  t.is(placer.prefilled, 1, 'the scheduler is told that the prompt is computed')
})

test('a decode engine that computes the prompt first is given that time before it counts as silent', async (t) => {
  const { clock, relay, upstreams, placer } = createRelay([answersAfter(300, 200, 'data: line')])
  placer.ownPrefill = true
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.is(upstreams.runs.length, 1)
  t.true(caller.whole)
})

test('a completion that finds no place is refused at once with the scheduler\'s time to return', async (t) => {
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

test('what an engine keeps of a prompt is freed when no decode engine takes it', async (t) => {
  const { clock, relay, upstreams, placer } = createRelay([refuses()])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.deepEqual(upstreams.freed, [{ address: '10.0.0.1:1', handle: 'handle-1' }])
  t.is(caller.refused?.verdict, Verdict.NotRun)
  t.is(placer.released, 1)
})

test('a completion whose prefill failed has not run, and is tried again', async (t) => {
  const { clock, relay, upstreams, placer } = createRelay([])
  upstreams.prefillFailure = new UpstreamError('reset', { mayHaveRun: true, unreachable: true })
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.true(upstreams.prefills.length > 1)
  t.true(placer.requests.at(-1)?.avoid.includes('p1'))
  t.is(caller.refused?.verdict, Verdict.NotRun)
})

test('a retry of a caller is known to the scheduler by the last part of its prompt', async (t) => {
  const { clock, relay, placer } = createRelay([answers(200, 'a'), answers(200, 'b')])
  await clock.run(relay.relay(requestTo('/draft/1', { id: 'first' }), new RecordingCaller()))
  await clock.run(relay.relay(requestTo('/draft/1', { id: 'second' }), new RecordingCaller()))
  t.is(placer.requests[0].returnId, placer.requests[1].returnId)
  t.not(placer.requests[0].label.requestId, placer.requests[1].label.requestId)
})

test('a box that is about to stop refuses new requests unrun', async (t) => {
  const { clock, relay, upstreams } = createRelay([])
  relay.closeForNew()
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/fetch/1'), caller))
  t.is(caller.refused?.code, ErrorCode.Draining)
  t.is(caller.refused?.verdict, Verdict.NotRun)
  t.is(upstreams.runs.length, 0)
})

test('a resumable answer that breaks off goes on at another engine behind the last whole event', async (t) => {
  const { clock, relay, upstreams } = createRelay([
    aborts(200, ['id: 0\ndata: a\n\nid: 1\nda', 'ta: b\n\nid: 2\ndat']),
    answers(200, 'id: 2\ndata: c\n\n'),
  ])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.is(caller.body, 'id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n')
  t.true(caller.whole)
  t.is(upstreams.runs[1].opts.resumeAfter, '1')
  t.not(upstreams.runs[1].instance, upstreams.runs[0].instance)
})

test('a resumable answer that breaks off goes on at its engine, which has kept the prompt', async (t) => {
  const { clock, relay, upstreams, placer } = createRelay([aborts(200, ['id: 0\ndata: a\n\n']), answers(200, 'id: 1\ndata: b\n\n')], { computesPrompts: true })
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.deepEqual(upstreams.runs.map(({ instance, opts }) => [instance, opts.source?.handle, opts.resumeAfter]), [['d1', 'handle-1', undefined], ['d1', undefined, '0']])
  t.is(upstreams.prefills.length, 1)
  t.is(caller.body, 'id: 0\ndata: a\n\nid: 1\ndata: b\n\n')
  t.true(caller.whole)
  t.is(placer.released, 1)
})

test('an engine that breaks off twice is left for another one', async (t) => {
  const { clock, relay, upstreams } = createRelay([aborts(200, ['id: 0\ndata: a\n\n']), aborts(200, []), answers(200, 'id: 1\ndata: b\n\n')], { computesPrompts: true })
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.deepEqual(upstreams.runs.map(({ instance }) => instance), ['d1', 'd1', 'd2'])
  t.true(caller.whole)
})

test('an engine that cannot have the KV cache is asked to compute the prompt itself, also where a request may run once', async (t) => {
  const { clock, relay, upstreams } = createRelay([refuses(), answers(200, 'data: line\n\n')], { computesPrompts: true })
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.deepEqual(upstreams.runs.map(({ instance, opts }) => [instance, opts.source?.handle]), [['d1', 'handle-1'], ['d1', undefined]])
  t.true(caller.whole)
})

test('an answer that may not be resumed is not asked for again where it broke off', async (t) => {
  const { clock, relay, upstreams } = createRelay([aborts(200, ['id: 0\ndata: a\n\n']), answers(200, 'id: 1\ndata: b\n\n')], { computesPrompts: true })
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.is(upstreams.runs.length, 1)
  t.true(caller.wasCut)
})

test('a request that may run once is not asked for again at an engine that may have run it', async (t) => {
  const { clock, relay, upstreams } = createRelay([fails({ mayHaveRun: true }), answers(200, 'data: line\n\n')], { computesPrompts: true })
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.is(upstreams.runs.length, 1)
  t.is(caller.refused?.verdict, Verdict.MayHaveRun)
})

test('without budget an engine whose answer broke off is not asked again', async (t) => {
  const cut = aborts(200, ['id: 0\ndata: a\n\n'])
  const { clock, relay, upstreams } = createRelay([cut, answers(200, 'id: 1\ndata: b\n\n'), cut], { computesPrompts: true, retryBurst: 1 })
  const callers = [new RecordingCaller(), new RecordingCaller()]
  await clock.run(relay.relay(requestTo('/reply/1'), callers[0]))
  t.is(upstreams.runs.length, 2)
  await clock.run(relay.relay(requestTo('/reply/2'), callers[1]))
  t.is(upstreams.runs.length, 3)
  t.true(callers[1].wasCut)
})

test('a prompt is read again only for an answer that can still be whole in time', async (t) => {
  const { clock, relay, placer } = createRelay([aborts(200, ['id: 0\ndata: a\n\n']), answers(200, 'id: 1\ndata: b\n\n')])
  const request = requestTo('/reply/1')
  // The model takes at least 4 ms a token, and the route's time is 10,000 ms.
  const prompt = { ...request.prompt, model: 'm', promptTokens: 1000, maxTokens: 4000, prefixes: [], expectedTokens: 2400 }
  await clock.run(relay.relay({ ...request, prompt }, new RecordingCaller()))
  const [first, again] = placer.requests
  t.is(first.patienceMs, 2700)
  t.true(again.ttftLeftMs <= 400 + 4, `${again.ttftLeftMs} ms`)
  t.true(again.patienceMs !== undefined && again.patienceMs <= 400 + 4, `${again.patienceMs} ms`)
})

test('an answer that may not be resumed is cut where it broke off', async (t) => {
  const { clock, relay, upstreams } = createRelay([aborts(200, ['id: 0\ndata: a\n\nid: 1\nda'])])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.is(caller.body, 'id: 0\ndata: a\n\nid: 1\nda')
  t.true(caller.wasCut)
  t.is(upstreams.runs.length, 1)
})

test('an answer that has begun is not mixed with another engine\'s failure', async (t) => {
  const { clock, relay } = createRelay([aborts(200, ['id: 0\ndata: a\n\n']), answers(500, 'oops')])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.is(caller.body, 'id: 0\ndata: a\n\n')
  t.true(caller.wasCut)
})

test('a prefill whose answer does not come is given up, and another engine reads the prompt', async (t) => {
  const { clock, relay, upstreams, placer } = createRelay([answers(200, 'data: line\n\n')])
  upstreams.prefillHangs = true
  const caller = new RecordingCaller()
  const startedAtMs = clock.nowMs()
  const work = relay.relay(requestTo('/draft/1'), caller)
  await clock.advance(400)
  upstreams.prefillHangs = false
  await clock.run(work)
  t.true(caller.whole)
  t.true(clock.nowMs() - startedAtMs < 900)
  t.true(placer.requests[1].avoid.includes('p1'))
})

test('a resumable stream that falls silent goes on at another engine', async (t) => {
  const { clock, relay, upstreams } = createRelay([stalls(200, 'id: 0\ndata: a\n\n'), answers(200, 'id: 1\ndata: b\n\n')])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.is(caller.body, 'id: 0\ndata: a\n\nid: 1\ndata: b\n\n')
  t.true(caller.whole)
  t.true(upstreams.runs[0].opts.signal.aborted)
})

test('an engine is not given up for a caller that is slow to read', async (t) => {
  const { clock, relay, upstreams, placer } = createRelay([endsUnlessAborted(200, ['id: 0\ndata: a\n\n', 'id: 1\ndata: b\n\n'])])
  const caller = new RecordingCaller()
  caller.stopsReading = true
  const work = relay.relay(requestTo('/reply/1'), caller)
  await clock.advance(5000)
  caller.resumeReading()
  await clock.run(work)
  t.is(caller.body, 'id: 0\ndata: a\n\nid: 1\ndata: b\n\n')
  t.true(caller.whole)
  t.is(upstreams.runs.length, 1)
  t.false(placer.outcomes.some(({ outcome }) => outcome !== UpstreamOutcome.Answered))
})

test('an engine that falls silent behind a caller that is slow to read is given up once the caller reads', async (t) => {
  const { clock, relay, upstreams } = createRelay([stalls(200, 'id: 0\ndata: a\n\n'), answers(200, 'id: 1\ndata: b\n\n')])
  const caller = new RecordingCaller()
  caller.stopsReading = true
  const work = relay.relay(requestTo('/reply/1'), caller)
  await clock.advance(3000)
  t.false(upstreams.runs[0].opts.signal.aborted)
  caller.resumeReading()
  await clock.run(work, 2000)
  t.is(caller.body, 'id: 0\ndata: a\n\nid: 1\ndata: b\n\n')
  t.true(caller.whole)
})

test('a stream that may not be resumed is waited for while its caller waits', async (t) => {
  const { clock, relay, upstreams } = createRelay([stalls(200, 'id: 0\ndata: a\n\n')])
  const caller = new RecordingCaller()
  const work = relay.relay(requestTo('/draft/1'), caller)
  await clock.advance(9000)
  t.false(upstreams.runs[0].opts.signal.aborted)
  caller.left.abort()
  await clock.run(work)
  t.true(upstreams.runs[0].opts.signal.aborted)
})

test('an engine that leaves after the request was placed there gets no prompt', async (t) => {
  const { clock, relay, upstreams, engines } = createRelay([answers(200, 'data: line\n\n')])
  startDraining(engines, 'd1')
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.is(upstreams.prefills.length, 1)
  t.is(upstreams.runs[0].instance, 'd2')
  t.true(caller.whole)
})

test('an engine that leaves while the prompt is read elsewhere does not get the request', async (t) => {
  const { clock, relay, upstreams, engines } = createRelay([answers(200, 'data: line\n\n')])
  upstreams.onPrefill = () => { startDraining(engines, 'd1') }
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.is(upstreams.runs[0].instance, 'd2')
  t.deepEqual(upstreams.freed, [{ address: '10.0.0.1:1', handle: 'handle-1' }])
})

test('a stream that may be sent to one engine, and could not be sent to it, goes to another one', async (t) => {
  const { clock, relay, upstreams } = createRelay([answers(200, 'data: line')])
  upstreams.unreachable.add('d1')
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.deepEqual(upstreams.runs.map(({ instance }) => instance), ['d2'])
  t.true(caller.whole)
  t.is(upstreams.freed.length, 1, 'the prompt that was read for the first one is given back')
})

test('a stream that was sent to the one engine that it may be sent to is not sent to another', async (t) => {
  const { clock, relay, upstreams } = createRelay([refuses()])
  upstreams.unreachable.add('d1')
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.true(new Set(upstreams.runs.map(({ instance }) => instance)).size <= 1)
  t.is(caller.refused?.verdict, Verdict.NotRun)
})

test('a call goes past an upstream of which other boxes agree that it closes connections without an answer', async (t) => {
  const { clock, relay, upstreams, reports } = createRelay(Array.from({ length: 20 }, () => answers(200, 'script')))
  ;['box-1', 'box-2'].forEach((box) => reports.add({ id: box, upstream: 's1', box, ageMs: 0 }))
  for (let i = 0; i < 20; i++) await clock.run(relay.relay(requestTo('/fetch/1'), new RecordingCaller()))
  t.false(upstreams.runs.some(({ instance }) => instance === 's1'))
})

test('a call whose connection was closed without an answer is reported, and one that failed is not', async (t) => {
  const { clock, relay, upstreams, closedUnanswered } = createRelay([fails({ mayHaveRun: true, unreachable: true }), answers(500, 'oops')])
  await clock.run(relay.relay(requestTo('/fetch/1'), new RecordingCaller()))
  await clock.run(relay.relay(requestTo('/fetch/1'), new RecordingCaller()))
  t.deepEqual(closedUnanswered, [upstreams.runs[0].instance])
})
