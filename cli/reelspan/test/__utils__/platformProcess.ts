import { type ChildProcess, spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { Agent, request } from 'node:http'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { setTimeout as sleep } from 'node:timers/promises'
import { publishSlowCalls, requestHeaders, Role, type StandInStore, StandInUpstream } from '@reelspan/utils.platform-stand-ins'
import { freePorts } from '@reelspan/utils.stand-ins'
import { type ExecutionContext } from 'ava'

export const BIN = join(import.meta.dirname, '..', '..', 'bin', 'reelspan.js')
/** The platform kills a process that has not stopped within this time after SIGTERM. */
export const GRACE_MS = 8000
const PATH_PREFIX = '/slow/'
const DEADLINE_MS = 14_000
const SHORT_PREFIX = 'short-'
const SHORT_WORK_MS = 20
const SHORT_DEADLINE_MS = 1000

/** What became of a caller's request. */
export enum Outcome {
  Whole = 'whole',
  /** Refused as not run. */
  Refused = 'refused',
  /** Answered with another status. */
  Failed = 'failed',
  /** The connection ended without a complete answer. */
  Cut = 'cut',
}

export interface SentRequest {
  id: string
  sentAtMs: number
  endedAtMs: number
  outcome: Outcome
}

/** A box in a process of its own, with its settings file. */
export interface PlatformProcess {
  box: ChildProcess
  frontAddress: string
  readyAddress: string
  controlAddress: string
  directoryAddress: string
  /** What it has written to standard error. */
  errors: readonly string[]
  /** Log lines so far. */
  lines: { event: string, [field: string]: unknown }[]
}

export interface StartProcessOptions {
  /** Must differ from those of other tests, since the metrics port is fixed. */
  ip: string
  storeAddress: string
  seeds?: readonly string[]
  /** Additional lines of the settings file. */
  settings?: readonly string[]
  execArgv?: readonly string[]
}

/** Starts a box's process. */
export async function startProcess (t: ExecutionContext, { ip, storeAddress, seeds = [], settings = [], execArgv = [] }: StartProcessOptions): Promise<PlatformProcess> {
  const [front, ready, control, directory] = await freePorts(4, ip)
  const folder = await mkdtemp(join(tmpdir(), 'reelspan-test-'))
  const settingsPath = join(folder, 'settings.conf')
  await writeFile(settingsPath, [
    `node=${ip}`, 'zone=hall-a', `listen.front=${ip}:${front}`, `listen.ready=${ip}:${ready}`, `listen.control=${ip}:${control}`, `listen.directory=${ip}:${directory}`,
    'port_range=7380,7395', `seeds=${seeds.join(',')}`, `platform.address=${storeAddress}`, 'bounds.budget_slack=58', ...settings,
  ].join('\n'))
  const box = spawn(process.execPath, [...execArgv, BIN, 'serve', '--platform'], { env: { ...process.env, REELSPAN_BOOT: settingsPath }, stdio: ['ignore', 'pipe', 'pipe'] })
  t.teardown(async () => {
    box.kill('SIGCONT')
    box.kill('SIGKILL')
    await rm(folder, { recursive: true })
  })
  const lines: PlatformProcess['lines'] = []
  createInterface({ input: box.stdout as NodeJS.ReadableStream }).on('line', (line) => lines.push(JSON.parse(line)))
  const errors: string[] = []
  box.stderr?.on('data', (text: Buffer) => {
    errors.push(text.toString())
    process.stderr.write(text)
  })
  return { box, frontAddress: `${ip}:${front}`, readyAddress: `${ip}:${ready}`, controlAddress: `${ip}:${control}`, directoryAddress: `${ip}:${directory}`, errors, lines }
}

/** Starts a service whose answers take `workMs`, or `SHORT_WORK_MS` for short requests, and publishes a route to it. */
export async function startService (t: ExecutionContext, store: StandInStore, workMs: number): Promise<StandInUpstream> {
  const desk = new StandInUpstream(Role.Service, { shapeOf: (id) => ({ events: 1, workMs: id.startsWith(SHORT_PREFIX) ? SHORT_WORK_MS : workMs }) })
  await desk.start()
  t.teardown(() => desk.stop())
  publishSlowCalls(store, { pathPrefix: PATH_PREFIX, deadlineMs: DEADLINE_MS, address: desk.address })
  return desk
}

/** Resolves once the box's process accepts connections from callers. */
export async function waitUntilListening ({ box, frontAddress }: PlatformProcess): Promise<void> {
  const [host, port] = frontAddress.split(':')
  while (box.exitCode === null) {
    const socket = connect(Number(port), host)
    const accepts = await new Promise((resolve) => socket.once('connect', () => resolve(true)).once('error', () => resolve(false)))
    socket.destroy()
    if (accepts) return
    await sleep(10)
  }
}

let sent = 0

/** Sends a request on a connection of its own and waits for its end. */
export async function sendRequest ({ frontAddress }: PlatformProcess, { short = false }: { short?: boolean } = {}): Promise<SentRequest> {
  const id = `${short ? SHORT_PREFIX : ''}r${sent++}`
  const sentAtMs = performance.now()
  const outcome = await outcomeOf(frontAddress, id, { deadlineMs: short ? SHORT_DEADLINE_MS : DEADLINE_MS })
  return { id, sentAtMs, endedAtMs: performance.now(), outcome }
}

/** Sends a request under an id and tells what became of it. By default it has a connection of its own. */
export async function outcomeOf (frontAddress: string, id: string, { deadlineMs = DEADLINE_MS, agent = new Agent() } = {}): Promise<Outcome> {
  const [host, port] = frontAddress.split(':')
  const message = request({ host, port, path: `${PATH_PREFIX}x`, method: 'POST', agent, headers: requestHeaders(id, { deadlineMs }) })
  try {
    message.end('ride')
    const [response] = await once(message, 'response')
    for await (const part of response) void part
    if (!response.complete) return Outcome.Cut
    if (response.statusCode === 200) return Outcome.Whole
    return response.statusCode === 503 ? Outcome.Refused : Outcome.Failed
  } catch {
    return Outcome.Cut
  }
}
