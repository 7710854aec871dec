// A small deployment on loopback: boxes as processes of their own, the platform's store, engines and services.
import { spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'

const ROOT = join(import.meta.dirname, '../..')
const READY_TIMEOUT_MS = 30_000

/** Everything that was sent, answered and run, in the order in which it was seen. */
export class Record {
  #startedAtMs = performance.now()
  #file
  events = []

  constructor (path) {
    this.#file = createWriteStream(path)
  }

  get nowMs () {
    return Math.round(performance.now() - this.#startedAtMs)
  }

  add (what, fields) {
    const event = { atMs: this.nowMs, what, ...fields }
    this.events.push(event)
    this.#file.write(`${JSON.stringify(event)}\n`)
  }

  of (what) {
    return this.events.filter((event) => event.what === what)
  }

  close () {
    return new Promise((resolve) => this.#file.end(resolve))
  }
}

/** The first command of the deploy file. */
function deployCommand () {
  const [, run] = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))
  return run.split(' ')
}

/** Ports that are free on all loopback addresses. */
export async function freePorts (count) {
  const servers = await Promise.all(Array.from({ length: count }, () => new Promise((resolve, reject) => {
    const server = createServer().once('error', reject).listen(0, () => resolve(server))
  })))
  const ports = servers.map((server) => server.address().port)
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))))
  return ports
}

/** A box: its process, started with the command of the deploy file. */
export class Box {
  #process
  constructor (name, zone, addresses, settingsPath, record) {
    Object.assign(this, { name, zone, addresses, settingsPath, record })
  }

  start () {
    const [program, ...args] = deployCommand()
    const { PATH, HOME, LANG } = process.env
    this.#process = spawn(program === 'node' ? process.execPath : program, args, { cwd: ROOT, env: { PATH, HOME, LANG, REELSPAN_BOOT: this.settingsPath }, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(`${this.settingsPath}.log`, { flags: 'a' })
    this.#process.stdout.pipe(log)
    this.#process.stderr.on('data', (text) => this.record.add('stderr', { box: this.name, text: String(text).slice(0, 2000) }))
    this.#process.on('exit', (code, signal) => this.record.add('exits', { box: this.name, code, signal }))
    this.exited = new Promise((resolve) => this.#process.once('exit', resolve))
    this.record.add('starts', { box: this.name })
  }

  get running () {
    return this.#process?.exitCode === null && this.#process.signalCode === null
  }

  signal (signal) {
    this.record.add('signal', { box: this.name, signal })
    if (this.running) this.#process.kill(signal)
  }

  async ready () {
    const [host, port] = this.addresses.ready.split(':')
    return new Promise((resolve) => {
      request({ host, port, path: '/v1/readiness', timeout: 1000 }, (response) => {
        response.resume()
        resolve(response.statusCode === 200)
      }).on('error', () => resolve(false)).on('timeout', () => resolve(false)).end()
    })
  }

  async waitUntilReady () {
    const untilMs = performance.now() + READY_TIMEOUT_MS
    while (!await this.ready()) {
      if (performance.now() > untilMs) throw new Error(`${this.name} is not ready`)
      await sleep(50)
    }
  }
}

/** Starts boxes that find each other by their seeds. */
export async function createBoxes ({ count, zones, storeAddress, record, settings = [], ipOf, seedsOf }) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const [front, ready, control, directory] = await freePorts(4)
  const seeds = Array.from({ length: Math.min(3, count) }, (_, i) => `${ipOf(i)}:${control}`)
  const boxes = Array.from({ length: count }, (_, i) => {
    const ip = ipOf(i)
    const zone = zones[i % zones.length]
    const addresses = { front: `${ip}:${front}`, ready: `${ip}:${ready}`, control: `${ip}:${control}`, directory: `${ip}:${directory}` }
    const path = join(folder, `${i}.conf`)
    writeFileSync(path, [
      `node=front-${zone}-${i}`, 'role=box', 'machine_class=front', 'serves=front,control,directory', `ip=${ip}`, `zone=${zone}`, 'region=ulaanbaatar',
      ...zones.map((name) => `zones.${name}=ulaanbaatar`),
      ...Object.entries(addresses).map(([kind, address]) => `listen.${kind}=${address}`),
      'port_range=7380,7395', `seeds=${(seedsOf?.(i, control) ?? seeds).join(',')}`, 'bootstrap=true', 'loss_counts=false',
      'limits.cpu_share=0.675', 'limits.cores=1', 'limits.memory_mb=200', 'limits.max_fds=4100', 'limits.link_mbps=1000.0', 'limits.disk_mb=0',
      'discovery=platform', 'entry=directory', 'heartbeat_ms=1200',
      'contracts=base,drain,config,cost,retry,recover,split,stream,engine,platform',
      'fault_tolerance.machines=1', 'fault_tolerance.zones=0', 'fault_tolerance.regions=0',
      'bounds.seed_lag_s=3', 'bounds.reuse_after_s=2', 'bounds.contact_ms=3000', 'bounds.ack_ms=4000', 'bounds.catch_up_s=4', 'bounds.drain_ms=2000',
      'bounds.grace_s=8', 'bounds.loss_slack_ms=200', 'bounds.config_deadline_ms=2000', 'bounds.rollback_slack_ms=250', 'bounds.max_stretch_ms=5000',
      'bounds.retry_budget=0.2', 'bounds.budget_window_s=10', 'bounds.budget_slack=58', 'bounds.recover_s=12', 'bounds.transit_ms=120', 'bounds.retry_after_s=5.7',
      'bounds.require_fence=false', 'bounds.lease_ms=3000', 'bounds.thaw_slack_ms=300', 'bounds.ttl_max_s=5',
      `platform.address=${storeAddress}`, 'platform.form=read', 'platform.writes_per_s=400', 'platform.reads_per_s=2000', 'platform.history_s=20', 'platform.value_bytes=1048576', 'platform.ttl_min_ms=1000',
      ...settings, '',
    ].join('\n'))
    return new Box(`box-${i}`, zone, addresses, path, record)
  })
  return { boxes, folder, remove: () => rmSync(folder, { recursive: true }) }
}

export const ROUTES = [
  { name: 'r-opening', host: 'scripts.example', path_prefix: '/opening/', kind: 'streaming', timeout_ms: 14_000, target_latency_ms: 900, priority: 1, service: 'llm', max_attempts: 1, allow_resume: false, gap_target_ms: 300, session_affinity: true },
  { name: 'r-reply', host: 'scripts.example', path_prefix: '/reply/', kind: 'streaming', timeout_ms: 14_000, target_latency_ms: 900, priority: 1, service: 'llm', max_attempts: 2, allow_resume: true, gap_target_ms: 300, session_affinity: true },
  { name: 'r-fetch', host: 'scripts.example', path_prefix: '/fetch/', kind: 'unsafe', timeout_ms: 1200, target_latency_ms: 150, priority: 2, service: 'desk', max_attempts: 1 },
  { name: 'r-status', host: 'scripts.example', path_prefix: '/status/', kind: 'safe', timeout_ms: 1200, target_latency_ms: 150, priority: 2, service: 'desk', max_attempts: 2 },
]

export function configuration (version, routes = ROUTES) {
  return {
    version,
    routes,
    services: [
      { name: 'llm', health_check: '/health', max_connections: 370, engine: { slots: 64, kv_capacity: 37_745, token_kv_bytes: 35_136, link_mbps: 1_100_000, stride: 12, kv_hold_s: 0.5, models: [{ name: 'm' }] } },
      { name: 'desk', health_check: '/health', max_connections: 110 },
    ],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000 },
  }
}

/** An engine's or service's own entry in the store. */
export function entryOf (server, { service, state = 'ready', sequence = 1 }) {
  return { service, address: server.address, zone: server.zone, version: 'v1', slots: server.slots, state, cold_left_ms: 0, sequence, ...server.stage === undefined ? {} : { stage: server.stage, models: [{ name: 'm', version: 1, adapters: [] }] } }
}
