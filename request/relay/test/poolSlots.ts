import { ErrorCode, Verdict } from '@reelspan/core.error'
import { PoolCallOutcome } from '@reelspan/core.messages'
import { SlotDecision } from '@reelspan/scheduling.pool-admission'
import { type RelayAnswer, UpstreamError } from '@reelspan/upstream.client'
import test from 'ava'
import { createRelay, RecordingCaller, requestTo, type ScriptedPools } from './__utils__/createRelay.js'

async function * body (): AsyncGenerator<Uint8Array> {
  yield Buffer.from('done')
}

const done = async (): Promise<RelayAnswer> => ({ status: 200, notRun: false, headers: [], body: body() })
const full = async (): Promise<RelayAnswer> => ({ status: 503, notRun: true, headers: [], body: body() })
const misdirected = async (): Promise<RelayAnswer> => ({ status: 421, notRun: true, headers: [], body: body() })
const granted = (pools: ScriptedPools, upstream: string) => ({ decision: SlotDecision.Granted as const, slot: pools.slot(upstream) })

test('a call to a pool that is short of capacity goes to the granted upstream, and its slot is released with the outcome', async (t) => {
  const { clock, relay, upstreams, pools } = createRelay([done])
  pools.answers = [({ inTimeMs, usefulMs, account }) => {
    t.deepEqual({ inTimeMs, usefulMs, account }, { inTimeMs: 200, usefulMs: 2000, account: '' })
    return granted(pools, 's2')
  }]
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/fetch/1', { prompt: undefined }), caller))
  t.true(caller.complete)
  t.deepEqual(upstreams.runs.map(({ instance }) => instance), ['s2'])
  t.deepEqual(pools.released, [{ upstream: 's2', outcome: PoolCallOutcome.Answered }])
})

test('a call that is refused a slot is refused as not run with its retry delay, and reaches no upstream', async (t) => {
  const { clock, relay, upstreams, pools } = createRelay([])
  pools.answers = [() => ({ decision: SlotDecision.Refused, retryAfterMs: 120, decidedBy: 'b' })]
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/fetch/1', { prompt: undefined }), caller))
  t.like(caller.refused, { code: ErrorCode.Overloaded, verdict: Verdict.NotRun, retryAfterMs: 120 })
  t.is(upstreams.runs.length, 0)
})

test('a second attempt asks again without the upstream that was full, and a full upstream is reported', async (t) => {
  const { clock, relay, pools } = createRelay([full, done])
  pools.answers = [() => granted(pools, 's1'), (_request, avoid) => {
    t.deepEqual(avoid, ['s1'])
    return granted(pools, 's3')
  }]
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/fetch/1', { prompt: undefined }), caller))
  t.true(caller.complete)
  t.is(pools.full, 1)
  t.deepEqual(pools.released, [{ upstream: 's1', outcome: PoolCallOutcome.Full }, { upstream: 's3', outcome: PoolCallOutcome.Answered }])
})

test('a request that reached another start of an upstream is no sign of shortage', async (t) => {
  const { clock, relay, pools } = createRelay([misdirected, done])
  await clock.run(relay.relay(requestTo('/fetch/1', { prompt: undefined }), new RecordingCaller()))
  t.is(pools.full, 0)
})

test('a granted upstream that this box does not list is given back, and this box chooses one itself', async (t) => {
  const { clock, relay, pools } = createRelay([done])
  pools.answers = [() => granted(pools, 'unknown')]
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/fetch/1', { prompt: undefined }), caller))
  t.true(caller.complete)
  t.is(pools.tracked, 1)
  t.deepEqual(pools.released[0], { upstream: 'unknown', outcome: PoolCallOutcome.NotSent })
})

test('a slot is released when the caller disconnects while it is being granted, and when the call fails', async (t) => {
  const disconnecting = createRelay([])
  const caller = new RecordingCaller()
  disconnecting.pools.answers = [async () => {
    caller.left.abort()
    return granted(disconnecting.pools, 's1')
  }]
  await disconnecting.clock.run(disconnecting.relay.relay(requestTo('/fetch/1', { prompt: undefined }), caller))
  t.deepEqual(disconnecting.pools.released, [{ upstream: 's1', outcome: PoolCallOutcome.NotSent }])
  const failing = createRelay([() => Promise.reject(new UpstreamError('broken', { mayHaveRun: true }))])
  failing.pools.answers = [() => granted(failing.pools, 's1')]
  await failing.clock.run(failing.relay.relay(requestTo('/fetch/1', { prompt: undefined }), new RecordingCaller()))
  t.is(failing.pools.released[0].upstream, 's1')
})
