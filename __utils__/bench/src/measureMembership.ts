import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { type Member } from '@reelspan/core.messages'
import { freePorts } from '@reelspan/utils.stand-ins'
import { FleetProcess } from './fleetProcess.js'
import { type HostUsage } from './memberHost.js'
import { type HostCommand } from './runMemberHost.js'

/** Cost of membership per node. */
export interface MembershipCost {
  members: number
  cpuPercent: number
  bytesPerSecond: number
  /** Time from the adoption of a new revision at one node until the last node has adopted it. */
  propagationMs: number
  connections: number
  /** Suspicions at the end of the measurement, summed over all nodes. 0 unless the machine was overloaded. */
  suspected: number
}

const HOST_SCRIPT = fileURLToPath(new URL('../bin/members.js', import.meta.url))
const MEMBERS_PER_PROCESS = 115
const SETTLE_MS_PER_MEMBER = 120
const MIN_SETTLE_MS = 4000
const MEASURE_MS = 8000
const PROPAGATION_TIMEOUT_MS = 16_000

/** Runs members in a few processes, connected by WebSocket peer links. Measures their usage at idle and how fast a change propagates. */
export async function measureMembership (members: number): Promise<MembershipCost> {
  const ports = await freePorts(members)
  const hosts = Array.from({ length: Math.ceil(members / MEMBERS_PER_PROCESS) }, (_, i) => new FleetProcess(`members-${i}`, HOST_SCRIPT, []))
  try {
    const membersPerHost = Math.ceil(members / hosts.length)
    const startedMembers = await Promise.all(hosts.map((host, i) => sendCommand<Member[]>(host, { type: 'start', ports, ownFrom: i * membersPerHost, ownCount: membersPerHost })))
    await Promise.all(hosts.map((host) => sendCommand(host, { type: 'begin', members: startedMembers.flat() })))
    // Each node forwards its initial membership updates once. Waits until this traffic is over, since only idle usage is measured.
    await sleep(Math.max(MIN_SETTLE_MS, members * SETTLE_MS_PER_MEMBER))
    const before = await sumUsage(hosts)
    const startedAtMs = performance.now()
    await sleep(MEASURE_MS)
    const after = await sumUsage(hosts)
    const elapsedMs = performance.now() - startedAtMs
    return {
      members,
      cpuPercent: 100 * (after.cpuMs - before.cpuMs) / elapsedMs / members,
      bytesPerSecond: 1000 * (after.bytes - before.bytes) / elapsedMs / members,
      connections: after.connections / members,
      suspected: after.suspected,
      propagationMs: await measurePropagation(hosts),
    }
  } finally {
    await Promise.all(hosts.map((host) => host.kill()))
  }
}

async function measurePropagation (hosts: readonly FleetProcess[]): Promise<number> {
  const changedAtMs = await sendCommand<number>(hosts[0], { type: 'change' })
  const timeoutAtMs = performance.now() + PROPAGATION_TIMEOUT_MS
  while (performance.now() < timeoutAtMs) {
    const adoptedAtMs = await Promise.all(hosts.map((host) => sendCommand<number | undefined>(host, { type: 'lastHeard' })))
    if (adoptedAtMs.every((atMs) => atMs !== undefined)) return Math.max(...adoptedAtMs) - changedAtMs
    await sleep(50)
  }
  return Number.POSITIVE_INFINITY
}

async function sumUsage (hosts: readonly FleetProcess[]): Promise<HostUsage> {
  const usages = await Promise.all(hosts.map((host) => sendCommand<HostUsage>(host, { type: 'usage' })))
  const sum = (select: (usage: HostUsage) => number) => usages.reduce((total, usage) => total + select(usage), 0)
  return {
    cpuMs: sum(({ cpuMs }) => cpuMs),
    bytes: sum(({ bytes }) => bytes),
    suspected: sum(({ suspected }) => suspected),
    connections: sum(({ connections }) => connections),
  }
}

async function sendCommand<T> (host: FleetProcess, command: HostCommand): Promise<T> {
  const answer = host.nextMessage<{ result: T }>()
  host.send(command)
  return (await answer).result
}
