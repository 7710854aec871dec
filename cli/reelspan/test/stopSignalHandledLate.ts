import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'
import { StandInStore } from '@reelspan/utils.platform-stand-ins'
import test, { type ExecutionContext } from 'ava'
import { GRACE_MS, Outcome, type PlatformProcess, sendRequest, type SentRequest, startProcess, startService } from './__utils__/platformProcess.js'

const WORK_MS = 4000
/** Enough for an estimate of how long a request takes. */
const EARLIER_REQUESTS = 10
const SEND_EVERY_MS = 100
/** The stop may cut off requests that were sent earlier than this after the signal. */
const LATEST_CUT_SENT_MS = 3000

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
  while (!started.events.includes('revisionAdopted')) await sleep(20)
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
  const sending = setInterval(() => { sends.push(sendRequest(started)) }, SEND_EVERY_MS)
  const kill = setTimeout(() => box.kill('SIGKILL'), signalledAtMs + GRACE_MS - performance.now())
  await Promise.all([at(fromMs, 'SIGSTOP'), at(0, 'SIGTERM'), at(fromMs + durationMs, 'SIGCONT')])
  const [code] = await exited
  clearInterval(sending)
  clearTimeout(kill)
  return { requests: await Promise.all(sends), signalledAtMs, code }
}

const HOLD_UPS = {
  'before and at': { fromMs: -100, durationMs: 3000 },
  after: { fromMs: 1000, durationMs: 1500 },
}

Object.entries(HOLD_UPS).forEach(([when, holdUp], i) => {
  test(`a box that is held up ${when} SIGTERM cuts no request that was sent later, and stops before it is killed`, async (t) => {
    const { started, service } = await startServing(t, `127.0.0.${11 + i}`)
    const { requests, signalledAtMs, code } = await stopHeldUp(started, holdUp)
    const cut = requests.filter(({ id, outcome }) => outcome === Outcome.Cut && service.runIds.includes(id))
    const sentAfterMs = cut.map(({ sentAtMs }) => Math.round(sentAtMs - signalledAtMs))
    t.deepEqual(sentAfterMs.filter((ms) => ms >= LATEST_CUT_SENT_MS), [], 'requests that were cut, by when they were sent after the signal')
    t.is(code, 0)
  })
})
