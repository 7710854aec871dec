import { ErrorCode, Verdict } from '@reelspan/core.error'
import { FakeFleet } from '@reelspan/utils.fake-fleet'
import { expectedAnswer, promptFor } from '@reelspan/utils.fakes'
import test from 'ava'

test('a booking whose answer was lost is not sent again, and its caller is told that it may have run', async (t) => {
  const fleet = await new FakeFleet().start()
  fleet.services.forEach((service) => { service.faults.loseAnswers = true })
  const key = fleet.key('box-1')
  const first = await fleet.clock.run(fleet.send('box-2', fleet.booking(key)))
  const retry = await fleet.clock.run(fleet.send('box-3', fleet.booking(key)))
  t.is(first.verdict, Verdict.MayHaveRun)
  t.is(retry.verdict, Verdict.MayHaveRun)
  t.is(fleet.serviceRuns(key), 1)
  await fleet.stop()
})

test('a repeatable call whose answer was lost is tried elsewhere', async (t) => {
  const fleet = await new FakeFleet().start()
  const [first] = fleet.services.values()
  first.faults.loseAnswers = true
  const calls = Array.from({ length: 6 }, () => fleet.send('box-1', fleet.booking(fleet.key('box-1'), { route: 'desk', notRepeatable: false, path: '/desk' })))
  const outcomes = await fleet.clock.run(Promise.all(calls))
  t.deepEqual(outcomes.map(({ verdict }) => verdict), calls.map(() => Verdict.Finished))
  await fleet.stop()
})

test('an owner that dies after it sent a booking leaves its key unused by any other box', async (t) => {
  const fleet = await new FakeFleet().start()
  const key = fleet.key('box-1')
  const first = fleet.send('box-2', fleet.booking(key))
  await fleet.clock.advance(15)
  t.is(fleet.serviceRuns(key), 1)
  fleet.kill('box-1')
  t.is((await fleet.clock.run(first)).verdict, Verdict.MayHaveRun)
  await fleet.clock.run(fleet.startBox('box-1'))
  const retries = await fleet.clock.run(Promise.all(['box-1', 'box-3', 'box-4'].map((name) => fleet.send(name, fleet.booking(key)))))
  t.deepEqual(retries.map(({ verdict }) => verdict), retries.map(() => Verdict.MayHaveRun))
  t.is(fleet.serviceRuns(key), 1)
  await fleet.stop()
})

test('a key from before a restart of the same address is not run by the new process', async (t) => {
  const fleet = await new FakeFleet().start()
  const key = fleet.key('box-1')
  fleet.kill('box-1')
  await fleet.clock.run(fleet.startBox('box-1'))
  const outcome = await fleet.clock.run(fleet.send('box-1', fleet.booking(key)))
  t.is(outcome.verdict, Verdict.MayHaveRun)
  t.is(outcome.code, ErrorCode.OwnerGone)
  t.is(fleet.serviceRuns(key), 0)
  await fleet.stop()
})

test('a key that has outlived its prefix is not run', async (t) => {
  const fleet = await new FakeFleet({ boxCount: 3 }).start()
  const key = fleet.key('box-1')
  await fleet.clock.advance(301_000)
  const outcome = await fleet.clock.run(fleet.send('box-2', fleet.booking(key)))
  t.is(outcome.verdict, Verdict.MayHaveRun)
  t.is(outcome.code, ErrorCode.KeyExpired)
  t.is(fleet.serviceRuns(key), 0)
  await fleet.stop()
})

test('a booking without a key from a lookup is refused and not run', async (t) => {
  const fleet = await new FakeFleet({ boxCount: 3 }).start()
  const outcome = await fleet.clock.run(fleet.send('box-1', fleet.booking('my-own-key')))
  t.is(outcome.verdict, Verdict.NotRun)
  t.is(outcome.code, ErrorCode.KeyRequired)
  t.is(fleet.serviceRuns('my-own-key'), 0)
  await fleet.stop()
})

test('messages between boxes that arrive twice do not run a booking twice', async (t) => {
  const fleet = await new FakeFleet().start()
  fleet.network.doubledShare = 1
  const key = fleet.key('box-1')
  const outcomes = await fleet.clock.run(Promise.all(['box-2', 'box-3'].map((name) => fleet.send(name, fleet.booking(key)))))
  t.true(outcomes.every(({ verdict }) => verdict === Verdict.Finished))
  t.is(fleet.serviceRuns(key), 1)
  await fleet.stop()
})

test('a retry joins a running stream and gets it whole from the start', async (t) => {
  const fleet = await new FakeFleet().start()
  const prompt = promptFor('join', { answerTokens: 60 })
  const request = fleet.completion('box-1', prompt)
  const first = fleet.send('box-2', request)
  await fleet.clock.advance(900)
  const retry = fleet.send('box-5', request)
  const outcomes = await fleet.clock.run(Promise.all([first, retry]))
  t.deepEqual(outcomes.map(({ text }) => text), [expectedAnswer(prompt, 64), expectedAnswer(prompt, 64)])
  t.deepEqual([...fleet.engines.values()].flatMap(({ prefillRuns, decodeRuns }) => [...prefillRuns, ...decodeRuns]), ['join', 'join'], 'one prefill and one decode')
  await fleet.stop()
})

test('a key that is used for another request is refused', async (t) => {
  const fleet = await new FakeFleet({ boxCount: 3 }).start()
  const request = fleet.completion('box-1', promptFor('one', { answerTokens: 5 }))
  await fleet.clock.run(fleet.send('box-1', request))
  const other = await fleet.clock.run(fleet.send('box-2', { ...request, prompt: promptFor('two', { answerTokens: 5 }) }))
  t.is(other.code, ErrorCode.KeyReused)
  await fleet.stop()
})

test('a repeatable request of an owner that is gone is run by another', async (t) => {
  const fleet = await new FakeFleet().start()
  const prompt = promptFor('again', { answerTokens: 10 })
  const request = fleet.completion('box-1', prompt)
  fleet.kill('box-1')
  await fleet.clock.run(fleet.startBox('box-1'))
  await fleet.clock.advance(3000)
  const outcomes = await fleet.clock.run(Promise.all(['box-2', 'box-3'].map((name) => fleet.send(name, request))))
  t.deepEqual(outcomes.map(({ text }) => text), [expectedAnswer(prompt, 64), expectedAnswer(prompt, 64)])
  await fleet.stop()
})

test('a box that slept through its own replacement starts nothing under its old keys', async (t) => {
  const fleet = await new FakeFleet().start()
  const key = fleet.key('box-1')
  const sleeper = fleet.box('box-1')
  const request = fleet.booking(key)
  const asleep = fleet.send('box-1', request)
  sleeper.clock.pause()
  await fleet.clock.advance(20)
  await fleet.clock.run(fleet.startBox('box-1'))
  await fleet.clock.advance(3000)
  sleeper.clock.resume()
  const outcome = await fleet.clock.run(asleep)
  t.not(outcome.verdict, Verdict.Finished)
  t.true(fleet.serviceRuns(key) <= 1)
  const retry = await fleet.clock.run(fleet.send('box-2', request))
  t.is(retry.verdict, Verdict.MayHaveRun)
  t.true(fleet.serviceRuns(key) <= 1)
  await fleet.stop()
})

test('a request that waits past its deadline while its box sleeps is not sent afterwards', async (t) => {
  const fleet = await new FakeFleet({ boxCount: 3 }).start()
  const key = fleet.key('box-1')
  const { clock } = fleet.box('box-1')
  clock.pause()
  const answer = fleet.send('box-1', fleet.booking(key, { deadlineMs: 2000 }))
  await fleet.clock.advance(2500)
  clock.resume()
  const outcome = await fleet.clock.run(answer)
  t.is(outcome.verdict, Verdict.NotRun)
  t.is(outcome.code, ErrorCode.DeadlinePassed)
  t.is(fleet.serviceRuns(key), 0)
  await fleet.stop()
})
