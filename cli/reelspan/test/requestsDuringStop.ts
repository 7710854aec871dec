import { once } from 'node:events'
import { Agent } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { publishSlowCalls, Role, StandInStore, StandInUpstream } from '@reelspan/utils.platform-stand-ins'
import test, { type ExecutionContext } from 'ava'
import { GRACE_MS, Outcome, outcomeOf, type PlatformProcess, sendRequest, startProcess } from './__utils__/platformProcess.js'

const DEADLINE_MS = 14_000
const KNOWN_WORK_MS = 300
/** As many earlier requests as an estimate of their duration needs, and more. */
const EARLIER_REQUESTS = 20
const SEND_EVERY_MS = 50
/** A refusal comes at once, and not at the end of the grace period. */
const MAX_REFUSAL_MS = 2000
/** The stop may cut off requests that were sent earlier than this after the signal, if they still run in the last sixth of the grace period. */
const LATEST_CUT_SENT_MS = 3000
const EARLIEST_CUT_MS = GRACE_MS * 5 / 6

interface SentDuringStop {
  id: string
  /** After the signal. */
  sentAfterMs: number
  endedAfterMs: number
  outcome: Outcome
}

interface Deployment {
  boxes: PlatformProcess[]
  service: StandInUpstream
}

/** Starts boxes and a service whose answers take longer than those before once `slowMs` is set. */
async function startDeployment (t: ExecutionContext, ips: readonly string[], kind: string): Promise<Deployment & { work: { ms: number } }> {
  const work = { ms: KNOWN_WORK_MS }
  const store = new StandInStore()
  const storeAddress = await store.start()
  const service = new StandInUpstream(Role.Service, { shapeOf: () => ({ events: 1, workMs: work.ms }) })
  await service.start()
  t.teardown(() => {
    service.stop()
    store.stop()
  })
  publishSlowCalls(store, { pathPrefix: '/slow/', deadlineMs: DEADLINE_MS, address: service.address, kind })
  const first = await startProcess(t, { ip: ips[0], storeAddress })
  const others = await Promise.all(ips.slice(1).map((ip) => startProcess(t, { ip, storeAddress, seeds: [first.controlAddress] })))
  const boxes = [first, ...others]
  await Promise.all(boxes.map(async (box) => {
    while ((await sendRequest(box, { short: true })).outcome !== Outcome.Whole) await sleep(20)
  }))
  return { boxes, service, work }
}

/** Sends requests on connections that are kept for as long as the box keeps them, or on new ones. */
function sender ({ frontAddress }: PlatformProcess, { keepAlive }: { keepAlive: boolean }) {
  const agent = new Agent({ keepAlive })
  return (id: string) => outcomeOf(frontAddress, id, { agent })
}

async function checkStop (t: ExecutionContext, ips: readonly string[], { workMs, kind = 'unsafe' }: { workMs: number, kind?: string }): Promise<void> {
  const { boxes, service, work } = await startDeployment(t, ips, kind)
  const senders = boxes.flatMap((box) => [sender(box, { keepAlive: true }), sender(box, { keepAlive: false })])
  const earlier = await Promise.all(Array.from({ length: EARLIER_REQUESTS * boxes.length }, (_, i) => senders[i % senders.length](`earlier-${i}`)))
  t.true(earlier.every((outcome) => outcome === Outcome.Whole), 'requests before the stop')
  work.ms = workMs
  const exits = boxes.map(({ box }) => once(box, 'exit'))
  const signalledAtMs = performance.now()
  boxes.forEach(({ box }) => box.kill('SIGTERM'))
  const kill = setTimeout(() => boxes.forEach(({ box }) => box.kill('SIGKILL')), GRACE_MS)
  const sends: Promise<SentDuringStop>[] = []
  let nth = 0
  const sending = setInterval(() => senders.forEach((send) => {
    const id = `r${nth++}`
    const sentAfterMs = performance.now() - signalledAtMs
    sends.push(send(id).then((outcome) => ({ id, sentAfterMs, endedAfterMs: performance.now() - signalledAtMs, outcome })))
  }), SEND_EVERY_MS)
  const codes = (await Promise.all(exits)).map(([code]) => code as unknown)
  clearInterval(sending)
  clearTimeout(kill)
  const requests = await Promise.all(sends)
  const ran = new Set(service.runIds)
  const describe = ({ id, sentAfterMs, endedAfterMs, outcome }: SentDuringStop) => `${id}: ${outcome}, sent ${Math.round(sentAfterMs)} ms, ended ${Math.round(endedAfterMs)} ms after the signal`
  const counts = Object.values(Outcome).map((outcome) => `${requests.filter((one) => one.outcome === outcome).length} ${outcome}`)
  t.log(`${requests.length} sent: ${counts.join(', ')}; exit codes ${codes.join()}`)
  const mayBeCut = ({ sentAfterMs, endedAfterMs }: SentDuringStop) => sentAfterMs < LATEST_CUT_SENT_MS && endedAfterMs >= EARLIEST_CUT_MS
  t.deepEqual(requests.filter((one) => (one.outcome === Outcome.Cut || one.outcome === Outcome.Failed) && ran.has(one.id) && !mayBeCut(one)).map(describe), [], 'taken and cut')
  t.deepEqual(requests.filter(({ id, outcome }) => outcome === Outcome.Refused && ran.has(id)).map(describe), [], 'refused as not run, and run')
  t.deepEqual(requests.filter(({ sentAfterMs, endedAfterMs, outcome }) => outcome === Outcome.Refused && endedAfterMs - sentAfterMs > MAX_REFUSAL_MS).map(describe), [], 'refused late')
  t.true(requests.some(({ outcome, sentAfterMs }) => outcome === Outcome.Whole && sentAfterMs > 1000), 'short requests are served while callers may not know of the stop')
  t.deepEqual(codes, boxes.map(() => 0))
}

// Guards against requests that come late in the grace period of a planned stop, are passed on and then cut.
test.serial('requests that may run once and come during a planned stop are answered whole or refused at once', (t) => checkStop(t, ['127.0.0.31'], { workMs: KNOWN_WORK_MS }))
test.serial('so are they when the answers take longer than those before', (t) => checkStop(t, ['127.0.0.32'], { workMs: 2500 }))
test.serial('so are they when the answers take longer than the rest of the grace period', (t) => checkStop(t, ['127.0.0.33'], { workMs: 6000 }))
test.serial('so are they when several boxes stop together', (t) => checkStop(t, ['127.0.0.34', '127.0.0.35', '127.0.0.36'], { workMs: 2500 }))
test.serial('so are requests that may be repeated', (t) => checkStop(t, ['127.0.0.37'], { workMs: 2500, kind: 'safe' }))
test.serial('so are requests that may be repeated when the answers take longer than the rest of the grace period', (t) => checkStop(t, ['127.0.0.38'], { workMs: 6000, kind: 'safe' }))
