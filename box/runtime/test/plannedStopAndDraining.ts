import { FleetEntryKind, UpstreamKind } from '@reelspan/config.fleet'
import { ErrorCode, Verdict } from '@reelspan/core.error'
import { Collection } from '@reelspan/core.messages'
import { FakeFleet } from '@reelspan/utils.fake-fleet'
import { expectedAnswer, promptFor } from '@reelspan/utils.fakes'
import test from 'ava'

const PROPAGATION_MS = 3000

function announceLeaving (fleet: FakeFleet, name: string, kind: UpstreamKind, pool: string): void {
  const spec = { kind, pool, address: fleet.address(name), availabilityZone: 'hall-a', leaving: true }
  fleet.platform.publish(Collection.Fleet, [{ kind: FleetEntryKind.Upstream, name, spec }])
}

test('a draining service gets no new calls after a few seconds', async (t) => {
  const fleet = await new FakeFleet().start()
  announceLeaving(fleet, 'desk-1', UpstreamKind.Service, 'script-desk')
  await fleet.clock.advance(PROPAGATION_MS)
  const keys = fleet.boxes.flatMap(({ name }) => Array.from({ length: 4 }, () => fleet.key(name)))
  await fleet.clock.run(Promise.all(keys.map((key, i) => fleet.send(fleet.boxes[i % 8].name, fleet.booking(key)))))
  t.is(keys.filter((key) => fleet.service('desk-1').runs.has(key)).length, 0)
  t.is(keys.filter((key) => fleet.serviceRuns(key) === 1).length, keys.length)
  await fleet.stop()
})

test('a draining engine gets no new work after a few seconds, and its running requests finish', async (t) => {
  const fleet = await new FakeFleet().start()
  const prompt = promptFor('before', { answerTokens: 200 })
  const running = fleet.send('box-1', fleet.completion('box-1', prompt, { maxTokens: 200 }))
  await fleet.clock.advance(800)
  const engine = fleet.holds()[0].engine
  announceLeaving(fleet, engine, UpstreamKind.Engine, 'draft-decode')
  await fleet.clock.advance(PROPAGATION_MS)
  const runsBefore = fleet.engine(engine).decodeRuns.length
  const later = Array.from({ length: 20 }, (_, i) => fleet.send('box-2', fleet.completion('box-2', promptFor(`later-${i}`, { answerTokens: 5 }))))
  await fleet.clock.run(Promise.all(later))
  t.is(fleet.engine(engine).decodeRuns.length, runsBefore)
  t.is((await fleet.clock.run(running)).text, expectedAnswer(prompt, 200))
  await fleet.stop()
})

test('a decode engine that starts draining during the prefill is not used', async (t) => {
  const fleet = await new FakeFleet({ engine: { prefillBaseMs: 2000 } }).start()
  const prompt = promptFor('leaves', { answerTokens: 20 })
  const running = fleet.send('box-1', fleet.completion('box-1', prompt, { maxTokens: 20, ttftTargetMs: 5000 }))
  await fleet.clock.advance(300)
  const chosen = fleet.schedulerBox().box.describe().shards.flatMap(({ decode }) => decode).find(({ reservedPlaces }) => reservedPlaces > 0)?.name as string
  announceLeaving(fleet, chosen, UpstreamKind.Engine, 'draft-decode')
  t.is((await fleet.clock.run(running)).text, expectedAnswer(prompt, 20))
  t.is(fleet.engine(chosen).decodeRuns.length, 0)
  await fleet.stop()
})

test('a planned stop interrupts no request and hands its records over to another box', async (t) => {
  const fleet = await new FakeFleet().start()
  const prompt = promptFor('stop', { answerTokens: 150 })
  const request = fleet.completion('box-1', prompt, { maxTokens: 150 })
  const booking = fleet.booking(fleet.key('box-1'))
  const booked = await fleet.clock.run(fleet.send('box-2', booking))
  const running = [fleet.send('box-1', request), fleet.send('box-3', request)]
  await fleet.clock.advance(500)
  const stopped = fleet.box('box-1').box.drain()
  const outcomes = await fleet.clock.run(Promise.all(running))
  t.deepEqual(outcomes.map(({ text }) => text), [expectedAnswer(prompt, 150), expectedAnswer(prompt, 150)])
  await fleet.clock.run(stopped)
  fleet.box('box-1').alive = false
  const retries = await fleet.clock.run(Promise.all([fleet.send('box-4', request), fleet.send('box-5', booking)]))
  t.is(retries[0].text, expectedAnswer(prompt, 150))
  t.is(retries[1].text, booked.text)
  t.is(fleet.serviceRuns(booking.key), 1)
  await fleet.stop()
})

test('a planned stop waits for an answer that takes longer than lookup answers are cached', async (t) => {
  const fleet = await new FakeFleet().start()
  const prompt = promptFor('long', { answerTokens: 600 })
  const running = fleet.send('box-1', fleet.completion('box-1', prompt, { maxTokens: 600 }))
  await fleet.clock.advance(500)
  const stopped = fleet.box('box-1').box.drain()
  const outcome = await fleet.clock.run(running)
  t.true(outcome.endMs > 10_000)
  t.is(outcome.text, expectedAnswer(prompt, 600))
  await fleet.clock.run(stopped)
  fleet.box('box-1').alive = false
  await fleet.stop()
})

test('an unused key of a stopped box is answered as not run', async (t) => {
  const fleet = await new FakeFleet().start()
  const key = fleet.key('box-1')
  await fleet.clock.run(fleet.box('box-1').box.drain())
  fleet.box('box-1').alive = false
  const outcome = await fleet.clock.run(fleet.send('box-4', fleet.booking(key)))
  t.is(outcome.verdict, Verdict.NotRun)
  t.is(outcome.code, ErrorCode.OwnerReplaced)
  t.is(fleet.serviceRuns(key), 0)
  await fleet.stop()
})

test('records are handed over from successor to successor', async (t) => {
  const fleet = await new FakeFleet().start()
  const booking = fleet.booking(fleet.key('box-1'))
  const booked = await fleet.clock.run(fleet.send('box-2', booking))
  await fleet.clock.run(fleet.box('box-1').box.drain())
  fleet.box('box-1').alive = false
  const successor = fleet.liveBoxes().find(({ box }) => box.describe().records.taken.length > 0)
  t.truthy(successor)
  await fleet.clock.run(fleet.box(successor?.name as string).box.drain())
  fleet.box(successor?.name as string).alive = false
  const asked = fleet.liveBoxes()[0].name
  const retry = await fleet.clock.run(fleet.send(asked, booking))
  t.is(retry.text, booked.text)
  await fleet.stop()
})

test('lookups do not return a stopping box, and it issues no keys of its own', async (t) => {
  const fleet = await new FakeFleet().start()
  const stopped = fleet.box('box-1').box.drain()
  await fleet.clock.advance(1000)
  const answers = await Promise.all(fleet.boxes.flatMap(({ box }) => Array.from({ length: 5 }, () => box.lookup())).map((answer) => fleet.clock.run(answer)))
  t.true(answers.every(({ boxes }) => boxes.length > 0 && boxes.every(({ name }) => name !== 'box-1')))
  const own = fleet.key('box-1').split('-')[1].slice(0, 20)
  t.true(answers.every(({ keyPrefix }) => !keyPrefix.includes(own)))
  await fleet.clock.run(stopped)
  await fleet.stop()
})

test('a stopping box serves a caller that uses a cached lookup answer', async (t) => {
  const fleet = await new FakeFleet().start()
  const key = fleet.key('box-1')
  const stopped = fleet.box('box-1').box.drain()
  await fleet.clock.advance(4000)
  const outcome = await fleet.clock.run(fleet.send('box-1', fleet.booking(key)))
  t.is(outcome.verdict, Verdict.Finished)
  await fleet.clock.run(stopped)
  await fleet.stop()
})

test('a box with a stop deadline accepts as owner only requests whose own deadline is earlier', async (t) => {
  const fleet = await new FakeFleet({ settings: { requests: { stopWithinMs: 8000 } } }).start()
  const keys = { long: fleet.key('box-1'), short: fleet.key('box-1') }
  const stopped = fleet.box('box-1').box.drain()
  await fleet.clock.advance(1000)
  const long = fleet.send('box-2', fleet.completion('box-1', promptFor('long', { answerTokens: 600 }), { key: keys.long, maxTokens: 600 }))
  const short = fleet.send('box-2', fleet.completion('box-1', promptFor('short', { answerTokens: 5 }), { key: keys.short, deadlineMs: 5000 }))
  const outcomes = await fleet.clock.run(Promise.all([long, short]))
  t.deepEqual(outcomes.map(({ verdict }) => verdict), [Verdict.NotRun, Verdict.Finished])
  await fleet.clock.run(stopped)
  fleet.box('box-1').alive = false
  await fleet.stop()
})

const STOP_WITHIN_MS = 7600

test('a box that handles SIGTERM late stops in time and hands its records over, also beside boxes that are held up', async (t) => {
  const heldUpMs = [250, 600, 1500, 3000]
  for (const [seed, lateMs] of heldUpMs.entries()) {
    const fleet = await new FakeFleet({ seed, settings: { requests: { stopWithinMs: STOP_WITHIN_MS, longestRequestMs: 2500 } } }).start()
    const booking = fleet.booking(fleet.key('box-1'))
    const booked = await fleet.clock.run(fleet.send('box-2', booking))
    await fleet.clock.advance(1000)
    const stopping = fleet.box('box-1')
    const signalledAtMs = fleet.clock.nowMs()
    stopping.clock.pause()
    fleet.box('box-3').clock.pause()
    await fleet.clock.advance(lateMs)
    stopping.clock.resume()
    await fleet.clock.run(stopping.box.drain())
    t.true(fleet.clock.nowMs() - signalledAtMs <= STOP_WITHIN_MS, `${lateMs} ms late: stopped ${Math.round(fleet.clock.nowMs() - signalledAtMs)} ms after the signal`)
    stopping.alive = false
    fleet.box('box-3').clock.resume()
    await fleet.clock.advance(1000)
    const retry = await fleet.clock.run(fleet.send('box-4', booking))
    t.is(retry.text, booked.text, `${lateMs} ms late: the record was handed over`)
    await fleet.stop()
  }
})

test('a request that still runs when the records are handed over is not answered as not run by the successor, and goes on', async (t) => {
  const fleet = await new FakeFleet({ settings: { requests: { stopWithinMs: STOP_WITHIN_MS, lookupKeepMs: 2000 } } }).start()
  const request = { ...fleet.completion('box-1', promptFor('long', { answerTokens: 800 }), { maxTokens: 800 }), notRepeatable: true }
  const running = fleet.send('box-2', request)
  await fleet.clock.advance(500)
  const signalledAtMs = fleet.clock.nowMs()
  const stopped = fleet.box('box-1').box.drain()
  const outcome = await fleet.clock.run(running)
  t.true(fleet.clock.nowMs() - signalledAtMs >= STOP_WITHIN_MS - 100, `ended ${Math.round(fleet.clock.nowMs() - signalledAtMs)} ms after the signal: ${outcome.code}`)
  await fleet.clock.run(stopped)
  fleet.box('box-1').alive = false
  await fleet.clock.advance(500)
  const retry = await fleet.clock.run(fleet.send('box-4', request))
  t.is(retry.verdict, Verdict.MayHaveRun)
  await fleet.stop()
})

test('a box that handles SIGTERM late finishes or refuses every request that comes while callers still know it', async (t) => {
  for (const lateMs of [0, 1000, 2000, 3000]) {
    const fleet = await new FakeFleet({ settings: { requests: { stopWithinMs: STOP_WITHIN_MS, longestRequestMs: 2500, lookupKeepMs: 2000 } } }).start()
    const keys = Array.from({ length: 80 }, () => fleet.key('box-1'))
    const signalledAtMs = fleet.clock.nowMs()
    const stopping = fleet.box('box-1')
    stopping.clock.pause()
    await fleet.clock.advance(lateMs)
    stopping.clock.resume()
    const handledAtMs = fleet.clock.nowMs()
    const ended = { atMs: Number.POSITIVE_INFINITY }
    const stopped = stopping.box.drain().then(() => { ended.atMs = fleet.clock.nowMs() })
    const verdicts: Verdict[] = []
    for (const key of keys) {
      const { verdict } = await fleet.clock.run(fleet.send('box-1', { ...fleet.booking(key), deadlineMs: 300 }))
      verdicts.push(verdict)
      await fleet.clock.advance(50)
      if (fleet.clock.nowMs() > handledAtMs + 3000) break
    }
    await fleet.clock.run(stopped)
    t.true(ended.atMs - signalledAtMs <= STOP_WITHIN_MS, `${lateMs} ms late: stopped after ${Math.round(ended.atMs - signalledAtMs)} ms`)
    t.true(verdicts.filter((verdict) => verdict === Verdict.Finished).length > 20, `${lateMs} ms late: ${verdicts.join(' ')}`)
    t.true(verdicts.every((verdict) => verdict !== Verdict.MayHaveRun), `${lateMs} ms late: ${verdicts.join(' ')}`)
    stopping.alive = false
    await fleet.stop()
  }
})
