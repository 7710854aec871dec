import { Verdict } from '@reelspan/core.error'
import { PlacementOutcome } from '@reelspan/core.messages'
import { LogEvent } from '@reelspan/telemetry.log'
import test, { type ExecutionContext } from 'ava'
import { answers, aborts, createRelay, fails, stalls, RecordingCaller, requestTo, type Script, hangs } from './__utils__/createRelay.js'

/** Upstream work for a disconnected caller must end within this time. Half of it allows for the network path to the upstream. */
const RELEASED_WITHIN_MS = 250
/** Longer than any request of these tests can take. */
const LONG_AFTER_MS = 30_000
const EVENT = 'id: 0\ndata: a\n\n'

/** A promise that the test resolves. */
function deferred () {
  let release = () => {}
  const promise = new Promise<void>((resolve) => { release = resolve })
  return { promise, release }
}

type TestRelay = ReturnType<typeof createRelay>

/** Starts a request, disconnects its caller after `waitMs` and returns the number of calls made until then. */
async function disconnectAfter ({ clock, relay, upstreams, placer }: TestRelay, path: string, waitMs: number, caller = new RecordingCaller()) {
  const work = relay.relay(requestTo(path), caller)
  await clock.advance(waitMs)
  const callCounts = { places: placer.requests.length, prefills: upstreams.prefills.length, runs: upstreams.runs.length }
  caller.left.abort()
  await clock.run(work, RELEASED_WITHIN_MS)
  return { callCounts, caller }
}

/** Checks that no further calls were made and that nothing is held any more. */
async function checkReleased (t: ExecutionContext, { clock, relay, upstreams, placer }: TestRelay, expected: { places: number, prefills: number, runs: number }): Promise<void> {
  await clock.advance(RELEASED_WITHIN_MS)
  t.is(upstreams.inProgress, 0)
  await clock.advance(LONG_AFTER_MS)
  t.deepEqual({ places: placer.requests.length, prefills: upstreams.prefills.length, runs: upstreams.runs.length }, expected)
  t.is(placer.released, placer.placed)
  t.is(relay.inFlight, 0)
}

function verdictOf ({ log }: TestRelay): unknown {
  return log.entries.find(({ event }) => event === LogEvent.RequestEnded)?.fields?.verdict
}

for (const path of ['/fetch/1', '/status/1', '/draft/1', '/reply/1']) {
  test(`no calls are made for a caller that disconnected before its request was processed (${path})`, async (t) => {
    const made = createRelay([])
    const caller = new RecordingCaller()
    caller.left.abort()
    await made.clock.run(made.relay.relay(requestTo(path), caller), RELEASED_WITHIN_MS)
    await checkReleased(t, made, { places: 0, prefills: 0, runs: 0 })
    t.is(verdictOf(made), Verdict.NotRun)
  })
}

test('a placement that is found after the caller disconnected is released', async (t) => {
  const made = createRelay([])
  const { promise, release } = deferred()
  made.placer.answers = promise
  const { callCounts } = await disconnectAfter(made, '/draft/1', 50)
  release()
  await checkReleased(t, made, callCounts)
  t.deepEqual(callCounts, { places: 1, prefills: 0, runs: 0 })
  t.is(made.placer.released, 1)
  t.is(verdictOf(made), Verdict.NotRun)
})

test('a caller that disconnects before the start time of its placement gets no prefill', async (t) => {
  const made = createRelay([])
  made.placer.startInMs = 200
  const { callCounts } = await disconnectAfter(made, '/draft/1', 50)
  await checkReleased(t, made, callCounts)
  t.deepEqual(callCounts, { places: 1, prefills: 0, runs: 0 })
  t.is(made.placer.released, 1)
})

test('a prefill is aborted when its caller disconnects', async (t) => {
  const made = createRelay([])
  made.upstreams.prefillHangs = true
  const { callCounts } = await disconnectAfter(made, '/draft/1', 50)
  await checkReleased(t, made, callCounts)
  t.deepEqual(callCounts, { places: 1, prefills: 1, runs: 0 })
  t.is(made.placer.released, 1)
  t.is(verdictOf(made), Verdict.NotRun)
})

test('the handle of a prefill that ends after its caller disconnected is freed, and nothing is decoded', async (t) => {
  const made = createRelay([])
  const { promise, release } = deferred()
  made.upstreams.prefillEnds = promise
  const { callCounts } = await disconnectAfter(made, '/draft/1', 50)
  release()
  await checkReleased(t, made, callCounts)
  t.deepEqual(made.upstreams.freed, [{ address: '10.0.0.1:1', handle: 'handle-1' }])
})

for (const path of ['/draft/1', '/reply/1']) {
  test(`a decode without an answer yet, or with a KV transfer in progress, is aborted when its caller disconnects, and its handle is freed (${path})`, async (t) => {
    const made = createRelay([hangs()])
    const { callCounts } = await disconnectAfter(made, path, 100)
    await checkReleased(t, made, callCounts)
    t.deepEqual(callCounts, { places: 1, prefills: 1, runs: 1 })
    t.is(made.upstreams.freed.length, 1)
    t.is(verdictOf(made), Verdict.MayHaveRun)
  })

  test(`a running stream is aborted when its caller disconnects, and is not resumed elsewhere (${path})`, async (t) => {
    const made = createRelay([stalls(200, EVENT)])
    const { callCounts, caller } = await disconnectAfter(made, path, 50)
    await checkReleased(t, made, callCounts)
    t.is(caller.body, EVENT)
    t.deepEqual(callCounts, { places: 1, prefills: 1, runs: 1 })
  })

  test(`a stream blocked by a caller that does not read is aborted when the caller disconnects (${path})`, async (t) => {
    const made = createRelay([stalls(200, EVENT)])
    const caller = new RecordingCaller()
    caller.stopsReading = true
    const { callCounts } = await disconnectAfter(made, path, 50, caller)
    await checkReleased(t, made, callCounts)
    t.deepEqual(callCounts, { places: 1, prefills: 1, runs: 1 })
  })
}

test('an interrupted stream is not resumed when its caller disconnects before a new placement is found', async (t) => {
  const made = createRelay([aborts(200, [EVENT])])
  const { promise, release } = deferred()
  const caller = new RecordingCaller()
  const work = made.relay.relay(requestTo('/reply/1'), caller)
  made.upstreams.onPrefill = () => { made.placer.answers = promise }
  await made.clock.advance(50)
  t.is(made.placer.requests.length, 2)
  caller.left.abort()
  await made.clock.run(work, RELEASED_WITHIN_MS)
  release()
  await checkReleased(t, made, { places: 2, prefills: 1, runs: 1 })
})

test('an interrupted stream that finds no placement is not placed again after its caller disconnected', async (t) => {
  const made = createRelay([aborts(200, [EVENT])])
  made.upstreams.onPrefill = () => { made.placer.refusal = { outcome: PlacementOutcome.Refused, reason: 'full', retryAfterMs: 100 } }
  const { callCounts } = await disconnectAfter(made, '/reply/1', 250)
  await checkReleased(t, made, callCounts)
  t.true(callCounts.places > 2)
  t.is(callCounts.runs, 1)
})

for (const [path, verdict] of [['/fetch/1', Verdict.MayHaveRun], ['/status/1', Verdict.MayHaveRun]] as const) {
  test(`a service call is aborted when its caller disconnects, and is not sent to another upstream (${path})`, async (t) => {
    const made = createRelay([hangs()])
    const { callCounts } = await disconnectAfter(made, path, 100)
    await checkReleased(t, made, callCounts)
    t.is(callCounts.runs, 1)
    t.is(verdictOf(made), verdict)
  })

  test(`a service answer in progress is aborted when its caller disconnects (${path})`, async (t) => {
    const made = createRelay([stalls(200, 'half')])
    const { callCounts, caller } = await disconnectAfter(made, path, 100)
    await checkReleased(t, made, callCounts)
    t.is(caller.body, 'half')
    t.is(callCounts.runs, 1)
  })

  test(`a service answer blocked by a caller that does not read is aborted when the caller disconnects (${path})`, async (t) => {
    const made = createRelay([stalls(200, 'half')])
    const caller = new RecordingCaller()
    caller.stopsReading = true
    const { callCounts } = await disconnectAfter(made, path, 100, caller)
    await checkReleased(t, made, callCounts)
    t.is(callCounts.runs, 1)
  })

  test(`a request that waits for a connection to its service is not sent after its caller disconnected (${path})`, async (t) => {
    const made = createRelay([])
    made.upstreams.connects = new Promise(() => {})
    const { callCounts } = await disconnectAfter(made, path, 100)
    await checkReleased(t, made, callCounts)
    t.is(callCounts.runs, 0)
    t.is(verdictOf(made), Verdict.NotRun)
  })
}

test('a service call is not retried after its caller disconnected', async (t) => {
  const left = new RecordingCaller()
  const failsAfterDisconnect: Script = async (opts) => {
    left.left.abort()
    return fails({ mayHaveRun: true })(opts)
  }
  const made = createRelay([failsAfterDisconnect, answers(200, 'status')])
  await made.clock.run(made.relay.relay(requestTo('/status/1'), left), RELEASED_WITHIN_MS)
  await checkReleased(t, made, { places: 0, prefills: 0, runs: 1 })
})

test('a completion is not placed again after its caller disconnected', async (t) => {
  const left = new RecordingCaller()
  const made = createRelay([async (opts) => {
    left.left.abort()
    return fails({ mayHaveRun: false })(opts)
  }, answers(200, EVENT)])
  await made.clock.run(made.relay.relay(requestTo('/reply/1'), left), RELEASED_WITHIN_MS)
  await checkReleased(t, made, { places: 1, prefills: 1, runs: 1 })
})
