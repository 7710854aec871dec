import { ResourceKind, type Resource } from './resource.js'
import { type AccountSpec, type CallerLimitsSpec, type ModelSpec, type PoolSpec, type RolloutSpec, type RouteSpec } from './specs.js'

export interface Named<S> {
  name: string
  spec: S
}

/** A validated set of resources at one revision. */
export class Configuration {
  readonly revision: number
  readonly resources: readonly Resource[]
  readonly #models: Map<string, ModelSpec>
  readonly #pools: Map<string, PoolSpec>
  readonly #routes: Named<RouteSpec>[]
  readonly #rollouts: Named<RolloutSpec>[]
  /** Routes with a host, longest path prefix first. */
  readonly #byHost: Map<string, Named<RouteSpec>[]>
  readonly #accounts: readonly Named<AccountSpec>[]
  /** Accounts by the digests of their keys. */
  readonly #byKeyDigest: ReadonlyMap<string, Named<AccountSpec>>

  constructor (revision: number, resources: readonly Resource[]) {
    this.revision = revision
    this.resources = resources
    this.#models = new Map(resources.flatMap((r) => r.kind === ResourceKind.Model ? [[r.name, r.spec]] : []))
    this.#pools = new Map(resources.flatMap((r) => r.kind === ResourceKind.Pool ? [[r.name, r.spec]] : []))
    this.#routes = resources.flatMap((r) => r.kind === ResourceKind.Route ? [{ name: r.name, spec: r.spec }] : [])
    this.#rollouts = resources.flatMap((r) => r.kind === ResourceKind.Rollout ? [{ name: r.name, spec: r.spec }] : [])
    this.#byHost = groupByHost(this.#routes)
    this.#accounts = resources.flatMap((r) => r.kind === ResourceKind.Account ? [{ name: r.name, spec: r.spec }] : [])
    this.#byKeyDigest = new Map(this.#accounts.flatMap((account) => account.spec.keyDigests.map((digest) => [digest, account] as const)))
  }

  model (name: string): ModelSpec | undefined {
    return this.#models.get(name)
  }

  pool (name: string): PoolSpec | undefined {
    return this.#pools.get(name)
  }

  route (name: string): RouteSpec | undefined {
    return this.#routes.find((route) => route.name === name)?.spec
  }

  routes (): readonly Named<RouteSpec>[] {
    return this.#routes
  }

  rollouts (): readonly Named<RolloutSpec>[] {
    return this.#rollouts
  }

  accounts (): readonly Named<AccountSpec>[] {
    return this.#accounts
  }

  account (name: string): AccountSpec | undefined {
    return this.#accounts.find((account) => account.name === name)?.spec
  }

  /** The account whose keys include one with this digest. */
  accountOfKey (digest: string): Named<AccountSpec> | undefined {
    return this.#byKeyDigest.get(digest)
  }

  modelNames (): string[] {
    return [...this.#models.keys()]
  }

  poolNames (): string[] {
    return [...this.#pools.keys()]
  }

  /** The route that serves a model. */
  routeOfModel (model: string): Named<RouteSpec> | undefined {
    return this.#routes.find(({ spec }) => spec.model === model || spec.targets?.some((target) => target.model === model))
  }

  /** The route of a request with a host: the one with the longest matching path prefix. */
  routeOfHost (host: string, path: string): Named<RouteSpec> | undefined {
    return this.#byHost.get(host.toLowerCase())?.find(({ spec }) => path.startsWith(spec.pathPrefix as string))
  }

  get callerLimits (): CallerLimitsSpec | undefined {
    return this.resources.flatMap((r) => r.kind === ResourceKind.CallerLimits ? [r.spec] : []).at(0)
  }

  /** The route of a service call without a host: the one with the longest matching path prefix. */
  routeOfCall (method: string, path: string): Named<RouteSpec> | undefined {
    return this.#routes
      .filter(({ spec }) => spec.host === undefined && spec.pathPrefix !== undefined && isUnderPrefix(path, spec.pathPrefix))
      .filter(({ spec }) => spec.method === undefined || spec.method === method)
      .sort((a, b) => (b.spec.pathPrefix as string).length - (a.spec.pathPrefix as string).length)
      .at(0)
  }
}

function isUnderPrefix (path: string, prefix: string): boolean {
  return path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`)
}

function groupByHost (routes: readonly Named<RouteSpec>[]): Map<string, Named<RouteSpec>[]> {
  const groups = new Map<string, Named<RouteSpec>[]>()
  routes
    .filter(({ spec }) => spec.host !== undefined && spec.pathPrefix !== undefined)
    .sort((a, b) => (b.spec.pathPrefix as string).length - (a.spec.pathPrefix as string).length)
    .forEach((route) => {
      const host = (route.spec.host as string).toLowerCase()
      const group = groups.get(host)
      if (group) group.push(route)
      else groups.set(host, [route])
    })
  return groups
}
