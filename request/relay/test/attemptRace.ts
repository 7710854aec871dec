import { Attempt, type AttemptFailure, AttemptRace, CancelCause } from '@reelspan/request.relay'
import test from 'ava'

/** An attempt that ends when the test says so, or when it is cancelled. */
class ScriptedAttempt extends Attempt {
  readonly retryable = true
  readonly name: string
  #finish = () => {}
  #fail = (_error: Error) => {}

  constructor (name: string) {
    super({ signal: new AbortController().signal, elapsedMs: 0 })
    this.name = name
  }

  run (): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#finish = resolve
      this.#fail = reject
      this.signal.addEventListener('abort', () => reject(new Error('cancelled')))
    })
  }

  finish (): void {
    this.#finish()
  }

  fail (): void {
    this.#fail(new Error(`${this.name} failed`))
  }
}

function startRace ({ firstSent = false } = {}) {
  const failures: AttemptFailure[] = []
  const race = new AttemptRace((failure) => failures.push(failure))
  const first = new ScriptedAttempt('first')
  const second = new ScriptedAttempt('second')
  const outcome = race.run(first)
  if (firstSent) race.recordSent(first)
  race.join(second)
  return { race, first, second, outcome, failures }
}

test('an attempt that was sent is not cancelled when the other one is sent', (t) => {
  const { race, first, second } = startRace({ firstSent: true })
  race.recordSent(second)
  t.deepEqual(race.open, [first, second])
})

test('an attempt that was not sent cannot be sent any more once the other one was', (t) => {
  const { race, first, second } = startRace()
  race.recordSent(second)
  t.is(first.cancelCause, CancelCause.Superseded)
  t.throws(() => race.recordSent(first))
})

test('only the attempt that writes first goes on', (t) => {
  const { race, first, second } = startRace({ firstSent: true })
  race.recordSent(second)
  race.claim(second)
  t.true(first.signal.aborted)
  t.throws(() => race.claim(first))
  t.notThrows(() => race.claim(second))
})

test('the failure of one of two attempts does not end the request', async (t) => {
  const { race, first, second, outcome, failures } = startRace()
  second.fail()
  await new Promise(setImmediate)
  t.deepEqual(failures.map(({ attempt }) => attempt.name), ['second'])
  t.deepEqual(race.open, [first])
  first.finish()
  t.is(await outcome, undefined)
})

test('the failure of the last attempt is returned, also if a cancelled one ends later', async (t) => {
  const { race, first, second, outcome } = startRace()
  race.recordSent(second)
  second.fail()
  t.is((await outcome)?.attempt, second)
  t.is(first.cancelCause, CancelCause.Superseded)
})
