import { checkResources, type Configuration, type DeclaredResource, type ResourceProblem, type Resource, ResourceKind } from '@reelspan/config.resources'
import { type ConfigStore, type ContentChange } from '@reelspan/config.store'
import { type Clock } from '@reelspan/core.env'
import { type Member, MessageType, type PeerLink } from '@reelspan/core.messages'
import { type MembershipView } from '@reelspan/membership.view'
import { schedulerOf } from '@reelspan/scheduling.shards'
import { type ShardKeepers } from './shardKeepers.js'

export interface ResourceApiOptions {
  clock: Clock
  link: PeerLink
  view: MembershipView
  declarations: ConfigStore<Configuration>
  keepers: ShardKeepers
}

/** A resource as operators see it: its declared part, and the revisions that say how current this is. */
export interface ResourceView {
  kind: string
  name: string
  revision: number
  spec: unknown
}

/** The state of a resource over the fleet, gathered when it was asked for. */
export interface ResourceStatus {
  resource: ResourceView
  /** Revision in force at the box that answers. */
  revisionInForce: number
  /** A newer revision that was refused, and why. */
  rejected?: { revision: number, problems: string[] }
  /** What schedulers say of the shards that the resource concerns. */
  shards: { box: string, ageMs: number, shard: unknown }[]
  boxesNotAsked: string[]
}

const STATUS_TIMEOUT_MS = 1000

/** Lets operators read what is declared and what has become of it. Nothing is written through it. */
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

  /** Waits until the revision in force is above the given one, then answers with what changed since. */
  async watch (sinceRevision: number, signal: AbortSignal): Promise<{ revision: number, changes: ContentChange[] }> {
    const { declarations } = this.#opts
    await declarations.waitAbove(sinceRevision, signal)
    const { revision, changes } = declarations.changesSince(sinceRevision)
    return { revision, changes }
  }

  /** Checks a whole set exactly as a box would before it adopts it. */
  check (resources: readonly DeclaredResource[]): ResourceProblem[] {
    return checkResources(resources, 0).problems
  }

  async status (kind: string, name: string): Promise<ResourceStatus | undefined> {
    const { declarations } = this.#opts
    const resource = declarations.value.resources.find((one) => one.kind === kind && one.name === name)
    if (!resource) return undefined
    const asked = await this.#askSchedulers(modelsOf(resource, declarations.value))
    return {
      resource: viewOf(resource),
      revisionInForce: declarations.revision,
      rejected: declarations.rejected,
      shards: asked.flatMap(({ shards }) => shards),
      boxesNotAsked: asked.flatMap(({ box, answered }) => answered ? [] : [box]),
    }
  }

  async #askSchedulers (models: readonly string[]) {
    const { keepers, view } = this.#opts
    const wanted = models.flatMap((model) => keepers.shardsOfModel(model))
    const schedulers = new Map<string, Member>()
    wanted.forEach((shard) => {
      const scheduler = schedulerOf(shard, view.takingWork())
      if (scheduler) schedulers.set(scheduler.incarnation, scheduler)
    })
    const ids = new Set(wanted.map(({ id }) => id))
    return Promise.all([...schedulers.values()].map((scheduler) => this.#askScheduler(scheduler, ids)))
  }

  async #askScheduler (scheduler: Member, shardIds: Set<string>) {
    const { clock, keepers, link, view } = this.#opts
    const askedAtMs = clock.nowMs()
    const described = scheduler.incarnation === view.self.incarnation
      ? keepers.describe()
      : await this.#pull(link, scheduler.peerAddress)
    const ageMs = clock.nowMs() - askedAtMs
    const shards = (described ?? [])
      .filter(({ shard }) => shardIds.has(shard))
      .map((shard) => ({ box: scheduler.name, ageMs: Math.round(ageMs), shard }))
    return { box: scheduler.name, answered: described !== undefined, shards }
  }

  async #pull (link: PeerLink, address: string): Promise<{ shard: string }[] | undefined> {
    // The link tells of a failure; the view says that this scheduler has not answered.
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
