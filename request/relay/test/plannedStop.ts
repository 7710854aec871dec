import { Verdict } from '@reelspan/core.error'
import test from 'ava'
import { answersAfter, createRelay, RecordingCaller, requestTo } from './__utils__/createRelay.js'

const EARLIER_RUNS = 8

async function startWithKnownDurations (durationMs: number) {
  const created = createRelay([...Array.from({ length: EARLIER_RUNS }, () => answersAfter(durationMs, 200, 'earlier')), answersAfter(durationMs, 200, 'script')])
  const { clock, relay, upstreams } = created
  for (let i = 0; i < EARLIER_RUNS; i++) await clock.run(relay.relay(requestTo(`/fetch/${i}`), new RecordingCaller(), 1000))
  const send = async (deadlineMs: number) => {
    const caller = new RecordingCaller()
    await clock.run(relay.relay(requestTo('/fetch/last'), caller, deadlineMs))
    return { caller, ran: upstreams.runs.length > EARLIER_RUNS }
  }
  return { clock, relay, send }
}

test('once the signal may be older than cached lookup answers, an estimate is not enough to accept a request', async (t) => {
  const { clock, relay, send } = await startWithKnownDurations(100)
  relay.scheduleStop(clock.nowMs() + 800, clock.nowMs() - 1)
  const { caller, ran } = await send(1000)
  t.is(caller.refused?.verdict, Verdict.NotRun)
  t.false(ran)
})

test('until then it is, and later a deadline that is earlier than the stop', async (t) => {
  const early = await startWithKnownDurations(100)
  early.relay.scheduleStop(early.clock.nowMs() + 800, early.clock.nowMs() + 1)
  t.true((await early.send(1000)).caller.complete)
  const late = await startWithKnownDurations(100)
  late.relay.scheduleStop(late.clock.nowMs() + 800, late.clock.nowMs() - 1)
  t.true((await late.send(700)).caller.complete)
})
