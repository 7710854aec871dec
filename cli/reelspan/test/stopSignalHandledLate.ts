import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'
import { StandInStore } from '@reelspan/utils.platform-stand-ins'
import test, { type ExecutionContext } from 'ava'
import { GRACE_MS, Outcome, type PlatformProcess, sendRequest, type SentRequest, startProcess, startService } from './__utils__/platformProcess.js'

const WORK_MS = 4000
/** Enough for an estimate of how long a request takes. */
const EARLIER_REQUESTS = 10
const SEND_EVERY_MS = 100
/** The stop may cut off requests that were sent earlier than this after the signal, in the last sixth of the grace period. */
const LATEST_CUT_SENT_MS = 3000
const EARLIEST_CUT_MS = GRACE_MS * 5 / 6

interface HoldUp {
  /** From the signal on, negative before it. */
  fromMs: number
  durationMs: number
}

async function startServing (t: ExecutionContext, ip: string) {
  const store = new StandInStore()
  const storeAddress = await store.start()
  t.teardown(() => store.stop())
  const service = await startService(t, store, WORK_MS)
  const started = await startProcess(t, { ip, storeAddress })
  while ((await sendRequest(started, { short: true })).outcome !== Outcome.Whole) await sleep(20)
  const earlier = await Promise.all(Array.from({ length: EARLIER_REQUESTS }, () => sendRequest(started)))
  t.true(earlier.every(({ outcome }) => outcome === Outcome.Whole), 'requests before the stop')
  return { started, service }
}

/** Stops a box as the platform does, while its process is held up, and sends it requests all the time. */
async function stopHeldUp (started: PlatformProcess, { fromMs, durationMs }: HoldUp): Promise<{ requests: SentRequest[], signalledAtMs: number, code: number | null }> {
  const { box } = started
  const exited = once(box, 'exit')
  const signalledAtMs = performance.now() + Math.max(0, -fromMs)
  const at = async (afterMs: number, signal: NodeJS.Signals) => {
    await sleep(Math.max(0, signalledAtMs + afterMs - performance.now()))
    box.kill(signal)
  }
  const sends: Promise<SentRequest>[] = []
  const sending = setInterval(() => { sends.push(sendRequest(started), sendRequest(started, { short: true })) }, SEND_EVERY_MS)
  const kill = setTimeout(() => box.kill('SIGKILL'), signalledAtMs + GRACE_MS - performance.now())
  await Promise.all([at(fromMs, 'SIGSTOP'), at(0, 'SIGTERM'), at(fromMs + durationMs, 'SIGCONT')])
  const [code] = await exited
  clearInterval(sending)
  clearTimeout(kill)
  return { requests: await Promise.all(sends), signalledAtMs, code }
}

const HOLD_UPS: Record<string, HoldUp> = {
  'before and at SIGTERM': { fromMs: -100, durationMs: 3000 },
  'while it stops': { fromMs: 1000, durationMs: 1500 },
}

Object.entries(HOLD_UPS).forEach(([when, holdUp], i) => {
  test(`a box that is held up ${when} cuts no request that was sent late, and stops before it is killed`, async (t) => {
    const { started, service } = await startServing(t, `127.0.0.${11 + i}`)
    const { requests, signalledAtMs, code } = await stopHeldUp(started, holdUp)
    const stopping = started.lines.find(({ event }) => event === 'stopping')
    const handledAfterMs = holdUp.fromMs < 0 ? holdUp.fromMs + holdUp.durationMs : 0
    const cut = requests.filter(({ id, outcome }) => outcome === Outcome.Cut && service.runIds.includes(id))
    const violations = cut.filter(({ sentAtMs, endedAtMs }) => sentAtMs - signalledAtMs >= LATEST_CUT_SENT_MS || endedAtMs - signalledAtMs < EARLIEST_CUT_MS)
    t.deepEqual(violations.map(({ id, sentAtMs, endedAtMs }) => `${id}: sent ${Math.round(sentAtMs - signalledAtMs)} ms, cut ${Math.round(endedAtMs - signalledAtMs)} ms after the signal`), [])
    t.true(requests.some(({ id, sentAtMs, outcome }) => outcome === Outcome.Whole && id.startsWith('short') && sentAtMs > signalledAtMs + handledAfterMs), 'short requests are served after the hold-up')
    t.is(code, 0)
    t.true(Number(stopping?.signalAgeMs) >= handledAfterMs, `signalAgeMs ${String(stopping?.signalAgeMs)}`)
  })
})
