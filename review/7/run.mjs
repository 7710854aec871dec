// Three boxes and four engines of a plain service. Sixteen resumable streams run when one engine is killed. Each client whose
// stream broke off takes it up at any box with Last-Event-Id. Recorded: what was sent, run and answered, piece by piece.
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Store } from './store.mjs'

const TROUBLE = process.env.TROUBLE !== '0'
const HERE = import.meta.dirname
const ROOT = join(HERE, '../..')
const RECORD = join(HERE, 'record.txt')
const NET = `127.${20 + process.pid % 200}.${1 + Math.floor(process.pid / 200) % 250}`
const PORTS = { front: 8149, ready: 8141, control: 8144, directory: 8143 }
const HOST = 'notes.example'
const STREAMS = 16
const EVENTS = 60
const DEADLINE_MS = 14_000
const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms))
const startedAtMs = performance.now()
const folder = mkdtempSync(join(tmpdir(), 'reelspan-case-'))
const children = new Set()
writeFileSync(RECORD, '')

function record (line) {
  appendFileSync(RECORD, `${((performance.now() - startedAtMs) / 1000).toFixed(3)} ${line}\n`)
}

function finish (code, why) {
  record(`result: ${code} ${why}`)
  console.log(why)
  children.forEach((child) => child.kill('SIGKILL'))
  rmSync(folder, { recursive: true, force: true })
  process.exit(code)
}

process.on('uncaughtException', (error) => finish(2, `could not run: ${error.stack}`))
;['SIGTERM', 'SIGINT', 'SIGHUP'].forEach((signal) => process.on(signal, () => finish(2, `stopped by ${signal}`)))
setTimeout(() => finish(2, 'took too long'), 100_000).unref()

const store = new Store()
await store.start('127.0.0.1')
store.put('op/config', {
  version: 7,
  routes: [{ name: 'r-notes', host: HOST, path_prefix: '/notes/', kind: 'streaming', timeout_ms: DEADLINE_MS, target_latency_ms: 900, priority: 1, service: 'note-desk', max_attempts: 2, allow_resume: true, gap_target_ms: 300, session_affinity: true }],
  services: [{ name: 'note-desk', health_check: '/health', max_connections: 370 }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000 },
})

function startEngine (host, id) {
  const child = spawn(process.execPath, [join(HERE, 'engine.mjs'), host, '8080', id], { stdio: ['pipe', 'pipe', 'inherit'] })
  children.add(child)
  child.once('exit', () => children.delete(child))
  const engine = { child, id, sequence: 0 }
  const put = () => store.put(`servers/${id}`, { service: 'note-desk', address: `${host}:8080`, zone: 'a', version: 'v1', slots: 64, state: 'ready', cold_left_ms: 0, sequence: ++engine.sequence })
  let rest = ''
  child.stdout.on('data', (bytes) => {
    const lines = (rest + bytes).split('\n')
    rest = lines.pop()
    lines.forEach((line) => {
      record(`engine ${line}`)
      if (!JSON.parse(line).listens) return
      put()
      engine.timer = setInterval(put, 1200)
    })
  })
  return engine
}

const engines = ['i-5a10', 'i-5b20', 'i-5c30', 'i-5d40'].map((id, i) => startEngine(`${NET}.${100 + i}`, id))
const boxes = Array.from({ length: 3 }, (_, i) => ({ name: `front-${i + 1}`, ip: `${NET}.${i + 1}` }))
boxes.forEach(({ name, ip }) => {
  const settings = join(folder, `${name}.conf`)
  writeFileSync(settings, [
    `node=${name}`, 'role=box', 'machine_class=front', 'serves=front,control,directory', `ip=${ip}`, 'zone=a', 'region=r',
    ...Object.entries(PORTS).map(([server, port]) => `listen.${server}=${ip}:${port}`),
    'port_range=7380,7395', `seeds=${boxes.map((other) => `${other.ip}:${PORTS.control}`).join(',')}`, 'bootstrap=true',
    'limits.cpu_share=0.675', 'limits.cores=1', 'limits.memory_mb=200', 'limits.max_fds=4100', 'heartbeat_ms=1200',
    'contracts=base,drain,config,cost,retry,recover,stream,platform',
    'bounds.drain_ms=2000', 'bounds.grace_s=8', 'bounds.config_deadline_ms=2000', 'bounds.retry_budget=0.2', 'bounds.budget_slack=58', 'bounds.ttl_max_s=5',
    `platform.address=${store.address}`, 'platform.form=read', 'platform.value_bytes=1048576', '',
  ].join('\n'))
  const child = spawn(process.execPath, ['--max-old-space-size=96', '--max-semi-space-size=2', 'target/reelspan.mjs', 'serve', '--platform'], { cwd: ROOT, stdio: 'ignore', env: { PATH: process.env.PATH, HOME: folder, REELSPAN_BOOT: settings } })
  children.add(child)
})

function isReady ({ ip }) {
  return new Promise((resolve) => http.get({ host: ip, port: PORTS.ready, path: '/v1/readiness' }, (response) => {
    response.resume()
    resolve(response.statusCode === 200)
  }).on('error', () => resolve(false)))
}

/** One attempt: the ids of the events that the client got, and whether the answer was complete. */
function attempt (id, { box, lastEventId, leftMs }) {
  return new Promise((resolve) => {
    const headers = { Host: HOST, 'X-Reelspan-Request-Id': id, 'X-Reelspan-Model': 'm', 'X-Reelspan-Token-Count': '100,720', 'X-Reelspan-Prompt-Prefix': `${id}:100`, 'X-Reelspan-Deadline-Ms': String(Math.round(leftMs)) }
    if (lastEventId !== undefined) headers['Last-Event-Id'] = String(lastEventId)
    record(`client sends ${id} to ${box.name}${lastEventId === undefined ? '' : ` with Last-Event-Id ${lastEventId}`}`)
    const pieces = []
    let status = 0
    let text = ''
    let retryAfterMs = 500
    let complete = false
    const end = () => resolve({ status, pieces, complete, retryAfterMs })
    const message = http.request({ host: box.ip, port: PORTS.front, method: 'POST', path: '/notes/1', headers, agent: false }, (response) => {
      status = response.statusCode
      retryAfterMs = Number(response.headers['retry-after'] ?? 0.5) * 1000
      response.on('data', (bytes) => {
        if (status !== 200) return
        const events = (text + bytes).split('\n\n')
        text = events.pop()
        events.forEach((event) => pieces.push(Number(/^id: (\d+)/m.exec(event)?.[1])))
      }).on('end', () => { complete = response.complete }).on('error', () => {}).on('close', end)
    })
    message.on('error', end)
    message.end('write the notes')
  })
}

async function stream (n) {
  const untilMs = performance.now() + DEADLINE_MS
  const got = []
  for (let nth = 1; nth <= 6 && performance.now() < untilMs; nth++) {
    const id = `${n.toString(16).padStart(8, '0')}${nth.toString(16).padStart(8, '0')}`
    const lastEventId = got.at(-1)
    const box = boxes[Math.floor(Math.random() * boxes.length)]
    const { status, pieces, complete, retryAfterMs } = await attempt(id, { box, lastEventId, leftMs: untilMs - performance.now() })
    record(`client gets ${id}: ${status}, pieces ${pieces.length > 0 ? `${pieces[0]} to ${pieces.at(-1)}` : 'none'}, ${complete ? 'complete' : 'broken off'}`)
    got.push(...pieces)
    if (status === 200 && complete) return { n, got, ended: true }
    await sleep(status === 200 ? 20 : retryAfterMs)
  }
  return { n, got, ended: false }
}

for (let tries = 0; !(await Promise.all(boxes.map(isReady))).every(Boolean); tries++) {
  if (tries > 200) finish(2, 'the boxes did not become ready')
  await sleep(50)
}
await sleep(2000)
record('streams begin')
const streams = Array.from({ length: STREAMS }, (_, n) => stream(n))
await sleep(1000)
if (TROUBLE) {
  const [{ child, id, timer }] = engines
  child.kill('SIGKILL')
  clearInterval(timer)
  record(`engine ${id} crashes (srv_crash); another start is up 2 s later under a new id`)
  setTimeout(() => store.delete(`servers/${id}`), 3600)
  setTimeout(() => startEngine(`${NET}.100`, 'i-5a11'), 2000)
}
const results = await Promise.all(streams)
const whole = Array.from({ length: EVENTS }, (_, i) => i).join()
const broken = results.filter(({ got, ended }) => ended && got.join() !== whole).map(({ n, got }) => {
  const at = got.findIndex((piece, i) => i > 0 && piece !== got[i - 1] + 1)
  return `stream ${n}: piece ${got[at]} follows piece ${got[at - 1]}`
})
const takenUp = results.filter(({ got, ended }) => ended && got.join() === whole).length
record(`streams that ended whole: ${takenUp}; ended with a piece lacking or repeated: ${broken.length}; did not end: ${results.filter(({ ended }) => !ended).length}`)
finish(broken.length > 0 ? 1 : 0, broken.length > 0 ? `ORDER broke in ${broken.length} of ${STREAMS} streams, the first: ${broken[0]}` : `ORDER held in ${STREAMS} streams`)
