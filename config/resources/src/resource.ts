import { type AccountSpec, type CallerLimitsSpec, type ModelSpec, type PoolSpec, type RolloutSpec, type RouteSpec } from './specs.js'

export enum ResourceKind {
  Model = 'Model',
  Pool = 'Pool',
  Route = 'Route',
  Rollout = 'Rollout',
  CallerLimits = 'CallerLimits',
  /** A client account. */
  Account = 'Account',
}

/** A published resource before validation. */
export interface DeclaredResource {
  kind: string
  name: string
  /** Revision of its last change. */
  revision: number
  spec: unknown
}

interface ResourceOf<K extends ResourceKind, S> {
  kind: K
  name: string
  revision: number
  spec: S
}

/** A validated resource, with defaults applied. */
export type Resource =
  | ResourceOf<ResourceKind.Model, ModelSpec>
  | ResourceOf<ResourceKind.Pool, PoolSpec>
  | ResourceOf<ResourceKind.Route, RouteSpec>
  | ResourceOf<ResourceKind.Rollout, RolloutSpec>
  | ResourceOf<ResourceKind.CallerLimits, CallerLimitsSpec>
  | ResourceOf<ResourceKind.Account, AccountSpec>

export function resourceId (resource: { kind: string, name: string }): string {
  return `${resource.kind}/${resource.name}`
}
