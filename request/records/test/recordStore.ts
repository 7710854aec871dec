import { ErrorCode, Verdict } from '@reelspan/core.error'
import { AnswerEventKind } from '@reelspan/core.messages'
import { RecordStore } from '@reelspan/request.records'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

const FINAL = { kind: AnswerEventKind.Final, verdict: Verdict.Finished, eventCount: 0 } as const

function createStore (clock: VirtualClock, maxBytes = 10_000): RecordStore {
  return new RecordStore({ clock, maxBytes, recordTtlMs: 1000 })
}

test('when memory is full, new requests are refused and no record is evicted', (t) => {
  const clock = new VirtualClock()
  const store = createStore(clock)
  const keys = Array.from({ length: 100 }, (_, i) => `k${i}`)
  const refused = keys.filter((key) => {
    try {
      store.open(key, 'f', 100)
      return false
    } catch (thrown) {
      t.like(thrown, { code: ErrorCode.RecordsFull, verdict: Verdict.NotRun })
      return true
    }
  })
  t.true(refused.length > 0)
  t.true(store.bytes <= 10_000)
  keys.filter((key) => !refused.includes(key)).forEach((key) => t.truthy(store.get(key)))
})

test('a finished record is removed once its lifetime has passed, not before', async (t) => {
  const clock = new VirtualClock()
  const store = createStore(clock)
  store.open('a', 'f', 0).append(FINAL, clock.nowMs())
  store.close('a')
  await clock.advance(999)
  store.removeExpired()
  t.truthy(store.get('a'))
  await clock.advance(2)
  store.removeExpired()
  t.is(store.get('a'), undefined)
  t.is(store.bytes, 0)
})

test('the record of a running request never expires', async (t) => {
  const clock = new VirtualClock()
  const store = createStore(clock)
  store.open('a', 'f', 0)
  await clock.advance(10_000)
  store.removeExpired()
  t.truthy(store.get('a'))
})

test('events after the first final event are ignored', (t) => {
  const clock = new VirtualClock()
  const record = createStore(clock).open('a', 'f', 0)
  t.true(record.append(FINAL, 0))
  t.false(record.append({ ...FINAL, verdict: Verdict.NotRun }, 0))
  t.is(record.final?.verdict, Verdict.Finished)
})

test('every reader gets the answer from its own position, also while the answer grows', async (t) => {
  const clock = new VirtualClock()
  const record = createStore(clock).open('a', 'f', 0)
  const read = async (from: number) => {
    const texts: string[] = []
    for await (const event of record.read(from, new AbortController().signal)) texts.push(event.kind === AnswerEventKind.Token ? event.text : 'end')
    return texts
  }
  record.append({ kind: AnswerEventKind.Token, index: 0, text: 'a' }, 0)
  const early = read(0)
  record.append({ kind: AnswerEventKind.Token, index: 1, text: 'b' }, 0)
  record.append(FINAL, 0)
  t.deepEqual(await early, ['a', 'b', 'end'])
  t.deepEqual(await read(1), ['b', 'end'])
})

test('the clock of a predecessor is estimated from its last reading and the time that has passed', async (t) => {
  const clock = new VirtualClock()
  const store = createStore(clock)
  store.addPredecessors([{ incarnation: 'x', clockMs: 77 }])
  await clock.advance(10)
  t.is(store.estimateClockMs('x'), 87)
  t.is(store.estimateClockMs('y'), undefined)
})
