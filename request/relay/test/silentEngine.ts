import { Verdict } from '@reelspan/core.error'
import { PlacementOutcome, UpstreamOutcome } from '@reelspan/core.messages'
import { LogEvent } from '@reelspan/telemetry.log'
import { UpstreamIdentity } from '@reelspan/upstream.client'
import test, { type ExecutionContext } from 'ava'
import { answers, answersAfter, createRelay, fails, hangs, pauses, RecordingCaller, refuses, requestTo, type Script, stalls } from './__utils__/createRelay.js'

const FIRST = 'id: 0\ndata: a\n\n'
const SECOND = 'id: 1\ndata: b\n\n'
const THIRD = 'id: 2\ndata: c\n\n'
/** Longer than a stream may be silent before another engine is tried, shorter than callers wait. */
const SILENCE_MS = 1200
const NO_ROOM = { outcome: PlacementOutcome.Refused as const, reason: 'full', retryAfterMs: 500 }

type TestRelay = ReturnType<typeof createRelay>

/** Plays a stream whose engine is silent between its two events. `onSilence` is called when its first event has been passed on. */
async function playSilence (others: Script[], onSilence: (relay: TestRelay) => void = () => {}, opts: Parameters<typeof createRelay>[1] = {}): Promise<{ caller: RecordingCaller, played: TestRelay }> {
  const played = createRelay([pauses(200, [FIRST, SECOND], SILENCE_MS), ...others], opts)
  const caller = new RecordingCaller()
  const work = played.relay.relay(requestTo('/reply/1'), caller)
  await played.clock.advance(10)
  onSilence(played)
  await played.clock.run(work)
  return { caller, played }
}

function assertWhole (t: ExecutionContext, caller: RecordingCaller): void {
  t.is(caller.body, FIRST + SECOND)
  t.true(caller.complete)
}

test('a begun stream is not cut when its engine is silent and the prefill for another engine does not come', async (t) => {
  const { caller } = await playSilence([], ({ upstreams }) => { upstreams.prefillHangs = true })
  assertWhole(t, caller)
})

test('a begun stream is not cut when its engine is silent and no other one has room', async (t) => {
  const { caller } = await playSilence([], ({ placer }) => { placer.refusal = NO_ROOM })
  assertWhole(t, caller)
})

const UNHELPFUL: Record<string, Script> = {
  'refuses the request': refuses(),
  'cannot be reached': fails({ mayHaveRun: false, unreachable: true }),
  'breaks off': fails({ mayHaveRun: true }),
  'responds with a failure': answers(500, 'oops'),
  'is silent too': hangs(),
}

Object.entries(UNHELPFUL).forEach(([what, script]) => {
  test(`a begun stream is not cut when its engine is silent and the other one ${what}`, async (t) => {
    const { caller } = await playSilence([script, script, script])
    assertWhole(t, caller)
  })
})

test('a request is not failed when its engine has not answered yet and the other one is silent', async (t) => {
  const { clock, relay } = createRelay([answersAfter(SILENCE_MS, 200, FIRST), hangs()])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.is(caller.body, FIRST)
  t.true(caller.complete)
})

/** A relay whose single retry has been used by another request. */
async function createWithoutRetry (scripts: Script[], opts: Parameters<typeof createRelay>[1] = {}): Promise<TestRelay> {
  const created = createRelay([answers(500, 'oops'), answers(200, 'other'), ...scripts], { ...opts, retryBurst: 1 })
  await created.clock.run(created.relay.relay(requestTo('/reply/1'), new RecordingCaller()))
  return created
}

test('a request is not refused when its prefill is late and no retry is left', async (t) => {
  const { clock, relay, upstreams } = await createWithoutRetry([answers(200, FIRST)])
  upstreams.prefillMs = SILENCE_MS
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.is(caller.body, FIRST)
  t.true(caller.complete)
})

test('a prefill that never ends is refused as not run before its caller leaves', async (t) => {
  const { clock, relay, upstreams } = await createWithoutRetry([])
  upstreams.prefillHangs = true
  const caller = new RecordingCaller()
  const startedAtMs = clock.nowMs()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.is(caller.refused?.verdict, Verdict.NotRun)
  t.is(clock.nowMs() - startedAtMs, 3 * 900)
})

test('a stream goes on at the other engine if that one writes first, and the silent one is cancelled then', async (t) => {
  const { clock, relay, upstreams } = createRelay([stalls(200, FIRST), answersAfter(1000, 200, SECOND)])
  const caller = new RecordingCaller()
  const work = relay.relay(requestTo('/reply/1'), caller)
  await clock.advance(650)
  t.is(upstreams.runs.length, 2)
  t.false(upstreams.runs[0].opts.signal.aborted)
  await clock.run(work)
  assertWhole(t, caller)
  t.true(upstreams.runs[0].opts.signal.aborted)
})

test('the attempt at the other engine is cancelled when the silent one goes on', async (t) => {
  const { caller, played: { upstreams } } = await playSilence([hangs()])
  assertWhole(t, caller)
  t.true(upstreams.runs[1].opts.signal.aborted)
})

test('the handle of a prefill beside a silent attempt is freed when that attempt goes on first', async (t) => {
  const { clock, relay, upstreams } = createRelay([pauses(200, [FIRST, SECOND, THIRD], 300)])
  const caller = new RecordingCaller()
  const work = relay.relay(requestTo('/reply/1'), caller)
  await clock.advance(10)
  upstreams.prefillMs = 250
  await clock.advance(400)
  t.is(caller.body, FIRST + SECOND)
  t.deepEqual(upstreams.freed.map(({ handle }) => handle), ['handle-2'])
  await clock.run(work)
  t.is(caller.body, FIRST + SECOND + THIRD)
})

test('the slot of a superseded run stays reserved until its engine is heard or the deadline has passed', async (t) => {
  const { clock, relay, placer } = createRelay([stalls(200, FIRST), answers(200, SECOND)])
  await clock.run(relay.relay(requestTo('/reply/1'), new RecordingCaller()))
  t.deepEqual([placer.placed, placer.released], [2, 1])
  await clock.advance(10_000)
  t.is(placer.released, 2)
})

function givenUpExchanges ({ log }: TestRelay): unknown[] {
  return log.entries.filter(({ event }) => event === LogEvent.ExchangeGivenUp).map(({ fields: { upstream, stage, cause, by, bothOpenMs, begun } = {} }) => ({ upstream, stage, cause, by, bothOpenMs, begun }))
}

test('the log names the attempt for which a silent exchange was given up, and how long both were open', async (t) => {
  const created = createRelay([stalls(200, FIRST), answersAfter(1000, 200, SECOND)])
  await created.clock.run(created.relay.relay(requestTo('/reply/1'), new RecordingCaller()))
  t.deepEqual(givenUpExchanges(created), [{ upstream: 'd1', stage: 'decode', cause: 'superseded', by: 'd2', bothOpenMs: 1000, begun: true }])
})

test('the log names the silent attempt that stays when each prefill beside it is silent too', async (t) => {
  const { played } = await playSilence([], ({ upstreams }) => { upstreams.prefillHangs = true })
  const givenUp = { upstream: 'p1', stage: 'prefill', cause: 'silentToo', by: 'd1', bothOpenMs: 500, begun: true }
  t.deepEqual(givenUpExchanges(played), [givenUp, givenUp])
})

const PROBED_ADDRESSES = ['10.0.4.1:1', '10.0.5.1:1', '10.0.6.1:1']

/** Plays a stream whose engine is silent while the box loses its paths to all machines. Returns how often other boxes were asked to run it. */
async function playLostPaths (t: ExecutionContext, { clock, relay, upstreams, probe, delegator }: TestRelay, path: string): Promise<number> {
  PROBED_ADDRESSES.forEach((address) => probe.ended.add(address))
  const caller = new RecordingCaller()
  const work = relay.relay(requestTo(path), caller)
  await clock.advance(10)
  upstreams.prefillHangs = true
  await clock.run(work)
  assertWhole(t, caller)
  return delegator.requests.length
}

test('a stream that may run once is not run by another box as well while its engine is silent', async (t) => {
  const played = createRelay([pauses(200, [FIRST, SECOND], SILENCE_MS)], { probedAddresses: PROBED_ADDRESSES })
  t.is(await playLostPaths(t, played, '/draft/1'), 0)
})

test('a stream that was sent is run by another box as well only if a retry is left, and once', async (t) => {
  const played = createRelay([pauses(200, [FIRST, SECOND], SILENCE_MS)], { probedAddresses: PROBED_ADDRESSES })
  t.is(await playLostPaths(t, played, '/reply/1'), 1)
  const withoutRetry = await createWithoutRetry([pauses(200, [FIRST, SECOND], SILENCE_MS)], { probedAddresses: PROBED_ADDRESSES })
  t.is(await playLostPaths(t, withoutRetry, '/reply/1'), 0)
})

test('an engine that was given up while it was silent is not avoided after its first byte', async (t) => {
  const { clock, relay, placer } = createRelay([stalls(200, FIRST), pauses(200, [FIRST, SECOND], 900), pauses(200, [SECOND, SECOND], 100), hangs(), answers(200, SECOND), answers(200, SECOND)])
  placer.decodeEngines = ['d1', 'd1']
  const works = [0, 1].map((i) => relay.relay(requestTo(`/reply/${i}`), new RecordingCaller()))
  await clock.run(works[0])
  await clock.run(relay.relay(requestTo('/draft/1'), new RecordingCaller()))
  t.true(placer.requests.at(-1)?.avoid.includes('d1'), 'while it is silent')
  await clock.run(works[1])
  await clock.run(relay.relay(requestTo('/draft/2'), new RecordingCaller()))
  t.false(placer.requests.at(-1)?.avoid.includes('d1'))
})

test('a failure response of another box does not end a request whose silent engine may still answer', async (t) => {
  const { clock, relay, upstreams, probe, delegator } = createRelay([answersAfter(SILENCE_MS, 200, FIRST)], {
    probedAddresses: PROBED_ADDRESSES,
    delegate: async (_request, answer) => {
      answer.onSent('d2', '')
      answer.onHead(500, [])
    },
  })
  PROBED_ADDRESSES.forEach((address) => probe.ended.add(address))
  const caller = new RecordingCaller()
  const work = relay.relay(requestTo('/reply/1'), caller)
  await clock.advance(10)
  upstreams.prefillHangs = true
  await clock.run(work)
  t.is(delegator.requests.length, 1)
  t.like(caller, { status: 200, body: FIRST, complete: true })
})

test('a request is not refused as not run when another box has sent it after its own engine was asked', async (t) => {
  const refusesLate: Script = async (opts) => {
    await opts.clock.sleep(300)
    return refuses()(opts)
  }
  const { clock, relay, upstreams, probe, delegator } = createRelay([refusesLate], {
    probedAddresses: PROBED_ADDRESSES,
    delegate: async (_request, answer) => {
      await clock.sleep(600)
      answer.onSent('d2', '')
    },
  })
  PROBED_ADDRESSES.forEach((address) => probe.ended.add(address))
  upstreams.prefillMs = 900
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.is(delegator.requests.length, 1)
  t.is(caller.refused?.verdict, Verdict.MayHaveRun)
})

test('a stream is not stuck until its deadline when two engines are silent for good and its route allows a third', async (t) => {
  const { clock, relay, upstreams } = createRelay([hangs(), hangs(), answers(200, FIRST)])
  const startedAtMs = clock.nowMs()
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/outline/1'), caller))
  t.like(caller, { status: 200, body: FIRST, complete: true })
  t.true(clock.nowMs() - startedAtMs < 1000)
  t.is(upstreams.runs.length, 3)
})

test('the end of a stream is not sent twice when its caller reads it slowly', async (t) => {
  const end = 'id: 1\ndata: b\n'
  const { clock, relay, upstreams } = createRelay([answers(200, FIRST + end), answers(200, SECOND)])
  class SlowAtEnd extends RecordingCaller {
    override async write (bytes: Uint8Array): Promise<void> {
      await super.write(bytes)
      if (Buffer.from(bytes).toString() === end) await clock.sleep(SILENCE_MS)
    }
  }
  const caller = new SlowAtEnd()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.like(caller, { body: FIRST + end, complete: true })
  t.is(upstreams.runs.length, 1)
})

test('the slot of a superseded run is not held until the deadline when its engine goes on without other requests of the box', async (t) => {
  let stands = true
  const identify = async () => stands ? UpstreamIdentity.Unknown : UpstreamIdentity.Same
  const { clock, relay, placer } = createRelay([stalls(200, FIRST), answers(200, SECOND)], { identify })
  await clock.run(relay.relay(requestTo('/reply/1'), new RecordingCaller()))
  await clock.advance(SILENCE_MS)
  t.is(placer.released, 1)
  stands = false
  await clock.advance(4000)
  t.is(placer.released, 2)
})

test('a scheduler is told that an engine is silent while the superseded run keeps its slot', async (t) => {
  const { clock, relay, placer } = createRelay([stalls(200, FIRST), pauses(200, [SECOND, SECOND], 100)])
  await clock.run(relay.relay(requestTo('/reply/1'), new RecordingCaller()))
  t.is(placer.released, 1)
  t.like(placer.outcomes.find(({ engine }) => engine === 'd1'), { outcome: UpstreamOutcome.Unreachable, silent: true })
})
