import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { type Box } from '@reelspan/box.runtime'
import { FleetEntryKind, UpstreamKind } from '@reelspan/config.fleet'
import { ResourceKind } from '@reelspan/config.resources'
import { Collection } from '@reelspan/core.messages'
import { type EngineModelOptions, type PublishedEntry, sampleDeclarations, sampleFleet } from '@reelspan/utils.fakes'
import { EngineRole } from '@reelspan/upstream.client'
import { freePorts, type StandInMessage } from '@reelspan/utils.stand-ins'
import { stringify } from 'smol-toml'
import { request } from 'undici'
import { FleetProcess } from './fleetProcess.js'

const REELSPAN_SCRIPT = fileURLToPath(import.meta.resolve('reelspan').replace('lib/index.js', 'bin/reelspan.js'))
const STAND_IN_SCRIPT = fileURLToPath(import.meta.resolve('@reelspan/utils.stand-ins').replace('lib/index.js', 'bin/stand-in.js'))
const READY_POLL_MS = 50
const READY_TIMEOUT_MS = 20_000

export interface FleetOptions {
  /** Settings of every box by section, overriding the defaults. */
  settings?: Record<string, Record<string, unknown>>
  engine?: Partial<EngineModelOptions>
  /** Duration of a call to a service. */
  serviceWorkMs?: number
  declarations?: ReturnType<typeof sampleDeclarations>
  deployment?: ReturnType<typeof sampleFleet>
  /** Latency targets of the completion route. */
  routeTargets?: { ttftTargetMs: number, tbtTargetMs: number }
}

export interface FleetBox {
  name: string
  process: FleetProcess
  callerAddress: string
  peerAddress: string
  operatorAddress: string
  settingsFile: string
}

/** Runs a deployment on this machine, with a process for each box, each upstream and the platform. */
export class ProcessFleet {
  readonly boxes: FleetBox[] = []
  readonly upstreams = new Map<string, { process: FleetProcess, address: string }>()
  readonly #opts: FleetOptions
  readonly #folder: string
  #platform!: { process: FleetProcess, address: string }

  private constructor (opts: FleetOptions, folder: string) {
    this.#opts = opts
    this.#folder = folder
  }

  /** Starts platform, upstreams and boxes. Resolves once every box is ready. */
  static async start (opts: FleetOptions = {}): Promise<ProcessFleet> {
    const fleet = new ProcessFleet(opts, await mkdtemp(join(tmpdir(), 'reelspan-')))
    try {
      await fleet.#start()
      return fleet
    } catch (thrown) {
      await fleet.stop()
      throw thrown
    }
  }

  box (name: string): FleetBox {
    return this.boxes.find((box) => box.name === name) as FleetBox
  }

  /** Reads the debug state of a box. */
  async readState ({ operatorAddress }: FleetBox): Promise<ReturnType<Box['describe']>> {
    const response = await request(`http://${operatorAddress}/debug/state`)
    return await response.body.json() as ReturnType<Box['describe']>
  }

  /** Returns the processes of the boxes and upstreams of an availability zone. */
  processesInZone (availabilityZone: string): FleetProcess[] {
    const { boxes, upstreams } = this.#opts.deployment ?? sampleFleet()
    const isInZone = (entry: { availabilityZone: string }) => entry.availabilityZone === availabilityZone
    return [
      ...boxes.filter(isInZone).map(({ name }) => this.box(name).process),
      ...upstreams.filter(isInZone).flatMap(({ name }) => this.upstreams.get(name)?.process ?? []),
    ]
  }

  async sendToPlatform (message: StandInMessage): Promise<void> {
    await this.#platform.process.sendAndAwaitReply(message)
  }

  /** Restarts a box at the same addresses after its process has exited. */
  async restartBox (name: string): Promise<void> {
    const box = this.box(name)
    box.process = new FleetProcess(name, REELSPAN_SCRIPT, ['serve', '--config', box.settingsFile])
    await waitUntilReady(box)
  }

  async stop (): Promise<void> {
    const processes = [...this.boxes.map(({ process }) => process), ...[...this.upstreams.values()].map(({ process }) => process), ...this.#platform ? [this.#platform.process] : []]
    await Promise.all(processes.map((process) => process.running ? process.kill() : undefined))
    await rm(this.#folder, { recursive: true, force: true })
  }

  async #start (): Promise<void> {
    const { boxes, upstreams } = this.#opts.deployment ?? sampleFleet()
    this.#platform = await startStandIn('platform', 'platform', {})
    await Promise.all(upstreams.map(async ({ name, kind, pool }) => {
      this.upstreams.set(name, await this.#startUpstream(name, kind, pool))
    }))
    const ports = await freePorts(3 * boxes.length)
    const addressedBoxes = boxes.map((box, i) => ({ ...box, addresses: ports.slice(3 * i, 3 * i + 3).map((port) => `127.0.0.1:${port}`) }))
    await this.sendToPlatform({ type: 'publish', collection: Collection.Declarations, entries: this.#declarations() })
    await this.sendToPlatform({
      type: 'publish',
      collection: Collection.Fleet,
      entries: [
        ...addressedBoxes.map(({ name, availabilityZone, addresses }) => ({ kind: FleetEntryKind.Box, name, spec: { peerAddress: addresses[1], availabilityZone } })),
        ...upstreams.map(({ name, ...spec }) => ({ kind: FleetEntryKind.Upstream, name, spec: { ...spec, address: this.upstreams.get(name)?.address } })),
      ],
    })
    await Promise.all(addressedBoxes.map((box) => this.#startBox(box)))
  }

  #declarations (): PublishedEntry[] {
    const { declarations = sampleDeclarations(), routeTargets } = this.#opts
    if (!routeTargets) return declarations
    const { ttftTargetMs, tbtTargetMs } = routeTargets
    return [...declarations, { kind: ResourceKind.Route, name: 'drafts', spec: { model: 'draft', ttftTargetMs, tbtTargetMs } }]
  }

  async #startUpstream (name: string, kind: UpstreamKind, pool: string) {
    if (kind === UpstreamKind.Service) return startStandIn(name, 'service', { name, workMs: this.#opts.serviceWorkMs })
    const role = pool.includes('prefill') ? EngineRole.Prefill : EngineRole.Decode
    return startStandIn(name, 'engine', { name, role, loaded: [{ model: 'draft', version: '1' }], reportLagMs: 500, ...this.#opts.engine })
  }

  async #startBox ({ name, availabilityZone, addresses }: { name: string, availabilityZone: string, addresses: string[] }): Promise<void> {
    const [callerAddress, peerAddress, operatorAddress] = addresses
    const settingsFile = join(this.#folder, `${name}.toml`)
    await writeFile(settingsFile, stringify({
      ...this.#opts.settings,
      box: { name, availabilityZone },
      listen: { callerAddress, peerAddress, operatorAddress },
      platform: { addresses: [this.#platform.address], ...this.#opts.settings?.platform },
    }))
    const box = { name, callerAddress, peerAddress, operatorAddress, settingsFile, process: new FleetProcess(name, REELSPAN_SCRIPT, ['serve', '--config', settingsFile]) }
    this.boxes.push(box)
    await waitUntilReady(box)
  }
}

async function startStandIn (name: string, kind: string, settings: object): Promise<{ process: FleetProcess, address: string }> {
  const process = new FleetProcess(name, STAND_IN_SCRIPT, [kind, JSON.stringify(settings)])
  const { address } = await process.nextMessage<{ address: string }>()
  return { process, address }
}

async function waitUntilReady ({ callerAddress, process, name }: FleetBox): Promise<void> {
  const startedAtMs = performance.now()
  while (performance.now() - startedAtMs < READY_TIMEOUT_MS && process.running) {
    const response = await request(`http://${callerAddress}/healthz`).catch(() => undefined)
    await response?.body.dump()
    if (response?.statusCode === 200) return
    await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS))
  }
  throw new Error(`${name} did not become ready:\n${process.output}`)
}
