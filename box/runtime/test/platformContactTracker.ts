import { PlatformContactTracker } from '@reelspan/box.runtime'
import { REREGISTRATION_MS } from '@reelspan/config.fleet'
import { Collection } from '@reelspan/core.messages'
import { LogEvent } from '@reelspan/telemetry.log'
import { VirtualClock } from '@reelspan/utils.fakes'
import { RecordingLog } from '@reelspan/utils.fake-fleet'
import test from 'ava'

function createTracker ({ isWatcher = true, lastAnswerMs = Number.NEGATIVE_INFINITY } = {}) {
  const clock = new VirtualClock()
  const log = new RecordingLog()
  return { clock, log, tracker: new PlatformContactTracker({ clock, log, isWatcher: () => isWatcher, lastAnswerMs: () => lastAnswerMs }) }
}

test('entries may have expired after a long platform outage, until upstreams had time to register again', async (t) => {
  const { clock, tracker } = createTracker()
  let calls = 0
  tracker.onRegained(() => { calls++ })
  tracker.recordReachability(false, { collection: Collection.Fleet, silentMs: 1000, reason: 'reset' })
  t.false(tracker.mayHaveExpired)
  await clock.advance(4000)
  t.true(tracker.mayHaveExpired)
  tracker.recordReachability(true, { collection: Collection.Fleet, silentMs: 5000 })
  t.true(tracker.mayHaveExpired)
  t.is(calls, 1)
  await clock.advance(REREGISTRATION_MS)
  t.false(tracker.mayHaveExpired)
})

test('a short outage expires no entries', async (t) => {
  const { clock, tracker } = createTracker()
  tracker.recordReachability(false, { collection: Collection.Fleet, silentMs: 100 })
  await clock.advance(500)
  tracker.recordReachability(true, { collection: Collection.Fleet, silentMs: 600 })
  t.false(tracker.mayHaveExpired)
})

test('lost and regained contact with the platform is logged with its duration', (t) => {
  const { log, tracker } = createTracker()
  tracker.recordReachability(false, { collection: Collection.Declarations, silentMs: 100, reason: 'reset' })
  tracker.recordReachability(true, { collection: Collection.Declarations, silentMs: 600 })
  t.deepEqual(log.entries.map(({ event, fields }) => [event, fields?.silentMs]), [[LogEvent.DependencyLost, 100], [LogEvent.DependencyRegained, 600]])
})

test('no entries expire while the platform answers other boxes, even if this box cannot reach it', async (t) => {
  const { clock, tracker } = createTracker({ isWatcher: false })
  tracker.recordAnswer()
  tracker.recordReachability(false, { collection: Collection.Fleet, silentMs: 100, reason: 'reset' })
  for (let i = 0; i < 20; i++) {
    await clock.advance(700)
    tracker.receivePeerReport({ silentMs: 300, answeredMs: 300, answeringMs: 300 })
  }
  t.false(tracker.mayHaveExpired)
})

test('a box that rarely polls the platform learns from its peers that an outage has started and ended', async (t) => {
  const { clock, tracker } = createTracker({ isWatcher: false })
  tracker.receivePeerReport({ silentMs: 0, answeredMs: 0, answeringMs: 0 })
  for (let silentMs = 700; silentMs < 5000; silentMs += 700) {
    await clock.advance(700)
    tracker.receivePeerReport({ silentMs, answeredMs: silentMs, answeringMs: silentMs })
  }
  t.true(tracker.mayHaveExpired)
  tracker.receivePeerReport({ silentMs: 0, answeredMs: 0, answeringMs: 0 })
  t.true(tracker.mayHaveExpired, 'upstreams may still register again')
  await clock.advance(REREGISTRATION_MS)
  tracker.receivePeerReport({ silentMs: 0, answeredMs: 0, answeringMs: 0 })
  t.false(tracker.mayHaveExpired)
})

test('a pending watch counts as contact until it fails', async (t) => {
  const { clock, tracker } = createTracker()
  tracker.recordAnswer()
  await clock.advance(20_000)
  t.is(tracker.sinceContactMs, 0)
  tracker.recordReachability(false, { collection: Collection.Fleet, silentMs: 4000 })
  t.is(tracker.sinceContactMs, 4000)
  t.true(tracker.mayHaveExpired)
})

test('the first answer ends no outage', (t) => {
  const { tracker } = createTracker({ isWatcher: false })
  t.is(tracker.sinceContactMs, undefined)
  tracker.recordAnswer()
  t.is(tracker.sinceContactMs, 0)
  t.false(tracker.mayHaveExpired)
})

test('a peer that kept contact shows that nothing expired while this box had no contact', async (t) => {
  const { clock, tracker } = createTracker()
  tracker.recordAnswer()
  await clock.advance(5000)
  tracker.recordReachability(false, { collection: Collection.Fleet, silentMs: 5000, reason: 'reset' })
  t.true(tracker.mayHaveExpired)
  await clock.advance(5000)
  tracker.recordReachability(true, { collection: Collection.Fleet, silentMs: 10_000 })
  t.true(tracker.mayHaveExpired, 'as far as this box knows by itself')
  tracker.receivePeerReport({ silentMs: 0, answeredMs: 0, answeringMs: 60_000 })
  t.false(tracker.mayHaveExpired)
  t.deepEqual(tracker.answering, { silentMs: 0, answeredMs: 0, answeringMs: 60_000 })
})

test('the time to register again starts with the first answer that any box got', async (t) => {
  const { clock, tracker } = createTracker({ isWatcher: false })
  tracker.receivePeerReport({ silentMs: 0, answeredMs: 0, answeringMs: 60_000 })
  await clock.advance(8000)
  tracker.recordAnswer()
  await clock.advance(500)
  tracker.receivePeerReport({ silentMs: 0, answeredMs: 0, answeringMs: 2000 })
  t.true(tracker.mayHaveExpired)
  await clock.advance(REREGISTRATION_MS - 2000)
  t.false(tracker.mayHaveExpired)
})

test('a peer report from before the outage does not shorten the outage', async (t) => {
  const { clock, tracker } = createTracker({ isWatcher: false })
  tracker.receivePeerReport({ silentMs: 0, answeredMs: 0, answeringMs: 60_000 })
  await clock.advance(8000)
  tracker.recordAnswer()
  tracker.receivePeerReport({ silentMs: 8000, answeredMs: 8000, answeringMs: 70_000 })
  t.true(tracker.mayHaveExpired)
  t.is(tracker.sinceContactMs, 0)
})

test('a failed watch does not count as contact, whatever peers reported meanwhile', async (t) => {
  const { clock, tracker } = createTracker()
  tracker.recordAnswer()
  await clock.advance(2000)
  tracker.receivePeerReport({ silentMs: 1500, answeredMs: 1500, answeringMs: 30_000 })
  await clock.advance(2000)
  tracker.recordReachability(false, { collection: Collection.Fleet, silentMs: 4000 })
  t.is(tracker.sinceContactMs, 3500)
})

test('a peer whose watch has not failed yet does not shorten an outage', async (t) => {
  const { clock, tracker } = createTracker({ isWatcher: false })
  tracker.receivePeerReport({ silentMs: 0, answeredMs: 0, answeringMs: 60_000 })
  await clock.advance(2900)
  tracker.receivePeerReport({ silentMs: 0, answeredMs: 2900, answeringMs: 62_900 })
  t.false(tracker.mayHaveExpired, 'no box has detected an outage')
  await clock.advance(2000)
  tracker.recordAnswer()
  t.true(tracker.mayHaveExpired, 'the platform answered no box for 4.9 s')
})
