import { UnknownKeyWaiter } from '@reelspan/accounts.admission'
import { Access, type AccessDecision } from '@reelspan/accounts.keys'
import { Notifier } from '@reelspan/core.env'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

const UNKNOWN: AccessDecision = { access: Access.KeyUnknown }

function createWaiter () {
  const clock = new VirtualClock()
  const updates = new Notifier()
  return { clock, updates, waiter: new UnknownKeyWaiter({ clock, changed: (signal) => updates.wait(signal) }) }
}

test('a key that is declared while its request waits is accepted at once', async (t) => {
  const { clock, updates, waiter } = createWaiter()
  let decision = UNKNOWN
  const decided = waiter.waitForDecision(() => decision, UNKNOWN)
  await clock.advance(100)
  updates.notify()
  decision = { access: Access.Granted }
  await clock.advance(10)
  updates.notify()
  t.is((await decided).access, Access.Granted)
  t.is(clock.nowMs(), 1110)
})

test('an unknown key is refused after half a second, however often the configuration changes', async (t) => {
  const { clock, updates, waiter } = createWaiter()
  const startedAtMs = clock.nowMs()
  const changing = async () => {
    while (clock.nowMs() < startedAtMs + 2000) {
      await clock.sleep(50)
      updates.notify()
    }
  }
  void changing()
  t.is((await clock.run(waiter.waitForDecision(() => UNKNOWN, UNKNOWN))).access, Access.KeyUnknown)
  t.is(clock.nowMs() - startedAtMs, 500)
})

test('of many requests with invalid keys a few wait in a bounded queue, and the rest are refused at once', async (t) => {
  const { clock, waiter } = createWaiter()
  let refused = 0
  Array.from({ length: 1000 }, () => waiter.waitForDecision(() => UNKNOWN, UNKNOWN).then(() => { refused++ }))
  await clock.advance(0)
  t.is(refused, 1000 - 32)
  await clock.advance(500)
  t.is(refused, 1000)
})

/** A clock whose timers fire half a millisecond early. */
class EarlyTimersClock extends VirtualClock {
  #readAtMs = this.virtualMs()

  override nowMs (): number {
    return this.virtualMs() > this.#readAtMs ? this.virtualMs() - 0.5 : this.#readAtMs
  }

  virtualMs (): number {
    return super.nowMs()
  }
}

// Guards against a busy loop: a timer may fire while half a millisecond is left by the clock. Requests with an unknown
// key then read the configuration hundreds of times without a pause, and each read added a listener to the same signal,
// which caused a warning about more than ten listeners.
test('a waiting request reads the configuration once when its timeout has passed', async (t) => {
  const clock = new EarlyTimersClock()
  const updates = new Notifier()
  let checks = 0
  const changed = (signal: AbortSignal) => {
    if (++checks > 10) throw new Error('the configuration is read repeatedly')
    return updates.wait(signal)
  }
  const waiter = new UnknownKeyWaiter({ clock, changed })
  const decided = waiter.waitForDecision(() => UNKNOWN, UNKNOWN)
  await Promise.race([clock.advance(500), decided])
  t.is((await Promise.race([decided, Promise.resolve(undefined)]))?.access, Access.KeyUnknown)
  t.is(checks, 1)
})
