import { MessageType } from '@reelspan/core.messages'
import test from 'ava'
import { createPlacer, PLAN, reportEngines, requestOf } from './__utils__/createPlacer.js'

test('a request that waits at the own scheduler is withdrawn when its caller leaves, and offered to no other shard', async (t) => {
  const { clock, placer, schedulers } = createPlacer({ shards: 2 })
  const left = new AbortController()
  const placing = placer.place(requestOf('r1'), { signal: left.signal })
  await clock.advance(100)
  t.is(schedulers.reduce((sum, scheduler) => sum + scheduler.describe().waiting, 0), 1)
  left.abort()
  await clock.advance(0)
  t.is(schedulers.reduce((sum, scheduler) => sum + scheduler.describe().waiting, 0), 0)
  t.false('plan' in await clock.run(placing, 0))
})

test('a place that is found in the moment in which the caller leaves is not held', async (t) => {
  const { clock, placer, schedulers: [scheduler] } = createPlacer()
  const left = new AbortController()
  const placing = placer.place(requestOf('r1'), { signal: left.signal })
  await clock.advance(100)
  reportEngines(scheduler)
  t.is(scheduler.ledger.reservationCount, 1)
  left.abort()
  t.false('plan' in await clock.run(placing, 0))
  t.is(scheduler.ledger.reservationCount, 0)
  t.is(placer.liveCount, 0)
})

test('a request on its way to another box\'s scheduler is withdrawn there once, and nobody else is asked', async (t) => {
  const { clock, fallback, link, placer } = createPlacer({ remote: true, shards: 2 })
  const left = new AbortController()
  const placing = placer.place(requestOf('r1'), { signal: left.signal })
  await clock.advance(100)
  left.abort()
  t.false('plan' in await clock.run(placing, 0))
  t.is(link.ofType(MessageType.Reserve).length, 1)
  t.is(link.ofType(MessageType.ReleaseReservation).length, 1)
  t.is(fallback.asked, 0)
})

test('a place that another box found in the moment in which the caller leaves is given back and not held', async (t) => {
  const { clock, link, placer } = createPlacer({ remote: true })
  const left = new AbortController()
  const placing = placer.place(requestOf('r1'), { signal: left.signal })
  await clock.advance(100)
  link.calls[0].answer({ type: MessageType.ReserveAnswer, answer: PLAN })
  left.abort()
  t.false('plan' in await clock.run(placing, 0))
  t.is(link.ofType(MessageType.ReleaseReservation).length, 1)
  t.is(placer.liveCount, 0)
})

test('for a caller that has left no scheduler is asked', async (t) => {
  const { clock, fallback, link, placer } = createPlacer({ remote: true })
  t.false('plan' in await clock.run(placer.place(requestOf('r1'), { signal: AbortSignal.abort() }), 0))
  t.is(link.calls.length, 0)
  t.is(fallback.asked, 0)
})

test('a scheduler whose shard another one has taken over holds nothing for what that accounts for', async (t) => {
  const { clock, link, placer, schedulers: [scheduler], replaceScheduler } = createPlacer()
  reportEngines(scheduler)
  t.true('plan' in await clock.run(placer.place(requestOf('r1'), { signal: new AbortController().signal }), 0))
  t.is(scheduler.ledger.reservationCount, 1)
  replaceScheduler()
  const adopting = placer.adoptByNewSchedulers()
  await clock.advance(0)
  t.is(scheduler.ledger.reservationCount, 1, 'the new one does not know of it yet')
  link.calls[0].answer({ type: MessageType.Done })
  await clock.run(adopting, 0)
  t.is(scheduler.ledger.reservationCount, 0)
  t.is(placer.liveCount, 1)
})

test('a request that ends while its shard is taken over is held by neither scheduler', async (t) => {
  const { clock, link, placer, schedulers: [scheduler], replaceScheduler } = createPlacer()
  reportEngines(scheduler)
  const placement = await clock.run(placer.place(requestOf('r1'), { signal: new AbortController().signal }), 0)
  if (!('plan' in placement)) return t.fail()
  replaceScheduler()
  const adopting = placer.adoptByNewSchedulers()
  await clock.advance(0)
  placement.release()
  link.calls[0].answer({ type: MessageType.Done })
  await clock.run(adopting, 0)
  t.is(scheduler.ledger.reservationCount, 0)
  t.deepEqual(link.ofType(MessageType.ReleaseReservation).length, 1, 'the new one is told as well')
})
