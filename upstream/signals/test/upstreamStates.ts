import { LogEvent } from '@reelspan/telemetry.log'
import { UpstreamStates } from '@reelspan/upstream.signals'
import { RecordingLog } from '@reelspan/utils.fake-fleet'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

function create () {
  const clock = new VirtualClock()
  const log = new RecordingLog()
  const listed = new Set(['a'])
  return { clock, log, states: new UpstreamStates({ clock, log, isListed: (name) => listed.has(name) }) }
}

const withLimit = (perSecond: number, succeeded = true) => ({ succeeded, rateLimit: { perSecond, text: String(perSecond) } })
const WITHOUT_LIMIT = { succeeded: true }

test('a limit applies from the first response that advertises it, including failures and refusals', (t) => {
  const { clock, states, log } = create()
  t.is(states.perSecond('a'), undefined)
  states.observe('a', withLimit(3, false), clock.nowMs())
  t.is(states.perSecond('a'), 3)
  states.observe('a', withLimit(5.1), clock.nowMs())
  t.is(states.perSecond('a'), 5.1)
  t.deepEqual(log.entries.map(({ event, fields }) => [event, fields?.perSecond]), [[LogEvent.UpstreamLimitChanged, 3], [LogEvent.UpstreamLimitChanged, 5.1]])
})

test('a success without a limit ends the limit if its request was sent after the limit was observed; a failure or an older answer does not', async (t) => {
  const { clock, states } = create()
  const before = clock.nowMs()
  await clock.advance(100)
  states.observe('a', withLimit(3), before)
  await clock.advance(100)
  states.observe('a', WITHOUT_LIMIT, before)
  states.observe('a', { succeeded: false }, clock.nowMs())
  t.is(states.perSecond('a'), 3)
  states.observe('a', WITHOUT_LIMIT, clock.nowMs())
  t.is(states.perSecond('a'), undefined)
})

test('a limit does not apply to the next start of an upstream, and is removed after its TTL', async (t) => {
  const { clock, states } = create()
  states.observe('a@1', withLimit(3), clock.nowMs())
  t.is(states.perSecond('a@2'), undefined)
  states.expire()
  t.is(states.perSecond('a@1'), 3)
  await clock.advance(61_000)
  states.expire()
  t.is(states.count, 0)
  t.is(states.digest, 0)
})

test('draining that another box observed is recorded, whichever limit is newer, and is reported as a change once', async (t) => {
  const { clock, states, log } = create()
  states.observe('a', withLimit(3), clock.nowMs())
  t.true(states.add({ upstream: 'a', draining: true, ageMs: 5000 }))
  t.true(states.isDraining('a'))
  t.is(states.perSecond('a'), 3)
  t.false(states.add({ upstream: 'a', draining: true, ageMs: 4000 }))
  await clock.advance(100)
  t.true(states.add({ upstream: 'a', perSecond: 5, ageMs: 0 }))
  t.true(states.isDraining('a'))
  t.is(log.count(LogEvent.UpstreamDraining), 1)
  t.like(states.updateOf('a'), { perSecond: 5, draining: true })
})

test('what is read after a hold-up is not later than what others observed during it', async (t) => {
  const { clock, log } = create()
  const heldUpAtMs = clock.nowMs()
  const states = new UpstreamStates({ clock, log, isListed: () => true, earliestArrivalMs: () => heldUpAtMs })
  await clock.advance(3000)
  states.observe('a', withLimit(50), heldUpAtMs - 100)
  t.is(states.updateOf('a')?.ageMs, 3000)
  states.add({ upstream: 'b', perSecond: 50, ageMs: 20 })
  t.is(states.updateOf('b')?.ageMs, 3020)
  states.observe('a', withLimit(2), clock.nowMs())
  states.observe('a', withLimit(50), heldUpAtMs - 50)
  t.is(states.perSecond('a'), 2)
})

test('boxes with the same draining states and limits have the same digest, whatever the order of updates', (t) => {
  const [a, b] = [create(), create()]
  a.states.add({ upstream: 'a', perSecond: 3, ageMs: 10 })
  t.not(a.states.digest, 0)
  const limitedOnly = a.states.digest
  a.states.add({ upstream: 'a', draining: true, ageMs: 20 })
  t.not(a.states.digest, limitedOnly)
  b.states.observe('a', { succeeded: false, draining: { draining: true, text: '1' } }, 0)
  t.not(b.states.digest, 0)
  b.states.observe('a', withLimit(3), 0)
  t.is(a.states.digest, b.states.digest)
})

test('a draining upstream is removed a minute after it is unlisted, and the draining revision changes both times', async (t) => {
  const { clock, states } = create()
  const revisions = [states.drainingRevision]
  states.observe('gone', { succeeded: true, draining: { draining: true, text: '1' } }, 0)
  states.observe('a', { succeeded: true, draining: { draining: true, text: '1' } }, 0)
  revisions.push(states.drainingRevision)
  await clock.advance(61_000)
  states.expire()
  revisions.push(states.drainingRevision)
  t.deepEqual([states.isDraining('gone'), states.isDraining('a')], [false, true])
  t.true(revisions[0] < revisions[1] && revisions[1] < revisions[2])
})

test('a later limit that another box observed does not end draining', async (t) => {
  const { clock, states } = create()
  states.observe('a', { succeeded: true, draining: { draining: true, text: '1' } }, clock.nowMs())
  await clock.advance(10)
  t.true(states.add({ upstream: 'a', perSecond: 2, ageMs: 0 }))
  t.true(states.isDraining('a'))
})
