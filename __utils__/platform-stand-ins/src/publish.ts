import { CONFIGURATION, entryOf } from './samples.js'
import { type StandInStore } from './standInStore.js'
import { Role } from './standInUpstream.js'

/** An upstream as it enters itself in the store. */
export interface UpstreamEntry {
  instance: string
  role: Role
  address: string
  leaving: boolean
  sequence: number
}

/** A client account as it is published. */
export interface PublishedAccount {
  name: string
  keys: readonly string[]
}

/** Publishes the sample's routes, without shares, and one more of services. Answers the path of that one. */
export function publishRoutes (store: StandInStore, version: number, account?: PublishedAccount): string {
  const path = `/probe-${version}/`
  const probe = { name: 'r-probe', host: 'scripts.example', path_prefix: path, kind: 'safe', timeout_ms: 1200, service: 'desk', max_attempts: 2 }
  const routes = CONFIGURATION.routes.map((route) => ({ ...route, traffic_split: undefined, service: route.service ?? 'llm' }))
  store.put('op/config', { ...CONFIGURATION, version, routes: [...routes, probe], ...account ? { tenants: [{ name: account.name, api_keys: account.keys }] } : {} })
  return path
}

export function enterUpstream (store: StandInStore, { instance, role, address, leaving, sequence }: UpstreamEntry): void {
  const place = role === Role.Service ? { service: 'desk' } : { service: 'llm', stage: role }
  store.put(keyOf(instance), entryOf({ ...place, address, state: leaving ? 'draining' : 'ready', sequence }))
}

export function removeUpstream (store: StandInStore, instance: string): void {
  store.delete(keyOf(instance))
}

/** Upstreams that have an entry. */
export function listedInstances (store: StandInStore): string[] {
  return store.keys(keyOf('')).map((key) => key.slice(keyOf('').length))
}

function keyOf (instance: string): string {
  return `servers/${instance}`
}
