import { LogEvent } from '@reelspan/telemetry.log'
import { UpstreamStates } from '@reelspan/upstream.signals'
import { SilentLog } from '@reelspan/utils.fake-fleet'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

function create () {
  const clock = new VirtualClock()
  const log = new SilentLog()
  const listed = new Set(['a'])
  return { clock, log, limits: new UpstreamStates({ clock, log, isListed: (name) => listed.has(name) }) }
}

const named = (perSecond: number, succeeded = true) => ({ succeeded, rateLimit: { perSecond, text: String(perSecond) } })
const SILENT = { succeeded: true }

test('a limit holds from the first answer that names it, a failure or refusal too', (t) => {
  const { clock, limits, log } = create()
  t.is(limits.perSecond('a'), undefined)
  limits.observe('a', named(3, false), clock.nowMs())
  t.is(limits.perSecond('a'), 3)
  limits.observe('a', named(5.1), clock.nowMs())
  t.is(limits.perSecond('a'), 5.1)
  t.deepEqual(log.entries.map(({ event, fields }) => [event, fields?.perSecond]), [[LogEvent.UpstreamLimitChanged, 3], [LogEvent.UpstreamLimitChanged, 5.1]])
})

test('a success that names no limit ends it if its request was sent since; a failure or an older answer does not', async (t) => {
  const { clock, limits } = create()
  const before = clock.nowMs()
  await clock.advance(100)
  limits.observe('a', named(3), before)
  await clock.advance(100)
  limits.observe('a', SILENT, before)
  limits.observe('a', { succeeded: false }, clock.nowMs())
  t.is(limits.perSecond('a'), 3)
  limits.observe('a', SILENT, clock.nowMs())
  t.is(limits.perSecond('a'), undefined)
})

test('an upstream that starts again owes nothing to the limit of its start before, which is forgotten', async (t) => {
  const { clock, limits } = create()
  limits.observe('a@1', named(3), clock.nowMs())
  t.is(limits.perSecond('a@2'), undefined)
  limits.expire()
  t.is(limits.perSecond('a@1'), 3)
  await clock.advance(61_000)
  limits.expire()
  t.is(limits.count, 0)
  t.is(limits.digest, 0)
})

test('draining that another box observed is taken in, whichever limit is the later one, and is told on once', async (t) => {
  const { clock, limits, log } = create()
  limits.observe('a', named(3), clock.nowMs())
  t.true(limits.add({ upstream: 'a', draining: true, ageMs: 5000 }))
  t.true(limits.isDraining('a'))
  t.is(limits.perSecond('a'), 3)
  t.false(limits.add({ upstream: 'a', draining: true, ageMs: 4000 }))
  await clock.advance(100)
  t.true(limits.add({ upstream: 'a', perSecond: 5, ageMs: 0 }))
  t.true(limits.isDraining('a'))
  t.is(log.count(LogEvent.UpstreamDraining), 1)
  t.like(limits.updateOf('a'), { perSecond: 5, draining: true })
})

test('boxes that know the same of draining and limits have the same digest, whichever they heard first', (t) => {
  const [a, b] = [create(), create()]
  a.limits.add({ upstream: 'a', perSecond: 3, ageMs: 10 })
  t.not(a.limits.digest, 0)
  const limitedOnly = a.limits.digest
  a.limits.add({ upstream: 'a', draining: true, ageMs: 20 })
  t.not(a.limits.digest, limitedOnly)
  b.limits.observe('a', { succeeded: false, draining: { draining: true, text: '1' } }, 0)
  t.not(b.limits.digest, 0)
  b.limits.observe('a', named(3), 0)
  t.is(a.limits.digest, b.limits.digest)
})

test('a draining upstream is forgotten a minute after it is unlisted, and changes the revision of what drains both times', async (t) => {
  const { clock, limits } = create()
  const revisions = [limits.drainingRevision]
  limits.observe('gone', { succeeded: true, draining: { draining: true, text: '1' } }, 0)
  limits.observe('a', { succeeded: true, draining: { draining: true, text: '1' } }, 0)
  revisions.push(limits.drainingRevision)
  await clock.advance(61_000)
  limits.expire()
  revisions.push(limits.drainingRevision)
  t.deepEqual([limits.isDraining('gone'), limits.isDraining('a')], [false, true])
  t.true(revisions[0] < revisions[1] && revisions[1] < revisions[2])
})

test('a later limit that another box observed does not end draining', async (t) => {
  const { clock, limits } = create()
  limits.observe('a', { succeeded: true, draining: { draining: true, text: '1' } }, clock.nowMs())
  await clock.advance(10)
  t.true(limits.add({ upstream: 'a', perSecond: 2, ageMs: 0 }))
  t.true(limits.isDraining('a'))
})
