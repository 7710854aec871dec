import { Verdict } from '@reelspan/core.error'
import { Collection } from '@reelspan/core.messages'
import { FakeFleet } from '@reelspan/utils.fake-fleet'
import { promptFor, SeededRandom } from '@reelspan/utils.fakes'
import { EngineRole } from '@reelspan/upstream.client'
import { uniqueFenceOf } from '@reelspan/upstream.orders'
import test from 'ava'

const ANSWER_TOKENS = 60
/** Short prompts with long answers: too much for five decode engines, but not for seven. */
const REQUESTS_PER_SECOND = 28
const DURATION_MS = 40_000
/** The engines have changed their roles by then. */
const SETTLED_AFTER_MS = 20_000

function countOf (fleet: FakeFleet, role: EngineRole): number {
  return [...fleet.engines.values()].filter((engine) => engine.role === role).length
}

/** Runs the load. Measures the share of requests in its last half that finished with their first token in time. */
async function runLoad (rolesFollowLoad: boolean) {
  const fleet = await new FakeFleet({ settings: { scheduling: { rolesFollowLoad } } }).start()
  await fleet.clock.advance(6000)
  const random = new SeededRandom(5)
  const answers: Promise<boolean>[] = []
  for (let atMs = 0; atMs < DURATION_MS;) {
    const gapMs = -Math.log(1 - random.nextFloat()) * 1000 / REQUESTS_PER_SECOND
    atMs += gapMs
    await fleet.clock.advance(gapMs)
    const sentAtMs = fleet.clock.nowMs()
    const box = `box-${1 + answers.length % 8}`
    const answer = fleet.send(box, fleet.completion(box, promptFor(`r${answers.length}`, { answerTokens: ANSWER_TOKENS })))
      .then(({ verdict, tokenAtMs }) => verdict === Verdict.Finished && tokenAtMs[0] - sentAtMs <= 390)
    if (atMs > SETTLED_AFTER_MS) answers.push(answer)
  }
  const inTime = (await fleet.clock.run(Promise.all(answers))).filter((one) => one).length / answers.length
  const orders = [...fleet.engines.values()].reduce((sum, engine) => sum + engine.orders.length, 0)
  const decode = countOf(fleet, EngineRole.Decode)
  const prefill = countOf(fleet, EngineRole.Prefill)
  await fleet.stop()
  return { inTime, orders, prefill, decode }
}

test('under a load of long answers spare prefill engines become decode engines, and more callers are served in time', async (t) => {
  const before = await runLoad(false)
  const after = await runLoad(true)
  t.log(`in time: ${before.inTime.toFixed(3)} with fixed roles, ${after.inTime.toFixed(3)} with roles that follow the load; ${after.orders} orders`)
  t.deepEqual([before.prefill, before.decode, before.orders], [3, 5, 0])
  t.true(after.decode > 5 && after.prefill >= 1, `${after.prefill} prefill, ${after.decode} decode`)
  t.true(after.orders <= 2, `${after.orders} orders`)
  t.true(after.inTime > before.inTime + 0.1, `${before.inTime} before, ${after.inTime} after`)
})

/** Sends requests with long answers, which make the scheduler change the role of an engine after a few seconds. */
async function sendLongAnswers (fleet: FakeFleet, durationMs: number): Promise<void> {
  for (let atMs = 0; atMs < durationMs; atMs += 40) {
    const { name } = fleet.liveBoxes()[(atMs / 40) % fleet.liveBoxes().length]
    void fleet.send(name, fleet.completion(name, promptFor(`k${atMs}-${durationMs}`, { answerTokens: ANSWER_TOKENS })))
    await fleet.clock.advance(40)
  }
}

test('engines end up in working roles when the scheduler dies during a role change', async (t) => {
  const fleet = await new FakeFleet({ settings: { scheduling: { rolesFollowLoad: true } }, engine: { loadModelMs: 6000 } }).start()
  await fleet.clock.advance(6000)
  await sendLongAnswers(fleet, 8000)
  t.is([...fleet.engines.values()].reduce((sum, engine) => sum + engine.orders.length, 0), 1)
  fleet.kill(fleet.schedulerBox().name)
  await sendLongAnswers(fleet, 30_000)
  const orders = [...fleet.engines.values()].map((engine) => engine.orders.length)
  t.true(Math.max(...orders) === 1, 'no engine was ordered twice')
  t.true(countOf(fleet, EngineRole.Prefill) >= 1)
  t.true([...fleet.engines.values()].every((engine) => !engine.report().changing))
  await fleet.stop()
})

test('an order to change a role carries the platform revision that its box knows, not a counter of the box', async (t) => {
  const fleet = await new FakeFleet({ settings: { scheduling: { rolesFollowLoad: true } }, engine: { loadModelMs: 6000 } }).start()
  // Boxes receive several revisions at once, in different combinations.
  for (let i = 0; i < 5; i++) fleet.platform.publish(Collection.Fleet, [])
  await fleet.clock.advance(6000)
  const revision = Math.max(...Object.values(Collection).map((collection) => fleet.platform.revision(collection)))
  await sendLongAnswers(fleet, 8000)
  const [order] = [...fleet.engines.values()].flatMap(({ orders }) => orders)
  t.is(order.fence, uniqueFenceOf(revision, 0, fleet.schedulerBox().name))
  await fleet.stop()
})
