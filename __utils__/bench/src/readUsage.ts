import { readFile } from 'node:fs/promises'
import { request } from 'undici'
import { type ProcessFleet } from './processFleet.js'

/** CPU usage and peer traffic per box. */
export interface FleetUsage {
  cpuPercentMean: number
  cpuPercentMax: number
  peerBytesPerSecondMean: number
}

interface BoxUsage {
  name: string
  cpuMs: number
  peerBytes: number
}

/** Clock ticks per second in `/proc/<pid>/stat` on Linux. */
const TICKS_PER_SECOND = 100

/** Reads the CPU time and peer traffic of every running box. */
export async function readUsage (fleet: ProcessFleet): Promise<UsageSample> {
  const running = fleet.boxes.filter(({ process }) => process.running && !process.frozen)
  const boxes = await Promise.all(running.map(async ({ name, process, operatorAddress }) => ({
    name,
    cpuMs: await readCpuMs(process.pid),
    peerBytes: await readPeerBytes(operatorAddress),
  })))
  return new UsageSample(performance.now(), boxes)
}

class UsageSample {
  readonly #atMs: number
  readonly #boxes: BoxUsage[]

  constructor (atMs: number, boxes: BoxUsage[]) {
    this.#atMs = atMs
    this.#boxes = boxes
  }

  /** Usage between an earlier sample and this one, for the boxes that are in both. */
  since (before: UsageSample): FleetUsage {
    const elapsedMs = this.#atMs - before.#atMs
    const boxUsages = this.#boxes.flatMap((after) => {
      const earlier = before.#boxes.find(({ name }) => name === after.name)
      return earlier ? [{ cpuPercent: 100 * (after.cpuMs - earlier.cpuMs) / elapsedMs, bytesPerSecond: 1000 * (after.peerBytes - earlier.peerBytes) / elapsedMs }] : []
    })
    const mean = (values: number[]) => values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
    return {
      cpuPercentMean: mean(boxUsages.map(({ cpuPercent }) => cpuPercent)),
      cpuPercentMax: Math.max(0, ...boxUsages.map(({ cpuPercent }) => cpuPercent)),
      peerBytesPerSecondMean: mean(boxUsages.map(({ bytesPerSecond }) => bytesPerSecond)),
    }
  }
}

/** Reads the CPU time that a process has used so far. */
export async function readCpuMs (pid: number): Promise<number> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[11]) + Number(fields[12])) * 1000 / TICKS_PER_SECOND
}

async function readPeerBytes (operatorAddress: string): Promise<number> {
  const response = await request(`http://${operatorAddress}/metrics`)
  const text = await response.body.text()
  const readCounter = (name: string) => Number(new RegExp(`^${name} (\\S+)$`, 'm').exec(text)?.[1] ?? 0)
  return readCounter('reelspan_peer_sent_bytes_total') + readCounter('reelspan_peer_received_bytes_total')
}
