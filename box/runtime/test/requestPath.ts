import { Verdict } from '@reelspan/core.error'
import { FakeFleet } from '@reelspan/utils.fake-fleet'
import { expectedAnswer, promptFor } from '@reelspan/utils.fakes'
import test from 'ava'

test('a completion runs through separate prefill and decode pools and is returned complete', async (t) => {
  const fleet = await new FakeFleet().start()
  const prompt = promptFor('a', { answerTokens: 20 })
  const outcome = await fleet.clock.run(fleet.send('box-1', fleet.completion('box-1', prompt)))
  t.is(outcome.verdict, Verdict.Finished)
  t.is(outcome.text, expectedAnswer(prompt, 64))
  t.deepEqual(fleet.holds(), [])
  await fleet.stop()
})

test('every box forwards a request to the owner that its key names', async (t) => {
  const fleet = await new FakeFleet().start()
  const key = fleet.key('box-3')
  const outcomes = await fleet.clock.run(Promise.all(fleet.boxes.map(({ name }) => fleet.send(name, fleet.booking(key)))))
  t.true(outcomes.every(({ verdict }) => verdict === Verdict.Finished))
  t.is(new Set(outcomes.map(({ text }) => text)).size, 1)
  t.is(fleet.serviceRuns(key), 1)
  await fleet.stop()
})
