import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { type Member } from '@reelspan/core.messages'
import { freePorts } from '@reelspan/utils.stand-ins'
import { FleetProcess } from './fleetProcess.js'
import { type HostUsage } from './memberHost.js'
import { type HostCommand } from './runMemberHost.js'

/** What membership costs one node. */
export interface MembershipCost {
  members: number
  cpuPercent: number
  bytesPerSecond: number
  /** From one node's new revision to the last node that knows it. */
  spreadMs: number
  connections: number
  /** Members that any node suspected in the end. 0 when the machine kept up. */
  suspected: number
}

const HOST = fileURLToPath(new URL('../bin/members.js', import.meta.url))
const MEMBERS_PER_PROCESS = 115
const SETTLE_MS_PER_MEMBER = 120
const LEAST_SETTLE_MS = 4000
const MEASURE_MS = 8000
const SPREAD_LIMIT_MS = 16_000

/** Runs members over the real link in a few processes and measures what they use at rest, and how fast a change spreads. */
export async function measureMembership (members: number): Promise<MembershipCost> {
  const ports = await freePorts(members)
  const hosts = Array.from({ length: Math.ceil(members / MEMBERS_PER_PROCESS) }, (_, i) => new FleetProcess(`members-${i}`, HOST, []))
  try {
    const share = Math.ceil(members / hosts.length)
    const known = await Promise.all(hosts.map((host, i) => ask<Member[]>(host, { type: 'start', ports, ownFrom: i * share, ownCount: share })))
    await Promise.all(hosts.map((host) => ask(host, { type: 'begin', members: known.flat() })))
    // What each was told at the start is passed on once as news, which is no part of rest.
    await sleep(Math.max(LEAST_SETTLE_MS, members * SETTLE_MS_PER_MEMBER))
    const before = await usageOf(hosts)
    const startedAtMs = performance.now()
    await sleep(MEASURE_MS)
    const after = await usageOf(hosts)
    const elapsedMs = performance.now() - startedAtMs
    return {
      members,
      cpuPercent: 100 * (after.cpuMs - before.cpuMs) / elapsedMs / members,
      bytesPerSecond: 1000 * (after.bytes - before.bytes) / elapsedMs / members,
      connections: after.connections / members,
      suspected: after.suspected,
      spreadMs: await measureSpread(hosts),
    }
  } finally {
    await Promise.all(hosts.map((host) => host.kill()))
  }
}

async function measureSpread (hosts: readonly FleetProcess[]): Promise<number> {
  const changedAtMs = await ask<number>(hosts[0], { type: 'change' })
  const giveUpAtMs = performance.now() + SPREAD_LIMIT_MS
  while (performance.now() < giveUpAtMs) {
    const heard = await Promise.all(hosts.map((host) => ask<number | undefined>(host, { type: 'lastHeard' })))
    if (heard.every((atMs) => atMs !== undefined)) return Math.max(...heard) - changedAtMs
    await sleep(50)
  }
  return Number.POSITIVE_INFINITY
}

async function usageOf (hosts: readonly FleetProcess[]): Promise<HostUsage> {
  const usages = await Promise.all(hosts.map((host) => ask<HostUsage>(host, { type: 'usage' })))
  const sum = (pick: (usage: HostUsage) => number) => usages.reduce((total, usage) => total + pick(usage), 0)
  return {
    cpuMs: sum(({ cpuMs }) => cpuMs),
    bytes: sum(({ bytes }) => bytes),
    suspected: sum(({ suspected }) => suspected),
    connections: sum(({ connections }) => connections),
  }
}

async function ask<T> (host: FleetProcess, command: HostCommand): Promise<T> {
  const answer = host.nextMessage<{ result: T }>()
  host.send(command)
  return (await answer).result
}
