import { PlatformContactWatch, REENTRY_MS } from '@reelspan/box.runtime'
import { Collection } from '@reelspan/core.messages'
import { LogEvent } from '@reelspan/telemetry.log'
import { VirtualClock } from '@reelspan/utils.fakes'
import { SilentLog } from '@reelspan/utils.fake-fleet'
import test from 'ava'

function createWatch () {
  const clock = new VirtualClock()
  const log = new SilentLog()
  return { clock, log, watch: new PlatformContactWatch({ clock, log }) }
}

test('entries may have lapsed after a long absence of the platform, until upstreams had time to enter themselves again', async (t) => {
  const { clock, watch } = createWatch()
  let calls = 0
  watch.onBack(() => { calls++ })
  watch.note(false, { collection: Collection.Fleet, silentMs: 1000, reason: 'reset' })
  t.false(watch.mayHaveLapsed)
  await clock.advance(4000)
  t.true(watch.mayHaveLapsed)
  watch.note(true, { collection: Collection.Fleet, silentMs: 5000 })
  t.true(watch.mayHaveLapsed)
  t.is(calls, 1)
  await clock.advance(REENTRY_MS)
  t.false(watch.mayHaveLapsed)
})

test('a short absence takes no entries away', async (t) => {
  const { clock, watch } = createWatch()
  watch.note(false, { collection: Collection.Fleet, silentMs: 100 })
  await clock.advance(500)
  watch.note(true, { collection: Collection.Fleet, silentMs: 600 })
  t.false(watch.mayHaveLapsed)
})

test('a lost and a regained platform are told of in the log, with how long it was silent', (t) => {
  const { log, watch } = createWatch()
  watch.note(false, { collection: Collection.Declarations, silentMs: 100, reason: 'reset' })
  watch.note(true, { collection: Collection.Declarations, silentMs: 600 })
  t.deepEqual(log.entries.map(({ event, fields }) => [event, fields?.silentMs]), [[LogEvent.DependencyLost, 100], [LogEvent.DependencyRegained, 600]])
})
