import { setTimeout as sleep } from 'node:timers/promises'
import { UpstreamKind } from '@reelspan/config.fleet'
import { ProcessFleet } from '@reelspan/utils.bench'
import { execFile } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import test, { type ExecutionContext } from 'ava'

const SERVICE_DURATION_MS = 400
const REELSPANCTL_SCRIPT = fileURLToPath(import.meta.resolve('reelspanctl').replace('lib/index.js', 'bin/reelspanctl.js'))

async function startFleet (t: ExecutionContext): Promise<ProcessFleet> {
  const boxes = ['hall-a', 'hall-b', 'hall-c'].map((availabilityZone, i) => ({ name: `box-${i + 1}`, availabilityZone }))
  const engine = (name: string, pool: string) => ({ name, kind: UpstreamKind.Engine, pool, availabilityZone: 'hall-a' })
  const fleet = await ProcessFleet.start({
    serviceWorkMs: SERVICE_DURATION_MS,
    settings: { requests: { lookupKeepMs: 500, longestRequestMs: 5000 } },
    deployment: {
      boxes,
      upstreams: [
        engine('prefill-1', 'draft-prefill'), engine('decode-1', 'draft-decode'),
        { name: 'desk-1', kind: UpstreamKind.Service, pool: 'script-desk', availabilityZone: 'hall-b' },
      ],
    },
  })
  t.teardown(() => fleet.stop())
  return fleet
}

interface BookingResult {
  verdict: string | null
  body: string
}

async function createKey (fleet: ProcessFleet, boxName: string, suffix: string): Promise<string> {
  const response = await fetch(`http://${fleet.box(boxName).callerAddress}/v1/lookup`)
  return `${(await response.json() as { keyPrefix: string }).keyPrefix}.${suffix}`
}

async function book (fleet: ProcessFleet, boxName: string, key: string): Promise<BookingResult> {
  const response = await fetch(`http://${fleet.box(boxName).callerAddress}/desk/bookings`, { method: 'POST', headers: { 'idempotency-key': key }, body: 'crew' }).catch(() => undefined)
  return { verdict: response?.headers.get('reelspan-verdict') ?? null, body: await response?.text().catch(() => '') ?? '' }
}

async function readRunCounts (fleet: ProcessFleet): Promise<Record<string, number>> {
  const response = await fetch(`http://${fleet.upstreams.get('desk-1')?.address}/stand-in/runs`)
  return await response.json() as Record<string, number>
}

/** Resolves once the service has started to process the call. */
async function waitUntilStarted (fleet: ProcessFleet, key: string): Promise<void> {
  while (!((await readRunCounts(fleet))[key] > 0)) await sleep(5)
}

test.serial('after a SIGKILL of the owner during a booking, the booking has run once and all callers get mayHaveRun', async (t) => {
  const fleet = await startFleet(t)
  const key = await createKey(fleet, 'box-1', 'kill')
  const first = book(fleet, 'box-2', key)
  await waitUntilStarted(fleet, key)
  await fleet.box('box-1').process.kill()
  t.is((await first).verdict, 'mayHaveRun')
  t.is((await book(fleet, 'box-3', key)).verdict, 'mayHaveRun')
  await fleet.restartBox('box-1')
  t.is((await book(fleet, 'box-1', key)).verdict, 'mayHaveRun')
  t.is((await readRunCounts(fleet))[key], 1)
})

test.serial('during a SIGSTOP of the owner, a retry of a booking waits for the owner and gets the same answer', async (t) => {
  const fleet = await startFleet(t)
  const key = await createKey(fleet, 'box-1', 'stop')
  const first = book(fleet, 'box-2', key)
  await waitUntilStarted(fleet, key)
  fleet.box('box-1').process.signal('SIGSTOP')
  const retry = book(fleet, 'box-3', key)
  await sleep(2 * SERVICE_DURATION_MS)
  fleet.box('box-1').process.signal('SIGCONT')
  const answers = await Promise.all([first, retry])
  t.deepEqual(answers.map(({ verdict }) => verdict), ['finished', 'finished'])
  t.is(answers[0].body, answers[1].body)
  t.is((await readRunCounts(fleet))[key], 1)
})

test.serial('on SIGTERM a box finishes running requests, hands its records over and exits with code 0', async (t) => {
  const fleet = await startFleet(t)
  const key = await createKey(fleet, 'box-1', 'term')
  const first = book(fleet, 'box-1', key)
  await waitUntilStarted(fleet, key)
  fleet.box('box-1').process.signal('SIGTERM')
  t.is((await first).verdict, 'finished')
  t.is(await fleet.box('box-1').process.waitForExit(), 0)
  const retry = await book(fleet, 'box-2', key)
  t.is(retry.verdict, 'finished')
  t.is(retry.body, (await first).body)
  t.is((await readRunCounts(fleet))[key], 1)
})

test.serial('concurrent bookings during a kill and a freeze of boxes run at most once, and their verdicts are correct', async (t) => {
  const fleet = await startFleet(t)
  const boxes = ['box-1', 'box-2', 'box-3']
  const history: { key: string, answers: BookingResult[] }[] = []
  const sendBookings = async (id: number) => {
    for (let i = 0; i < 3; i++) {
      const key = await createKey(fleet, boxes[(id + i) % 3], `h${id}-${i}`).catch(() => undefined)
      if (key === undefined) continue
      const answers = await Promise.all([book(fleet, boxes[id % 3], key), book(fleet, boxes[(id + 1) % 3], key)])
      history.push({ key, answers: [...answers, await book(fleet, boxes[(id + 2) % 3], key)] })
    }
  }
  const callers = Array.from({ length: 8 }, (_, id) => sendBookings(id))
  await sleep(300)
  await fleet.box('box-2').process.kill()
  await fleet.restartBox('box-2')
  fleet.box('box-3').process.signal('SIGSTOP')
  await sleep(700)
  fleet.box('box-3').process.signal('SIGCONT')
  await Promise.all(callers)
  const runs = await readRunCounts(fleet)
  t.true(history.length > 10)
  history.forEach(({ key, answers }) => {
    t.true((runs[key] ?? 0) <= 1, `${key} ran ${runs[key]} times`)
    answers.filter(({ verdict }) => verdict === 'finished').forEach(({ body }) => t.true(body.includes(key)))
    if (answers.some(({ verdict }) => verdict === 'finished')) t.is(runs[key], 1)
    if (answers.every(({ verdict }) => verdict === 'notRun')) t.is(runs[key] ?? 0, 0)
  })
})

test.serial('operators can read resources, status, dump and metrics from any box', async (t) => {
  const fleet = await startFleet(t)
  const runCtl = (...args: string[]) => new Promise<string>((resolve) => execFile(process.execPath, [REELSPANCTL_SCRIPT, ...args, '--box', fleet.box('box-3').operatorAddress], (_error, out) => resolve(out)))
  t.regex(await runCtl('list'), /Route\/bookings {2}revision 1/)
  t.like(JSON.parse(await runCtl('get', 'Route', 'bookings')), { kind: 'Route', spec: { notRepeatable: true } })
  t.regex(await runCtl('status', 'Model', 'draft'), /shard draft {2}accounted for by box-\d/)
  t.is(JSON.parse(await runCtl('dump')).members.length, 3)
  t.regex(await runCtl('metrics'), /# TYPE reelspan_requests_in_flight gauge/)
  t.regex(JSON.parse(await runCtl('lookup')).keyPrefix, /^rs1-/)
  t.is((await runCtl('watch', '--once')).trim().split('\n').length, 7)
})
