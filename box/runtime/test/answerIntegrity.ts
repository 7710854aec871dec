import { Verdict } from '@reelspan/core.error'
import { FakeFleet } from '@reelspan/utils.fake-fleet'
import { type EngineFaults, expectedAnswer, promptFor } from '@reelspan/utils.fakes'
import test from 'ava'

const PROMPT = promptFor('whole', { answerTokens: 40 })

async function answerWithFaults (faults: Partial<EngineFaults>) {
  const fleet = await new FakeFleet({ boxCount: 4 }).start()
  fleet.engines.forEach((engine) => Object.assign(engine.faults, faults))
  const outcome = await fleet.clock.run(fleet.send('box-1', fleet.completion('box-1', PROMPT)))
  await fleet.stop()
  return outcome
}

test('tokens that arrive twice are sent to the caller once', async (t) => {
  t.is((await answerWithFaults({ doubleTokens: true })).text, expectedAnswer(PROMPT, 64))
})

test('an aborted stream is resumed where it stopped', async (t) => {
  t.is((await answerWithFaults({ breakAfterTokens: 7 })).text, expectedAnswer(PROMPT, 64))
})

test('an engine answer that belongs to another request is not passed on', async (t) => {
  const outcome = await answerWithFaults({ crossAnswers: true })
  t.is(outcome.verdict, Verdict.MayHaveRun)
  t.is(outcome.text, '')
})

test('a service answer that belongs to another request is not passed on', async (t) => {
  const fleet = await new FakeFleet({ boxCount: 3 }).start()
  fleet.services.forEach((service) => { service.faults.crossAnswers = true })
  const outcome = await fleet.clock.run(fleet.send('box-1', fleet.booking(fleet.key('box-1'))))
  t.is(outcome.verdict, Verdict.MayHaveRun)
  t.is(outcome.text, '')
  await fleet.stop()
})

test('an answer is completed on another decode engine when its engine dies', async (t) => {
  const fleet = await new FakeFleet({ boxCount: 4 }).start()
  const answer = fleet.send('box-1', fleet.completion('box-1', PROMPT))
  await fleet.clock.advance(800)
  fleet.killEngine(fleet.holds()[0].engine)
  const outcome = await fleet.clock.run(answer)
  t.is(outcome.verdict, Verdict.Finished)
  t.is(outcome.text, expectedAnswer(PROMPT, 64))
  await fleet.stop()
})

test('a forwarded answer survives a network cut between the boxes', async (t) => {
  const fleet = await new FakeFleet().start()
  const request = fleet.completion('box-1', PROMPT)
  const first = fleet.send('box-2', request)
  await fleet.clock.advance(600)
  fleet.network.blockBoth(fleet.address('box-1'), fleet.address('box-2'))
  const retry = fleet.send('box-3', request)
  t.is((await fleet.clock.run(retry)).text, expectedAnswer(PROMPT, 64))
  fleet.network.healAll()
  await fleet.clock.run(first)
  await fleet.stop()
})
