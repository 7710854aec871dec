import { Verdict } from '@reelspan/core.error'
import { FakeFleet } from '@reelspan/utils.fake-fleet'
import { promptFor } from '@reelspan/utils.fakes'
import test, { type ExecutionContext } from 'ava'

const LONG_PROMPT = promptFor('long', { answerTokens: 500 })

/** Starts a long completion on the fleet and waits until a decode engine runs it. */
async function startLongCompletion (fleet: FakeFleet, owner: string, signal?: AbortSignal) {
  const request = fleet.completion(owner, LONG_PROMPT, { maxTokens: 500 })
  const answer = fleet.send(owner, request, signal)
  answer.catch(() => {})
  await fleet.clock.advance(700)
  return { request, answer }
}

/** A box that is not the scheduler of the only shard. */
function otherBox (fleet: FakeFleet): string {
  return fleet.liveBoxes().find(({ name }) => name !== fleet.schedulerBox().name)?.name as string
}

async function checkReleasedWithin (t: ExecutionContext, fleet: FakeFleet, boundMs: number): Promise<void> {
  t.not(fleet.holds().length, 0, 'nothing was held')
  await fleet.clock.advance(boundMs)
  t.deepEqual(fleet.holds(), [])
}

test('a cancellation releases the engine immediately', async (t) => {
  const fleet = await new FakeFleet().start()
  const { request, answer } = await startLongCompletion(fleet, 'box-1')
  void fleet.box('box-4').box.cancel(request.key)
  t.is((await fleet.clock.run(answer)).verdict, Verdict.MayHaveRun)
  await fleet.clock.advance(20)
  t.deepEqual(fleet.holds(), [])
  await fleet.stop()
})

test('the engine is released if a caller disconnects and does not rejoin in time', async (t) => {
  const fleet = await new FakeFleet().start()
  const gone = new AbortController()
  await startLongCompletion(fleet, 'box-1', gone.signal)
  gone.abort()
  await checkReleasedWithin(t, fleet, 1100)
  await fleet.stop()
})

test('holds of a killed owner are released within four seconds', async (t) => {
  const fleet = await new FakeFleet().start()
  const owner = otherBox(fleet)
  await startLongCompletion(fleet, owner)
  fleet.kill(owner)
  await fleet.clock.run(fleet.startBox(owner))
  await checkReleasedWithin(t, fleet, 4000)
  await fleet.stop()
})

test('holds of an owner that stays isolated are released after the maximum duration in their label', async (t) => {
  const fleet = await new FakeFleet().start()
  const owner = otherBox(fleet)
  const request = fleet.completion(owner, LONG_PROMPT, { maxTokens: 5000, deadlineMs: 8000 })
  void fleet.send(owner, request)
  await fleet.clock.advance(700)
  fleet.isolate(owner)
  await checkReleasedWithin(t, fleet, 10_000)
  await fleet.stop()
})

test('holds of a killed owner without a replacement are released within four seconds', async (t) => {
  const fleet = await new FakeFleet().start()
  const owner = otherBox(fleet)
  await startLongCompletion(fleet, owner)
  fleet.kill(owner)
  await checkReleasedWithin(t, fleet, 4000)
  await fleet.stop()
})

test('a stalled transfer is aborted and both engines are released', async (t) => {
  const fleet = await new FakeFleet().start()
  fleet.engines.forEach((engine) => { engine.faults.stallTransfers = true })
  const { answer } = await startLongCompletion(fleet, 'box-1')
  t.not(fleet.holds().length, 0)
  fleet.engines.forEach((engine) => { engine.faults.stallTransfers = false })
  t.is((await fleet.clock.run(answer)).verdict, Verdict.Finished)
  await fleet.clock.advance(3000)
  t.deepEqual(fleet.holds(), [])
  await fleet.stop()
})

test('no holds of lost requests remain after a scheduler is killed', async (t) => {
  const fleet = await new FakeFleet().start()
  const owner = otherBox(fleet)
  await startLongCompletion(fleet, owner)
  fleet.kill(fleet.schedulerBox().name)
  fleet.kill(owner)
  await fleet.clock.run(fleet.startBox(owner))
  await checkReleasedWithin(t, fleet, 6000)
  await fleet.stop()
})

test('the scheduler releases the hold of an owner that cannot reach its engine', async (t) => {
  const fleet = await new FakeFleet().start()
  const owner = otherBox(fleet)
  const { request } = await startLongCompletion(fleet, owner)
  const engine = fleet.holds()[0].engine
  fleet.network.blockBoth(fleet.address(owner), fleet.address(engine))
  fleet.box(owner).box.cancel(request.key)
  await checkReleasedWithin(t, fleet, 3000)
  await fleet.stop()
})

test('the hold of a running request is not released', async (t) => {
  const fleet = await new FakeFleet().start()
  const { answer } = await startLongCompletion(fleet, otherBox(fleet))
  const outcome = await fleet.clock.run(answer)
  t.is(outcome.verdict, Verdict.Finished)
  t.is(outcome.tokenAtMs.length, 500)
  await fleet.stop()
})
