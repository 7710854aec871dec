import { SAMPLE_CONFIGURATION, sampleUpstreamEntry } from './samples.js'
import { type StandInStore } from './standInStore.js'
import { Role } from './standInUpstream.js'

/** An upstream's registration in the store. */
export interface UpstreamEntry {
  instance: string
  role: Role
  address: string
  leaving: boolean
  sequence: number
  softwareVersion?: string
}

/** A client account in the published configuration. */
export interface PublishedAccount {
  name: string
  keys: readonly string[]
  /** Limit in tokens per second, which is also its burst. */
  tokensPerSecond?: number
}

/** Publishes the sample routes without their traffic split, and an additional service route whose path it returns. */
export function publishRoutes (store: StandInStore, version: number, accounts: readonly PublishedAccount[] = []): string {
  const path = `/probe-${version}/`
  const probe = { name: 'r-probe', host: 'scripts.example', path_prefix: path, kind: 'safe', timeout_ms: 1200, service: 'desk', max_attempts: 2 }
  const routes = SAMPLE_CONFIGURATION.routes.map((route) => ({ ...route, traffic_split: undefined, service: route.service ?? 'llm' }))
  store.put('op/config', { ...SAMPLE_CONFIGURATION, version, routes: [...routes, probe], ...accounts.length > 0 ? { tenants: accounts.map(toTenant) } : {} })
  return path
}

/** Publishes one route whose calls may take as long as `deadlineMs` and by default must not be repeated, and the service that it leads to. */
export function publishSlowCalls (store: StandInStore, { pathPrefix, deadlineMs, address, kind = 'unsafe' }: { pathPrefix: string, deadlineMs: number, address: string, kind?: string }): void {
  const route = { name: 'r-slow', host: 'scripts.example', path_prefix: pathPrefix, kind, timeout_ms: deadlineMs, service: 'desk', max_attempts: 1 }
  store.put('op/config', { ...SAMPLE_CONFIGURATION, routes: [route], services: SAMPLE_CONFIGURATION.services.slice(1) })
  store.put(keyOf('i-s'), sampleUpstreamEntry({ service: 'desk', address, slots: 1000 }))
}

function toTenant ({ name, keys, tokensPerSecond }: PublishedAccount) {
  return { name, api_keys: keys, ...tokensPerSecond === undefined ? {} : { unit: 'token_stream', plain_tokens: 1, rate_per_s: tokensPerSecond, burst: tokensPerSecond } }
}

export function registerUpstream (store: StandInStore, { instance, role, address, leaving, sequence, softwareVersion = 'v1' }: UpstreamEntry): void {
  const assignment = role === Role.Service ? { service: 'desk' } : { service: 'llm', stage: role }
  store.put(keyOf(instance), sampleUpstreamEntry({ ...assignment, address, state: leaving ? 'draining' : 'ready', sequence, version: softwareVersion }))
}

export function removeUpstream (store: StandInStore, instance: string): void {
  store.delete(keyOf(instance))
}

/** Instances with an entry in the store. */
export function registeredInstances (store: StandInStore): string[] {
  return store.keys(keyOf('')).map((key) => key.slice(keyOf('').length))
}

function keyOf (instance: string): string {
  return `servers/${instance}`
}
