// Engines of which some lose handles at once and some send an extra answer, late. See claim.txt.
import { randomBytes } from 'node:crypto'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { brokenRules } from '../common/check.mjs'
import { Client } from '../common/client.mjs'
import { configuration, createBoxes, entryOf, Record } from '../common/deployment.mjs'
import { Engine, Handles, Service } from '../common/engine.mjs'
import { ExitCode, runCase } from '../common/runCase.mjs'
import { Store } from '../common/store.mjs'

const TROUBLE = process.env.TROUBLE !== '0'
const TRAFFIC_MS = 75_000
const REQUESTS_PER_S = 24
const BOXES = 3
const ZONES = ['hall-a', 'hall-b', 'hall-c']
const PREFILL_ENGINES = 3
const DECODE_ENGINES = 5
// The share and the doses of the site file: garble (extra late) share 0.6, x 0.03; handle_short share 0.35.
const SPOILING_ENGINES = 4
const SPOILED_SHARE = 0.03
const SHORT_ENGINES = 2

const record = new Record(join(import.meta.dirname, 'record.txt'))
const net = `127.${30 + process.pid % 200}.${1 + process.pid % 250}`
const store = new Store()
const handles = new Handles()
let cleanUp = async () => {}

async function run () {
  const storeAddress = await store.start(`${net}.200:0`)
  const engines = Array.from({ length: PREFILL_ENGINES + DECODE_ENGINES }, (_, i) => {
    const stage = i < PREFILL_ENGINES ? 'prefill' : 'decode'
    const isShort = TROUBLE && i < SHORT_ENGINES
    // The last ones, which are decode engines: four of eight spoil answers.
    const spoils = TROUBLE && (i >= PREFILL_ENGINES + DECODE_ENGINES - SPOILING_ENGINES)
    return new Engine(`i-${stage}-${i}`, ZONES[i % ZONES.length], record, handles, { stage, handleMs: isShort ? 0 : undefined, repeatsLate: () => spoils && Math.random() < SPOILED_SHARE })
  })
  const desk = ZONES.map((zone, i) => new Service(`i-desk-${i}`, zone, record))
  await Promise.all([...engines, ...desk].map((server, i) => server.start(`${net}.${100 + i}:0`)))
  store.put('op/config', configuration(7))
  engines.forEach((engine) => store.put(`servers/${engine.id}`, entryOf(engine, { service: 'llm' })))
  desk.forEach((service) => store.put(`servers/${service.id}`, entryOf(service, { service: 'desk' })))
  const { boxes, remove } = await createBoxes({ count: BOXES, zones: ZONES, storeAddress, record, ipOf: (i) => `${net}.${i + 1}` })
  cleanUp = async () => {
    boxes.forEach((box) => box.signal('SIGKILL'))
    await Promise.all(boxes.map(({ exited }) => exited))
    remove()
  }
  boxes.forEach((box) => box.start())
  await Promise.all(boxes.map((box) => box.waitUntilReady()))
  await sleep(3000)
  const clients = boxes.map(() => new Client(record))
  const untilMs = performance.now() + TRAFFIC_MS
  const pending = []
  while (performance.now() < untilMs) {
    const at = Math.floor(Math.random() * BOXES)
    pending.push(clients[at].send(boxes[at].addresses.front, { path: '/opening/2f', kind: 'opening', prompt: randomBytes(4).toString('hex') }))
    await sleep(1000 / REQUESTS_PER_S * 2 * Math.random())
  }
  await Promise.all(pending)
  await sleep(500)
  clients.forEach((client) => client.close())
}

function judge () {
  const broken = brokenRules(record)
  const refused = broken.filter(({ rule }) => rule === 'REFUSED')
  broken.forEach((one) => record.add('broken', one))
  broken.forEach(({ rule, id, text }) => console.log(`${rule}: ${id}: ${text}`))
  const answers = record.of('answered')
  const runs = record.of('ran').length
  console.log(`${answers.length} requests, ${answers.filter(({ status, whole }) => status === 200 && whole).length} answered with success, ${runs} runs, ${record.of('refuses').length} refusals of engines, ${record.of('spoils').length} extra answers, of these ${record.of('spoils').filter(({ status }) => status === 503).length} behind a refusal`)
  return runs < 100 ? ExitCode.CouldNotRun : refused.length > 0 ? ExitCode.Broken : ExitCode.Held
}

await runCase({ record, play: run, judge, cleanUp: () => cleanUp() })
