import { CallerReader, type DisconnectedCaller, findSlowCallers, RequestBudget, RunningTime, SlowCallerReason, SlowCallers } from '@reelspan/net.byte-budget'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

const SLOW_CALLER_MS = 10_000

class FakeReader extends CallerReader {
  unsentBytes = 0
  takenBytes: number | undefined = 0
  undelivered?: number
  disconnected = false

  disconnect (): void {
    this.disconnected = true
  }
}

function createCallers (answerBytes = 1_000_000) {
  const clock = new VirtualClock()
  const disconnects: DisconnectedCaller[] = []
  const callers = new SlowCallers({
    clock,
    answerBytes,
    slowCallerMs: SLOW_CALLER_MS,
    readUndelivered: async (readers) => new Map(readers.flatMap((reader) => reader instanceof FakeReader && reader.undelivered !== undefined ? [[reader, reader.undelivered] as const] : [])),
    onDisconnected: (caller) => disconnects.push(caller),
  })
  const open = (request: string, unsentBytes: number) => {
    const reader = new FakeReader()
    reader.unsentBytes = unsentBytes
    const observed = callers.open(reader, request)
    observed.account.attach({ pause: () => {}, resume: () => {} })
    return { reader, observed, close: () => callers.close(observed) }
  }
  return { clock, callers, disconnects, open }
}

test('a caller that reads nothing is disconnected after the configured time, even if the budget is not short, and not before', async (t) => {
  const { clock, disconnects, open } = createCallers()
  open('a', 1000)
  await clock.advance(SLOW_CALLER_MS)
  t.is(disconnects.length, 0)
  await clock.advance(500)
  t.like(disconnects, [{ request: 'a', reason: SlowCallerReason.ReadNothing }])
})

test('in a shortage the caller with the most buffered of those that read nothing goes first, and no further one once the budget is available', async (t) => {
  const { clock, disconnects, open } = createCallers()
  const answers = [['a', 150_000], ['b', 400_000], ['c', 250_000]].map(([request, bytes]) => open(request as string, bytes as number))
  await clock.advance(2900)
  t.is(disconnects.length, 0)
  await clock.advance(700)
  t.like(disconnects, [{ request: 'b', reason: SlowCallerReason.BudgetShort, bufferedBytes: 400_000 }])
  t.is(disconnects.length, 1)
  answers.forEach(({ close }) => close())
})

test('in a shortage a caller that reads steadily stays, and one that takes a thousand bytes a second goes', async (t) => {
  const { clock, disconnects, open } = createCallers()
  const readers = [open('steady', 400_000), open('tiny', 400_000)].map(({ reader }) => reader)
  for (let second = 0; second < 15; second++) {
    readers.forEach((reader, i) => { reader.takenBytes = (reader.takenBytes ?? 0) + [17_000, 1000][i] })
    await clock.advance(1000)
  }
  t.deepEqual(disconnects.map(({ request }) => request), ['tiny'])
})

test('a caller whose system acknowledges bytes reads, although Node could not complete a write', async (t) => {
  const { clock, disconnects, open } = createCallers()
  const { reader, close } = open('a', 900_000)
  for (const undelivered of [2_000_000, 1_900_000, 1_800_000, 2_500_000, 2_400_000, 2_600_000, 2_500_000]) {
    reader.undelivered = undelivered
    await clock.advance(2000)
  }
  t.deepEqual(disconnects, [])
  close()
})

test('an answer whose upstream sends nothing for long, or that waits for an earlier one of its connection, does not make its caller slow', async (t) => {
  const { clock, disconnects, open } = createCallers()
  const [idle, pipelined] = [open('idle', 0), open('pipelined', 900_000)]
  pipelined.reader.takenBytes = undefined
  await clock.advance(60_000)
  t.deepEqual(disconnects, [])
  idle.close()
  pipelined.close()
})

test('time in which this process did not run does not count', (t) => {
  const time = new RunningTime(250, 0)
  t.is(time.advance(250), 250)
  t.is(time.advance(60_000), 500)
})

test('a body that would exceed the budget is refused with the delay after which bodies will have been released, unless it is alone', async (t) => {
  const clock = new VirtualClock()
  const budget = new RequestBudget({ clock, totalBytes: 1000 })
  const alone = budget.open()
  t.notThrows(() => alone.expect(2000))
  alone.add(900)
  const other = budget.open()
  t.is(t.throws<ReelspanError>(() => other.expect(200), { code: ErrorCode.BodiesFull })?.retryAfterMs, 1000)
  other.add(100)
  t.throws(() => other.add(1), { code: ErrorCode.BodiesFull })
  other.release()
  other.release()
  t.is(budget.usedBytes, 900)
  // 100 bytes were released within 2 s, so 400 need about 8 s, more than the longest delay.
  t.is(t.throws<ReelspanError>(() => budget.open().expect(500), { code: ErrorCode.BodiesFull })?.retryAfterMs, 5000)
  alone.release()
  t.is(budget.usedBytes, 0)
})

test('a caller that took its answer fast until recently is not disconnected while its system acknowledges in large steps', (t) => {
  const stalled = { bufferedBytes: 500_000, paused: true, stalledMs: 4000 }
  const found = (bytesPerMs?: number) => findSlowCallers([{ ...stalled, bytesPerMs }], { short: true, slowCallerMs: SLOW_CALLER_MS }).length
  t.is(found(100), 0)
  t.is(found(1), 1)
  t.is(found(), 1, 'nothing is known of its pace')
})
