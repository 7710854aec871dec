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
