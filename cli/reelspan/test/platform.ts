import { type ChildProcess, execFile, spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtemp, writeFile } from 'node:fs/promises'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { freePorts } from '@reelspan/utils.stand-ins'
import test from 'ava'

const BIN = join(import.meta.dirname, '..', 'bin', 'reelspan.js')
/** A loopback address that no other test uses: the metrics port is fixed, so a shared address would conflict. */
const IP = '127.0.0.2'
const PROCESS_METRICS = ['reelspan_loop_delay_ms', 'reelspan_log_lines_dropped_total', 'reelspan_peer_sent_bytes_total', 'reelspan_peer_received_bytes_total', 'reelspan_peer_connections']

async function settingsFile (lines: string[]): Promise<string> {
  const file = join(await mkdtemp(join(tmpdir(), 'reelspan-test-')), 'settings.conf')
  await writeFile(file, lines.join('\n'))
  return file
}

async function settingsLines (): Promise<{ lines: string[], readyPort: number }> {
  const [front, readyPort, control, directory, platform] = await freePorts(5, IP)
  const lines = ['node=b', 'zone=z', `listen.front=${IP}:${front}`, `listen.ready=${IP}:${readyPort}`, `listen.control=${IP}:${control}`, `listen.directory=${IP}:${directory}`, 'port_range=7380,7395', `platform.address=${IP}:${platform}`]
  return { lines, readyPort }
}

/** Resolves once the process has logged the event. */
async function waitForLogEvent (box: ChildProcess, event: string): Promise<void> {
  for await (const line of createInterface({ input: box.stdout as NodeJS.ReadableStream })) {
    if (JSON.parse(line).event === event) return
  }
  throw new Error(`the process ended without «${event}»`)
}

function statusOf (port: number): Promise<number | undefined> {
  return new Promise((resolve, reject) => {
    request({ host: IP, port, path: '/v1/readiness' }, (response) => resolve(response.resume().statusCode)).on('error', reject).end()
  })
}

/** Names of the metrics that a box on the platform exports, without labels. */
async function metricNames (): Promise<Set<string>> {
  const text = await (await fetch(`http://${IP}:9464/metrics`)).text()
  return new Set(text.split('\n').filter((line) => line && !line.startsWith('#')).map((line) => line.split(/[{ ]/)[0]))
}

test('check --platform validates each field of the platform\'s settings file', async (t) => {
  const { lines } = await settingsLines()
  const check = async (file: string) => new Promise<{ code: number, out: string, err: string }>((resolve) => {
    execFile(process.execPath, [BIN, 'check', '--platform'], { env: { ...process.env, REELSPAN_BOOT: file } }, (error, out, err) => resolve({ code: error ? Number(error.code) : 0, out, err }))
  })
  const right = await settingsFile(lines)
  t.like(await check(right), { code: 0, out: `${right}: ok\n` })
  const wrong = await settingsFile(lines.filter((line) => !line.startsWith('listen.ready')))
  const { code, err } = await check(wrong)
  t.is(code, 3)
  t.true(err.includes(`${wrong}: listen.ready: is missing`))
})

test('a box without a platform is not ready; SIGHUP does not stop it, and SIGTERM does', async (t) => {
  const { lines, readyPort } = await settingsLines()
  const box = spawn(process.execPath, [BIN, 'serve', '--platform'], { env: { ...process.env, REELSPAN_BOOT: await settingsFile(lines) }, stdio: ['ignore', 'pipe', 'inherit'] })
  t.teardown(() => box.kill('SIGKILL'))
  await waitForLogEvent(box, 'started')
  t.is(await statusOf(readyPort), 503)
  const names = await metricNames()
  t.deepEqual(PROCESS_METRICS.filter((name) => !names.has(name)), [], 'metrics of the process that are missing')
  box.kill('SIGHUP')
  t.is(await statusOf(readyPort), 503)
  const ended = once(box, 'exit')
  box.kill('SIGTERM')
  const [code] = await ended
  t.is(code, 0)
})
