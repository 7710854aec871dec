import { Verdict } from '@reelspan/core.error'
import { PlacementOutcome } from '@reelspan/core.messages'
import { LogEvent } from '@reelspan/telemetry.log'
import test, { type ExecutionContext } from 'ava'
import { answers, aborts, createRelay, fails, stalls, RecordingCaller, requestTo, type Script, hangs } from './__utils__/createRelay.js'

/** What an upstream does for a caller that has left is ended within this time: half of it is for the way to the upstream. */
const RELEASED_WITHIN_MS = 250
/** Longer than any request of these tests could take. */
const LONG_AFTER_MS = 30_000
const EVENT = 'id: 0\ndata: a\n\n'

/** A moment that the test chooses. */
function deferred () {
  let resolveDeferred = () => {}
  const reached = new Promise<void>((resolve) => { resolveDeferred = resolve })
  return { reached, come: resolveDeferred }
}

type TestRelay = ReturnType<typeof createRelay>

/** Starts a request, lets its caller leave after a while and says what has been asked of upstreams by then. */
async function disconnectAfter ({ clock, relay, upstreams, placer }: TestRelay, path: string, waitMs: number, caller = new RecordingCaller()) {
  const work = relay.relay(requestTo(path), caller)
  await clock.advance(waitMs)
  const asked = { places: placer.requests.length, prefills: upstreams.prefills.length, runs: upstreams.runs.length }
  caller.left.abort()
  await clock.run(work, RELEASED_WITHIN_MS)
  return { asked, caller }
}

/** Nothing was asked of anybody since, and nothing is held any more. */
async function checkReleased (t: ExecutionContext, { clock, relay, upstreams, placer }: TestRelay, asked: { places: number, prefills: number, runs: number }): Promise<void> {
  await clock.advance(RELEASED_WITHIN_MS)
  t.is(upstreams.inProgress, 0)
  await clock.advance(LONG_AFTER_MS)
  t.deepEqual({ places: placer.requests.length, prefills: upstreams.prefills.length, runs: upstreams.runs.length }, asked)
  t.is(placer.released, placer.placed)
  t.is(relay.inFlight, 0)
}

function verdictOf ({ log }: TestRelay): unknown {
  return log.entries.find(({ event }) => event === LogEvent.RequestEnded)?.fields?.verdict
}

for (const path of ['/fetch/1', '/status/1', '/draft/1', '/reply/1']) {
  test(`for a caller that left before its request was taken up nothing is asked of anybody (${path})`, async (t) => {
    const made = createRelay([])
    const caller = new RecordingCaller()
    caller.left.abort()
    await made.clock.run(made.relay.relay(requestTo(path), caller), RELEASED_WITHIN_MS)
    await checkReleased(t, made, { places: 0, prefills: 0, runs: 0 })
    t.is(verdictOf(made), Verdict.NotRun)
  })
}

test('a place that is found after the caller left is given back', async (t) => {
  const made = createRelay([])
  const { reached, come } = deferred()
  made.placer.answers = reached
  const { asked } = await disconnectAfter(made, '/draft/1', 50)
  come()
  await checkReleased(t, made, asked)
  t.deepEqual(asked, { places: 1, prefills: 0, runs: 0 })
  t.is(made.placer.released, 1)
  t.is(verdictOf(made), Verdict.NotRun)
})

test('a caller that leaves while its request sleeps before its start gets no prefill', async (t) => {
  const made = createRelay([])
  made.placer.startInMs = 200
  const { asked } = await disconnectAfter(made, '/draft/1', 50)
  await checkReleased(t, made, asked)
  t.deepEqual(asked, { places: 1, prefills: 0, runs: 0 })
  t.is(made.placer.released, 1)
})

test('a prefill is given up when its caller leaves', async (t) => {
  const made = createRelay([])
  made.upstreams.prefillHangs = true
  const { asked } = await disconnectAfter(made, '/draft/1', 50)
  await checkReleased(t, made, asked)
  t.deepEqual(asked, { places: 1, prefills: 1, runs: 0 })
  t.is(made.placer.released, 1)
  t.is(verdictOf(made), Verdict.NotRun)
})

test('the handle of a prefill that ends after its caller left is freed, and nothing is decoded', async (t) => {
  const made = createRelay([])
  const { reached, come } = deferred()
  made.upstreams.prefillEnds = reached
  const { asked } = await disconnectAfter(made, '/draft/1', 50)
  come()
  await checkReleased(t, made, asked)
  t.deepEqual(made.upstreams.freed, [{ address: '10.0.0.1:1', handle: 'handle-1' }])
})

for (const path of ['/draft/1', '/reply/1']) {
  test(`a decode that has not begun to answer, or still moves memory, is ended when its caller leaves, and its handle freed (${path})`, async (t) => {
    const made = createRelay([hangs()])
    const { asked } = await disconnectAfter(made, path, 100)
    await checkReleased(t, made, asked)
    t.deepEqual(asked, { places: 1, prefills: 1, runs: 1 })
    t.is(made.upstreams.freed.length, 1)
    t.is(verdictOf(made), Verdict.MayHaveRun)
  })

  test(`a stream under way is ended when its caller leaves, and not gone on with elsewhere (${path})`, async (t) => {
    const made = createRelay([stalls(200, EVENT)])
    const { asked, caller } = await disconnectAfter(made, path, 50)
    await checkReleased(t, made, asked)
    t.is(caller.body, EVENT)
    t.deepEqual(asked, { places: 1, prefills: 1, runs: 1 })
  })

  test(`a stream that waits for a caller that does not read is ended when the caller leaves (${path})`, async (t) => {
    const made = createRelay([stalls(200, EVENT)])
    const caller = new RecordingCaller()
    caller.stopsReading = true
    const { asked } = await disconnectAfter(made, path, 50, caller)
    await checkReleased(t, made, asked)
    t.deepEqual(asked, { places: 1, prefills: 1, runs: 1 })
  })
}

test('a stream that broke off is not gone on with when its caller leaves before a new place is found', async (t) => {
  const made = createRelay([aborts(200, [EVENT])])
  const { reached, come } = deferred()
  const caller = new RecordingCaller()
  const work = made.relay.relay(requestTo('/reply/1'), caller)
  made.upstreams.onPrefill = () => { made.placer.answers = reached }
  await made.clock.advance(50)
  t.is(made.placer.requests.length, 2)
  caller.left.abort()
  await made.clock.run(work, RELEASED_WITHIN_MS)
  come()
  await checkReleased(t, made, { places: 2, prefills: 1, runs: 1 })
})

test('a stream that broke off and finds no place is not placed again after its caller left', async (t) => {
  const made = createRelay([aborts(200, [EVENT])])
  made.upstreams.onPrefill = () => { made.placer.refusal = { outcome: PlacementOutcome.Refused, reason: 'full', retryAfterMs: 100 } }
  const { asked } = await disconnectAfter(made, '/reply/1', 250)
  await checkReleased(t, made, asked)
  t.true(asked.places > 2)
  t.is(asked.runs, 1)
})

for (const [path, verdict] of [['/fetch/1', Verdict.MayHaveRun], ['/status/1', Verdict.MayHaveRun]] as const) {
  test(`what a service runs is ended when its caller leaves, and sent nowhere else (${path})`, async (t) => {
    const made = createRelay([hangs()])
    const { asked } = await disconnectAfter(made, path, 100)
    await checkReleased(t, made, asked)
    t.is(asked.runs, 1)
    t.is(verdictOf(made), verdict)
  })

  test(`a service's answer under way is ended when its caller leaves (${path})`, async (t) => {
    const made = createRelay([stalls(200, 'half')])
    const { asked, caller } = await disconnectAfter(made, path, 100)
    await checkReleased(t, made, asked)
    t.is(caller.body, 'half')
    t.is(asked.runs, 1)
  })

  test(`a service's answer that waits for a caller that does not read is ended when the caller leaves (${path})`, async (t) => {
    const made = createRelay([stalls(200, 'half')])
    const caller = new RecordingCaller()
    caller.stopsReading = true
    const { asked } = await disconnectAfter(made, path, 100, caller)
    await checkReleased(t, made, asked)
    t.is(asked.runs, 1)
  })

  test(`a request that waits for a connection to its service is sent nowhere after its caller left (${path})`, async (t) => {
    const made = createRelay([])
    made.upstreams.connects = new Promise(() => {})
    const { asked } = await disconnectAfter(made, path, 100)
    await checkReleased(t, made, asked)
    t.is(asked.runs, 0)
    t.is(verdictOf(made), Verdict.NotRun)
  })
}

test('between two tries at services nothing more is sent for a caller that left', async (t) => {
  const left = new RecordingCaller()
  const failsAfterDisconnect: Script = async (opts) => {
    left.left.abort()
    return fails({ mayHaveRun: true })(opts)
  }
  const made = createRelay([failsAfterDisconnect, answers(200, 'status')])
  await made.clock.run(made.relay.relay(requestTo('/status/1'), left), RELEASED_WITHIN_MS)
  await checkReleased(t, made, { places: 0, prefills: 0, runs: 1 })
})

test('between two tries at engines nothing more is placed for a caller that left', async (t) => {
  const left = new RecordingCaller()
  const made = createRelay([async (opts) => {
    left.left.abort()
    return fails({ mayHaveRun: false })(opts)
  }, answers(200, EVENT)])
  await made.clock.run(made.relay.relay(requestTo('/reply/1'), left), RELEASED_WITHIN_MS)
  await checkReleased(t, made, { places: 1, prefills: 1, runs: 1 })
})
