import { LogEvent } from '@reelspan/telemetry.log'
import { Backoffs, SignalObserver, UpstreamStates } from '@reelspan/upstream.signals'
import { RecordingLog } from '@reelspan/utils.fake-fleet'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

function create () {
  const clock = new VirtualClock()
  const log = new RecordingLog()
  const states = new UpstreamStates({ clock, log, isListed: () => true })
  const backoffs = new Backoffs({ clock, log })
  return { clock, log, states, backoffs, observer: new SignalObserver({ clock, log, states, backoffs }) }
}

test('a limit that cannot be parsed changes nothing, and is logged once', (t) => {
  const { clock, observer, states, log } = create()
  observer.observe('a', { succeeded: true, rateLimit: { perSecond: 3, text: '3' } }, clock.nowMs())
  for (let i = 0; i < 5; i++) observer.observe('a', { succeeded: true, rateLimit: { text: 'some' } }, clock.nowMs())
  t.is(states.perSecond('a'), 3)
  t.is(log.count(LogEvent.UpstreamSignalUnreadable), 1)
})

test('a draining or backoff value that cannot be parsed is logged once a minute for each signal and changes nothing', async (t) => {
  const { clock, observer, states, backoffs, log } = create()
  const unreadable = { succeeded: false, draining: { text: 'soon' }, backoff: { text: 'Thu, 01 Jan 2026 00:00:00 GMT' } }
  observer.observe('a', unreadable, clock.nowMs())
  observer.observe('a', unreadable, clock.nowMs())
  t.is(log.count(LogEvent.UpstreamSignalUnreadable), 2)
  t.false(states.isDraining('a'))
  t.is(backoffs.remainingMs('a'), 0)
  await clock.advance(60_000)
  observer.observe('a', unreadable, clock.nowMs())
  t.is(log.count(LogEvent.UpstreamSignalUnreadable), 4)
})

test('an unknown header is logged once, whichever upstream sends it', (t) => {
  const { clock, observer, log } = create()
  const signals = { succeeded: true, unknownHeaders: ['server-mood'] }
  observer.observe('a', signals, clock.nowMs())
  observer.observe('b', signals, clock.nowMs())
  t.deepEqual(log.entries.map(({ event, fields }) => [event, fields?.header]), [[LogEvent.UpstreamHeaderUnknown, 'server-mood']])
})

test('draining is logged once, and a later response that does not mention it does not end it', (t) => {
  const { clock, observer, states, log } = create()
  observer.observe('a', { succeeded: false, draining: { draining: true, text: '1' } }, clock.nowMs())
  observer.observe('a', { succeeded: true, draining: { draining: false, text: '0' } }, clock.nowMs())
  observer.observe('a', { succeeded: true }, clock.nowMs())
  t.true(states.isDraining('a'))
  t.is(log.count(LogEvent.UpstreamDraining), 1)
})

test('of overlapping backoffs the one that ends last applies', async (t) => {
  const { clock, observer, backoffs, log } = create()
  const refused = (durationMs: number) => observer.observe('a', { succeeded: false, backoff: { durationMs, text: '' } }, clock.nowMs())
  refused(3000)
  refused(500)
  t.is(backoffs.remainingMs('a'), 3000)
  await clock.advance(1000)
  refused(3000)
  t.is(backoffs.remainingMs('a'), 3000)
  t.is(backoffs.remainingMs('b'), 0)
  await clock.advance(3000)
  t.is(backoffs.remainingMs('a'), 0)
  t.is(backoffs.count, 0)
  t.is(log.count(LogEvent.UpstreamBackoff), 2)
})

test('an extremely long backoff is capped, so that the upstream is tried again, and logged with the requested duration', async (t) => {
  const { clock, observer, backoffs, log } = create()
  observer.observe('a', { succeeded: false, backoff: { durationMs: 1e300, text: '' } }, clock.nowMs())
  t.is(backoffs.remainingMs('a'), 300_000)
  t.deepEqual(log.entries[0].fields, { upstream: 'a', durationMs: 300_000, askedMs: 1e300 })
  await clock.advance(300_000)
  t.is(backoffs.remainingMs('a'), 0)
})

test('a backoff requested by one start of an upstream does not apply to the next start', (t) => {
  const { clock, observer, backoffs } = create()
  observer.observe('a@1', { succeeded: false, backoff: { durationMs: 3000, text: '3' } }, clock.nowMs())
  t.is(backoffs.remainingMs('a@2'), 0)
  t.deepEqual(backoffs.upstreams(), ['a@1'])
})
