import { ErrorCode, ReelspanError, Verdict } from '@reelspan/core.error'
import { PoolCallOutcome } from '@reelspan/core.messages'
import { SlotDecision } from '@reelspan/scheduling.pool-admission'
import { LogEvent } from '@reelspan/telemetry.log'
import test, { type ExecutionContext } from 'ava'
import { answers, answersAfter, createRelay, fails, hangs, pauses, RecordingCaller, refuses, requestTo, type Script, type TestRelayOptions } from './__utils__/createRelay.js'

/** Latency after which a call of the route is sent to another upstream. */
const SILENT_AFTER_MS = 300
/** Longer than a call may be silent before it is sent to another upstream, shorter than its deadline. */
const SILENCE_MS = 1200
const DEADLINE_MS = 2000
const UNREACHABLE = { mayHaveRun: false, unreachable: true }

type TestRelay = ReturnType<typeof createRelay>
type Delegate = NonNullable<TestRelayOptions['delegate']>

/** Plays a call, and `during` at some time of it. */
async function playCall (played: TestRelay, during: { atMs: number, act: (caller: RecordingCaller) => void } = { atMs: 0, act: () => {} }, path = '/status/1'): Promise<RecordingCaller> {
  const caller = new RecordingCaller()
  const work = played.relay.relay(requestTo(path, { prompt: undefined }), caller)
  await played.clock.advance(during.atMs)
  during.act(caller)
  await played.clock.run(work)
  return caller
}

function assertAnswered (t: ExecutionContext, caller: RecordingCaller, body: string): void {
  t.like(caller, { status: 200, body, complete: true, refused: undefined })
}

/** Slots of all upstreams whose release is recorded. */
function grantSlots ({ pools }: TestRelay, upstreams: string[]): void {
  pools.answers = upstreams.map((upstream) => () => ({ decision: SlotDecision.Granted as const, slot: pools.slot(upstream) }))
}

const UNHELPFUL: Record<string, Script> = {
  'refuses the request': refuses(),
  'cannot be reached': fails(UNREACHABLE),
  'breaks off': fails({ mayHaveRun: true, unreachable: true }),
  'responds with a failure': answers(500, 'oops'),
  'is silent too': hangs(),
}

Object.entries(UNHELPFUL).forEach(([what, script]) => {
  test(`a call is not lost when its service is silent and the other one ${what}`, async (t) => {
    const played = createRelay([answersAfter(SILENCE_MS, 200, 'status'), script, script, script])
    assertAnswered(t, await playCall(played), 'status')
    t.true(played.upstreams.runs.length > 1)
  })
})

test('a call is not lost when its service is silent and all others accept no connection', async (t) => {
  const played = createRelay([answersAfter(SILENCE_MS, 200, 'status')])
  const caller = await playCall(played, { atMs: 10, act: () => ['s1', 's2', 's3'].forEach((name) => played.upstreams.unreachable.add(name)) })
  assertAnswered(t, caller, 'status')
})

test('a silent call is cancelled only once another service has answered', async (t) => {
  const played = createRelay([hangs(), answersAfter(400, 200, 'status')])
  const { upstreams: { runs } } = played
  const caller = await playCall(played, { atMs: SILENT_AFTER_MS + 399, act: () => t.deepEqual(runs.map(({ opts }) => opts.signal.aborted), [false, false]) })
  assertAnswered(t, caller, 'status')
  t.true(runs[0].opts.signal.aborted)
  t.is(played.upstreams.inProgress, 0)
})

test('the second service is cancelled when the silent one answers, and the caller has one answer', async (t) => {
  const played = createRelay([answersAfter(SILENCE_MS, 200, 'first'), answersAfter(SILENCE_MS, 200, 'second')])
  assertAnswered(t, await playCall(played), 'first')
  t.true(played.upstreams.runs[1].opts.signal.aborted)
})

test('two services that answer at the same time give the caller one answer', async (t) => {
  const answersThoughCancelled = (waitMs: number, parts: string[]): Script => async (opts) => {
    await opts.clock.sleep(waitMs)
    return pauses(200, parts, 100)(opts)
  }
  const played = createRelay([answersThoughCancelled(SILENCE_MS, ['fi', 'rst']), answersThoughCancelled(SILENCE_MS - SILENT_AFTER_MS, ['sec', 'ond'])])
  const caller = await playCall(played)
  t.true(['first', 'second'].includes(caller.body))
  t.true(caller.complete)
})

test('a failure response does not end a call that another service may still answer', async (t) => {
  const played = createRelay([answersAfter(500, 500, 'oops'), answersAfter(600, 200, 'status')])
  assertAnswered(t, await playCall(played), 'status')
})

test('a failure response is passed on when both services respond with one, and does not wait for the deadline', async (t) => {
  const played = createRelay([answersAfter(500, 500, 'first'), answersAfter(400, 500, 'second')])
  const startedAtMs = played.clock.nowMs()
  const caller = await playCall(played)
  t.like(caller, { status: 500, body: 'first', complete: true })
  t.is(played.clock.nowMs() - startedAtMs, SILENT_AFTER_MS + 400)
})

test('a failure response is passed on once no other service may answer', async (t) => {
  const breaksOff: Script = async (opts) => {
    await answersAfter(SILENCE_MS, 200, '')(opts)
    throw new ReelspanError(ErrorCode.UpstreamFailed, 'broken', { verdict: Verdict.MayHaveRun })
  }
  const played = createRelay([breaksOff, answers(500, 'oops')])
  const caller = await playCall(played)
  t.like(caller, { status: 500, body: 'oops', complete: true })
})

test('a call that no service answers ends at its deadline, and nothing goes on', async (t) => {
  const played = createRelay([hangs(), hangs(), hangs()])
  const startedAtMs = played.clock.nowMs()
  const caller = await playCall(played)
  t.is(played.clock.nowMs() - startedAtMs, DEADLINE_MS)
  t.like(caller.refused, { code: ErrorCode.DeadlinePassed, verdict: Verdict.MayHaveRun })
  t.is(played.upstreams.runs.length, 2)
  t.is(played.upstreams.inProgress, 0)
})

test('a call that may run once is sent once, however long its service is silent', async (t) => {
  const played = createRelay([answersAfter(SILENCE_MS, 200, 'fetched'), answers(200, 'again')])
  assertAnswered(t, await playCall(played, undefined, '/fetch/1'), 'fetched')
  t.is(played.upstreams.runs.length, 1)
})

test('both exchanges end when the caller disconnects', async (t) => {
  const played = createRelay([hangs(), hangs()])
  grantSlots(played, ['s1', 's2'])
  await playCall(played, { atMs: SILENCE_MS, act: (caller) => caller.left.abort() })
  await played.clock.advance(0)
  t.is(played.upstreams.runs.length, 2)
  t.is(played.upstreams.inProgress, 0)
  t.deepEqual(played.pools.released.map(({ upstream }) => upstream).sort(), ['s1', 's2'])
})

test('the second send is taken from the retry budget', async (t) => {
  const played = createRelay([answersAfter(SILENCE_MS, 200, 'status'), hangs(), answers(500, 'oops'), answers(200, 'again')], { retryBurst: 1 })
  assertAnswered(t, await playCall(played), 'status')
  t.is((await playCall(played)).status, 500)
  t.is(played.upstreams.runs.length, 3)
})

test('the slot of a call that was answered elsewhere stays taken until its silent service is heard or the deadline has passed', async (t) => {
  const played = createRelay([hangs(), answersAfter(100, 200, 'status')])
  grantSlots(played, ['s1', 's2'])
  assertAnswered(t, await playCall(played), 'status')
  t.deepEqual(played.pools.released, [{ upstream: 's2', outcome: PoolCallOutcome.Answered }])
  await played.clock.advance(DEADLINE_MS)
  t.deepEqual(played.pools.released.map(({ upstream }) => upstream), ['s2', 's1'])
})

test('the slot of the second call is released at once when the first service answers', async (t) => {
  const played = createRelay([answersAfter(400, 200, 'status'), hangs()])
  grantSlots(played, ['s1', 's2'])
  assertAnswered(t, await playCall(played), 'status')
  await played.clock.advance(0)
  t.deepEqual(played.pools.released.map(({ upstream }) => upstream).sort(), ['s1', 's2'])
})

test('a slot that is granted for a second call after the first service has answered is released at once', async (t) => {
  const played = createRelay([pauses(200, ['sta', 'tus'], SILENCE_MS)])
  const { clock, pools } = played
  const silent = played.upstreams.connects = clock.sleep(SILENT_AFTER_MS + 100)
  pools.answers = [() => ({ decision: SlotDecision.Granted, slot: pools.slot('s1') }), async () => {
    await silent
    await clock.sleep(100)
    return { decision: SlotDecision.Granted, slot: pools.slot('s2') }
  }]
  const caller = await playCall(played, { atMs: SILENCE_MS, act: () => t.deepEqual(pools.released, [{ upstream: 's2', outcome: PoolCallOutcome.NotSent }]) })
  assertAnswered(t, caller, 'status')
})

test('the log says which silent call was given up and why', async (t) => {
  const played = createRelay([hangs(), answersAfter(100, 200, 'status')])
  await playCall(played)
  const entry = played.log.entries.find(({ event }) => event === LogEvent.ExchangeGivenUp)
  t.like(entry?.fields, { upstream: played.upstreams.runs[0].instance, stage: 'call', cause: 'superseded', begun: true })
})

/** A box that loses its paths to all machines while a call is silent, and has no other service to send it to. */
function createLosingPaths (scripts: Script[], opts: TestRelayOptions): TestRelay {
  const probedAddresses = ['10.0.4.1:1', '10.0.5.1:1', '10.0.6.1:1']
  const played = createRelay(scripts, { services: ['s1'], probedAddresses, ...opts })
  probedAddresses.forEach((address) => played.probe.ended.add(address))
  return played
}

test('a call that was sent is not lost when the box loses its paths and no other box has room', async (t) => {
  const played = createLosingPaths([answersAfter(SILENCE_MS, 200, 'status')], {})
  await played.clock.advance(1)
  const soonAfterLoss = { atMs: 2 * SILENT_AFTER_MS - 1, act: () => t.is(played.delegator.requests.length, 1) }
  assertAnswered(t, await playCall(played, soonAfterLoss), 'status')
  t.is(played.delegator.requests.length, 1)
})

test('a silent call of a box without paths is cancelled once another box has its answer', async (t) => {
  const delegate: Delegate = async (_request, { onSent, onHead, onData }) => {
    onSent('s1', '')
    onHead(200, [])
    await onData(Buffer.from('status'))
  }
  const played = createLosingPaths([hangs()], { delegate })
  assertAnswered(t, await playCall(played), 'status')
  t.true(played.upstreams.runs[0].opts.signal.aborted)
})

test('a call that another box runs may be run by a further one only if it may be repeated and a retry is left', async (t) => {
  const mayRunElsewhere: (boolean | undefined)[] = []
  const delegate: Delegate = async (request, { onSent, onHead }) => {
    onSent('s1', '')
    mayRunElsewhere.push(request.mayRunElsewhere?.())
    onHead(200, [])
  }
  const played = createLosingPaths([hangs()], { delegate, retryBurst: 1 })
  // The first call loses the paths and takes the only retry.
  assertAnswered(t, await playCall(played), '')
  assertAnswered(t, await playCall(played), '')
  const withRetries = createLosingPaths([hangs()], { delegate })
  assertAnswered(t, await playCall(withRetries), '')
  assertAnswered(t, await playCall(withRetries), '')
  assertAnswered(t, await playCall(withRetries, undefined, '/fetch/1'), '')
  t.deepEqual(mayRunElsewhere, [false, false, false, true, false])
})

test('a call that may run once is not sent to another box when the box loses its paths', async (t) => {
  const played = createLosingPaths([answersAfter(SILENCE_MS, 200, 'fetched')], {})
  assertAnswered(t, await playCall(played, undefined, '/fetch/1'), 'fetched')
  t.is(played.delegator.requests.length, 0)
})
