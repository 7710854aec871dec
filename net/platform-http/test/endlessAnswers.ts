import { ErrorCode } from '@reelspan/core.error'
import { Collection } from '@reelspan/core.messages'
import { HttpPlatformReader } from '@reelspan/net.platform-http'
import { AnswerKind, type OversizedAnswer, SystemClock } from '@reelspan/net.system-env'
import { type EndlessAnswer, EndlessPace, startEndlessServer } from '@reelspan/utils.stand-ins'
import test, { type ExecutionContext } from 'ava'

const WAIT_MS = 200
const UNAVAILABLE = { code: ErrorCode.PlatformUnavailable }

async function startReader (t: ExecutionContext, answer: EndlessAnswer, timeoutMs: number) {
  const { address, closings, stop } = await startEndlessServer(answer)
  const oversized: OversizedAnswer[] = []
  const reader = new HttpPlatformReader({ clock: new SystemClock(), addresses: [address], timeoutMs, onOversized: (one) => oversized.push(one) })
  t.teardown(stop)
  t.teardown(() => reader.close())
  return { reader, oversized, closings }
}

test('a read of a collection without an end fails at its bound', async (t) => {
  const { reader, oversized, closings } = await startReader(t, { status: 200 }, 20_000)
  await t.throwsAsync(reader.read(Collection.Fleet, 0, { waitMs: WAIT_MS }), { ...UNAVAILABLE, message: /larger than/ })
  await Promise.all(closings)
  t.deepEqual(oversized.map(({ kind }) => kind), [AnswerKind.Platform])
})

test('a refusal without an end fails by its status', async (t) => {
  const { reader, closings } = await startReader(t, { status: 503 }, 20_000)
  await t.throwsAsync(reader.read(Collection.Fleet, 0, { waitMs: WAIT_MS }), { ...UNAVAILABLE, message: /status 503/ })
  await Promise.all(closings)
})

test('a read that trickles without an end is over soon after its wait', async (t) => {
  const { reader, closings } = await startReader(t, { status: 200, pace: EndlessPace.Trickle }, 300)
  const startedAtMs = performance.now()
  await t.throwsAsync(reader.read(Collection.Fleet, 0, { waitMs: WAIT_MS }), UNAVAILABLE)
  t.true(performance.now() - startedAtMs < 2000)
  await Promise.all(closings)
})
