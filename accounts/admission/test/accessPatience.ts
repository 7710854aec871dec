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

/** A clock by which timers end half a millisecond before their time. */
class EarlyTimersClock extends VirtualClock {
  #readAtMs = this.virtualMs()

  override nowMs (): number {
    return this.virtualMs() > this.#readAtMs ? this.virtualMs() - 0.5 : this.#readAtMs
  }

  virtualMs (): number {
    return super.nowMs()
  }
}

// Requests with a key that nobody has looked at the configuration hundreds of times at the end of their wait, without
// a pause: the timer had ended, and the clock said that half a millisecond was left. The evidence: a warning of more
// than ten listeners at one signal, each added by one more look.
test('a request that waits looks at the configuration once when its time is over', async (t) => {
  const clock = new EarlyTimersClock()
  const news = new Notifier()
  let looks = 0
  const changed = (signal: AbortSignal) => {
    if (++looks > 10) throw new Error('it looks again and again')
    return news.wait(signal)
  }
  const patience = new AccessPatience({ clock, changed })
  const decided = patience.untilDecided(() => UNKNOWN, UNKNOWN)
  await Promise.race([clock.advance(500), decided])
  t.is((await Promise.race([decided, Promise.resolve(undefined)]))?.access, Access.KeyUnknown)
  t.is(looks, 1)
})
