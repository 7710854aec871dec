import { checkResources, type Configuration, type DeclaredResource, type ResourceProblem, type Resource, ResourceKind } from '@reelspan/config.resources'
import { type ConfigStore, type ContentChange } from '@reelspan/config.store'
import { type Clock } from '@reelspan/core.env'
import { type Member, MessageType, type PeerLink } from '@reelspan/core.messages'
import { type MembershipView } from '@reelspan/membership.view'
import { schedulerOf } from '@reelspan/scheduling.shards'
import { type ShardManagers } from './shardManagers.js'

export interface ResourceApiOptions {
  clock: Clock
  link: PeerLink
  view: MembershipView
  declarations: ConfigStore<Configuration>
  shardManagers: ShardManagers
}

/** A resource as shown to operators: its declared spec, and the revision that last changed it. */
export interface ResourceView {
  kind: string
  name: string
  revision: number
  spec: unknown
}

/** State of a resource across the fleet, collected on request. */
export interface ResourceStatus {
  resource: ResourceView
  /** Revision in force at the responding box. */
  revisionInForce: number
  /** A newer revision that failed validation, and its problems. */
  rejected?: { revision: number, problems: string[] }
  /** Shards that the resource affects, as their schedulers describe them. */
  shards: { box: string, ageMs: number, shard: unknown }[]
  boxesNotAsked: string[]
}

const STATUS_TIMEOUT_MS = 1000

/** Read-only access for operators to the declared resources and their state. */
export class ResourceApi {
  readonly #opts: ResourceApiOptions

  constructor (opts: ResourceApiOptions) {
    this.#opts = opts
  }

  list (kind?: string): ResourceView[] {
    return this.#opts.declarations.value.resources
      .filter((resource) => kind === undefined || resource.kind === kind)
      .map(viewOf)
  }

  get (kind: string, name: string): ResourceView | undefined {
    return this.list(kind).find((resource) => resource.name === name)
  }

  /** Waits until the revision in force is above the given one, then returns the changes since. */
  async watch (sinceRevision: number, signal: AbortSignal): Promise<{ revision: number, changes: ContentChange[] }> {
    const { declarations } = this.#opts
    await declarations.waitAbove(sinceRevision, signal)
    const { revision, changes } = declarations.changesSince(sinceRevision)
    return { revision, changes }
  }

  /** Validates a complete set of resources exactly as a box does before it adopts one. */
  check (resources: readonly DeclaredResource[]): ResourceProblem[] {
    return checkResources(resources, 0).problems
  }

  async status (kind: string, name: string): Promise<ResourceStatus | undefined> {
    const { declarations } = this.#opts
    const resource = declarations.value.resources.find((one) => one.kind === kind && one.name === name)
    if (!resource) return undefined
    const statuses = await this.#querySchedulers(modelsOf(resource, declarations.value))
    return {
      resource: viewOf(resource),
      revisionInForce: declarations.revision,
      rejected: declarations.rejected,
      shards: statuses.flatMap(({ shards }) => shards),
      boxesNotAsked: statuses.flatMap(({ box, answered }) => answered ? [] : [box]),
    }
  }

  async #querySchedulers (models: readonly string[]) {
    const { shardManagers, view } = this.#opts
    const shards = models.flatMap((model) => shardManagers.shardsOfModel(model))
    const schedulers = new Map<string, Member>()
    shards.forEach((shard) => {
      const scheduler = schedulerOf(shard, view.schedulerCandidates())
      if (scheduler) schedulers.set(scheduler.incarnation, scheduler)
    })
    const ids = new Set(shards.map(({ id }) => id))
    return Promise.all([...schedulers.values()].map((scheduler) => this.#queryScheduler(scheduler, ids)))
  }

  async #queryScheduler (scheduler: Member, shardIds: Set<string>) {
    const { clock, shardManagers, link, view } = this.#opts
    const askedAtMs = clock.nowMs()
    const status = scheduler.incarnation === view.self.incarnation
      ? shardManagers.describe()
      : await this.#pullStatus(link, scheduler.peerAddress)
    const ageMs = clock.nowMs() - askedAtMs
    const shards = (status ?? [])
      .filter(({ shard }) => shardIds.has(shard))
      .map((shard) => ({ box: scheduler.name, ageMs: Math.round(ageMs), shard }))
    return { box: scheduler.name, answered: status !== undefined, shards }
  }

  async #pullStatus (link: PeerLink, address: string): Promise<{ shard: string }[] | undefined> {
    // The link logs a failure; the status lists this scheduler in `boxesNotAsked`.
    const answer = await link.call(address, { type: MessageType.StatusPull }, { timeoutMs: STATUS_TIMEOUT_MS, repeatable: true }).catch(() => undefined)
    return answer?.type === MessageType.StatusContent ? answer.status as { shard: string }[] : undefined
  }
}

function viewOf ({ kind, name, revision, spec }: Resource): ResourceView {
  return { kind, name, revision, spec }
}

function modelsOf (resource: Resource, configuration: Configuration): string[] {
  switch (resource.kind) {
    case ResourceKind.Model: return [resource.name]
    case ResourceKind.Rollout: return [resource.spec.model]
    case ResourceKind.Route: return [resource.spec, ...resource.spec.targets ?? []].flatMap(({ model }) => model ?? [])
    case ResourceKind.CallerLimits:
    case ResourceKind.Account: return []
    case ResourceKind.Pool: return configuration.modelNames().filter((name) => {
      const model = configuration.model(name)
      return model?.prefillPool === resource.name || model?.decodePool === resource.name
    })
  }
}
