import { type ChildProcess, spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { type Server } from 'node:http'
import { type Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { Collection } from '@reelspan/core.messages'
import { SystemClock } from '@reelspan/net.system-env'
import { PlatformModel, publishFleet, sampleDeclarations, ServiceModel } from '@reelspan/utils.fakes'
import { StandInStore } from '@reelspan/utils.platform-stand-ins'
import { createPlatformServer, createServiceServer, freePorts, listenOn } from '@reelspan/utils.stand-ins'
import { UpstreamKind } from '@reelspan/config.fleet'
import { type ExecutionContext } from 'ava'
import { stringify } from 'smol-toml'
import { highestResidentBytes, watchDescriptors } from './crowd.js'
import { BIN, Outcome, sendRequest, startProcess, startService, waitUntilListening } from './platformProcess.js'

/** Memory of the smallest machine, in units of 1,000,000 bytes. */
const MEMORY_MB = 178
/** Descriptors of a machine, and the connections that a box takes with so many. */
export interface DescriptorLimits {
  maxDescriptors: number
  callerConnections: number
  peerConnections: number
}

/** Few, so that a small crowd uses up the connections. */
const FEW_DESCRIPTORS: DescriptorLimits = { maxDescriptors: 400, callerConnections: 80, peerConnections: 50 }
export const CALLER_CONNECTIONS = FEW_DESCRIPTORS.callerConnections
/** As many as the users' machines have. */
export const MANY_DESCRIPTORS: DescriptorLimits = { maxDescriptors: 4100, callerConnections: 1560, peerConnections: 975 }
/** As in the deploy file. */
const HEAP_OPTIONS = ['--max-old-space-size=96', '--max-semi-space-size=2']
const BYTES_PER_MEGABYTE = 1_000_000
const METRICS_PORT = 9464
const WORK_MS = 20
const RETRY_MS = 100
const TIMEOUT_MS = 120_000

/** A box in a process of its own that must stay within its machine's limits. */
export interface Machine {
  box: ChildProcess
  /** Addresses of its servers by name. */
  addresses: Record<string, string>
  /** Sends an ordinary request. Resolves with whether it was answered. */
  serves: () => Promise<boolean>
  descriptors: { stop: () => number }
  maxDescriptors: number
}

/** Starts a box on the users' platform on a small machine, with a service that answers ordinary requests. Resolves once it serves. */
export async function startPlatformMachine (t: ExecutionContext, { maxDescriptors } = FEW_DESCRIPTORS): Promise<Machine> {
  const ip = '127.0.0.51'
  const store = new StandInStore()
  const storeAddress = await store.start()
  t.teardown(() => store.stop())
  await startService(t, store, WORK_MS)
  const started = await startProcess(t, { ip, storeAddress, settings: [`limits.memory_mb=${MEMORY_MB}`, `limits.max_fds=${maxDescriptors}`], execArgv: HEAP_OPTIONS })
  await waitUntilListening(started)
  const { box, frontAddress, directoryAddress, readyAddress, controlAddress } = started
  const addresses = { callers: frontAddress, lookups: directoryAddress, readiness: readyAddress, metrics: `${ip}:${METRICS_PORT}`, peers: controlAddress }
  return watch(t, { box, addresses, maxDescriptors, serves: async () => (await sendRequest(started)).outcome === Outcome.Whole })
}

/** Starts a box with the project's own interface on a small machine, with a service that answers ordinary requests. Resolves once it serves. */
export async function startOwnMachine (t: ExecutionContext, { maxDescriptors, callerConnections, peerConnections } = FEW_DESCRIPTORS): Promise<Machine> {
  const clock = new SystemClock()
  const platform = new PlatformModel(clock)
  const [platformAddress, serviceAddress] = await Promise.all([createPlatformServer(platform), createServiceServer(new ServiceModel({ clock, name: 'desk', workMs: WORK_MS }))].map((server) => startServer(t, server)))
  const [callers, peers, operators] = (await freePorts(3)).map((port) => `127.0.0.1:${port}`)
  platform.publish(Collection.Declarations, sampleDeclarations())
  publishFleet(platform, [{ name: 'box', availabilityZone: 'hall-a', peerAddress: peers }], [{ name: 'desk', kind: UpstreamKind.Service, pool: 'script-desk', availabilityZone: 'hall-a', address: serviceAddress }])
  const folder = await mkdtemp(join(tmpdir(), 'reelspan-test-'))
  const file = join(folder, 'box.toml')
  await writeFile(file, stringify({
    box: { name: 'box', availabilityZone: 'hall-a' },
    listen: { callerAddress: callers, peerAddress: peers, operatorAddress: operators },
    platform: { addresses: [platformAddress] },
    limits: { connections: callerConnections, peerConnections },
  }))
  const box = spawn(process.execPath, [...HEAP_OPTIONS, BIN, 'serve', '--config', file], { stdio: ['ignore', 'ignore', 'inherit'] })
  t.teardown(async () => {
    box.kill('SIGKILL')
    await rm(folder, { recursive: true })
  })
  const serves = () => fetch(`http://${callers}/desk/x`).then(async (response) => {
    await response.text()
    return response.status === 200
  }, () => false)
  return watch(t, { box, addresses: { callers, peers, operators }, maxDescriptors, serves })
}

async function startServer (t: ExecutionContext, server: Server): Promise<string> {
  const address = await listenOn(server)
  t.teardown(() => {
    server.closeAllConnections()
    server.close()
  })
  return address
}

async function watch (t: ExecutionContext, started: Omit<Machine, 'descriptors'>): Promise<Machine> {
  t.timeout(TIMEOUT_MS)
  await untilServed(started)
  return { ...started, descriptors: watchDescriptors(started.box.pid as number) }
}

/** Asserts that the box lives, has stayed within its machine's memory and descriptors, and answers an ordinary request. */
export async function assertHolds (t: ExecutionContext, machine: Machine): Promise<void> {
  const { box, descriptors, maxDescriptors } = machine
  const served = await untilServed(machine)
  t.like(box, { exitCode: null, signalCode: null }, 'the process lives')
  t.true(served, 'an ordinary request is answered')
  const measured = { memoryMb: Math.round(highestResidentBytes(box.pid as number) / BYTES_PER_MEGABYTE), descriptors: descriptors.stop() }
  t.log(measured)
  t.true(measured.memoryMb <= MEMORY_MB, `${measured.memoryMb} MB of ${MEMORY_MB}`)
  t.true(measured.descriptors <= maxDescriptors, `${measured.descriptors} descriptors of ${maxDescriptors}`)
}

/** Closes the connections of a crowd when the test ends. */
export function closeAtEnd (t: ExecutionContext, sockets: readonly Socket[]): void {
  t.teardown(() => sockets.forEach((socket) => socket.destroy()))
}

/** Resolves with true once an ordinary request is answered, or with false once the process has ended. */
async function untilServed ({ box, serves }: Pick<Machine, 'box' | 'serves'>): Promise<boolean> {
  if (box.exitCode !== null || box.signalCode !== null) return false
  const ended = new AbortController()
  const exit = once(box, 'exit', { signal: ended.signal }).then(() => false, () => true)
  const served = repeatUntilServed(serves, ended.signal)
  const result = await Promise.race([served, exit])
  ended.abort()
  return result
}

async function repeatUntilServed (serves: () => Promise<boolean>, signal: AbortSignal): Promise<boolean> {
  while (!signal.aborted) {
    if (await serves()) return true
    await sleep(RETRY_MS)
  }
  return false
}
