import { AccessPatience } from '@reelspan/accounts.admission'
import { Access, type AccessDecision } from '@reelspan/accounts.keys'
import { Notifier } from '@reelspan/core.env'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

const UNKNOWN: AccessDecision = { access: Access.KeyUnknown }

function createPatience () {
  const clock = new VirtualClock()
  const news = new Notifier()
  return { clock, news, patience: new AccessPatience({ clock, changed: (signal) => news.wait(signal) }) }
}

test('a key that is declared while its request waits is taken at once', async (t) => {
  const { clock, news, patience } = createPatience()
  let decision = UNKNOWN
  const decided = patience.untilDecided(() => decision, UNKNOWN)
  await clock.advance(100)
  news.notify()
  decision = { access: Access.Granted }
  await clock.advance(10)
  news.notify()
  t.is((await decided).access, Access.Granted)
  t.is(clock.nowMs(), 1110)
})

test('a key that nobody has is refused after half a second, however often the configuration changes', async (t) => {
  const { clock, news, patience } = createPatience()
  const startedAtMs = clock.nowMs()
  const changing = async () => {
    while (clock.nowMs() < startedAtMs + 2000) {
      await clock.sleep(50)
      news.notify()
    }
  }
  void changing()
  t.is((await clock.run(patience.untilDecided(() => UNKNOWN, UNKNOWN))).access, Access.KeyUnknown)
  t.is(clock.nowMs() - startedAtMs, 500)
})

test('a flood of made-up keys waits in a small queue, and the rest are refused at once', async (t) => {
  const { clock, patience } = createPatience()
  let refused = 0
  Array.from({ length: 1000 }, () => patience.untilDecided(() => UNKNOWN, UNKNOWN).then(() => { refused++ }))
  await clock.advance(0)
  t.is(refused, 1000 - 32)
  await clock.advance(500)
  t.is(refused, 1000)
})
