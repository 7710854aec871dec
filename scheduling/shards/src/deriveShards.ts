import { type FleetList, instanceOf, type ListedUpstream, UpstreamKind } from '@reelspan/config.fleet'
import { type Configuration, type ModelSpec, type PoolSpec } from '@reelspan/config.resources'
import { hash32 } from '@reelspan/core.hashing'

/** The engines of one model that are managed by one scheduler. */
export interface Shard {
  id: string
  model: string
  spec: ModelSpec
  prefillPool: PoolSpec
  decodePool: PoolSpec
  /** All listed engines, including those that are leaving. */
  prefillEngines: readonly ListedUpstream[]
  decodeEngines: readonly ListedUpstream[]
  /** Set if the shard was derived for a single availability zone. */
  availabilityZone?: string
}

/** Engines of both pools. */
export function enginesOf ({ prefillEngines, decodeEngines }: Shard): ListedUpstream[] {
  return [...prefillEngines, ...decodeEngines]
}

/**
 * Splits the engines of each model into shards. A model is one shard as long as the
 * number of its engines is at most the sum of `maxEnginesPerShard` of both pools. Roles
 * are not counted separately, because they follow the load, and an engine that changes
 * its role during a burst must not move every reservation to other schedulers. Larger
 * models are split by availability zone, and each zone into equal parts in hash order,
 * so that adding or removing an engine moves few others.
 */
export function deriveShards (configuration: Configuration, fleet: FleetList): Shard[] {
  return configuration.modelNames().flatMap((model) => shardsOfModel(model, configuration, fleet))
}

function shardsOfModel (model: string, configuration: Configuration, fleet: FleetList): Shard[] {
  const spec = configuration.model(model) as ModelSpec
  const whole: Shard = {
    id: model,
    model,
    spec,
    prefillPool: configuration.pool(spec.prefillPool) as PoolSpec,
    decodePool: configuration.pool(spec.decodePool) as PoolSpec,
    prefillEngines: fleet.inPool(spec.prefillPool).filter(isEngine),
    decodeEngines: fleet.inPool(spec.decodePool).filter(isEngine),
  }
  const zones = zonesWithBothRoles(whole)
  if (fitsOneShard(whole) || zones.length === 0) return [whole]
  return zones.flatMap((zone) => {
    const ofZone = (engines: readonly ListedUpstream[]) => engines.filter((engine) => servingZone(engine, zones) === zone)
    return splitEvenly({
      ...whole,
      id: `${model}#${zone}`,
      availabilityZone: zone,
      prefillEngines: ofZone(whole.prefillEngines),
      decodeEngines: ofZone(whole.decodeEngines),
    })
  })
}

/** Upstreams of other kinds that name an engine pool are ignored: they compute nothing. */
function isEngine ({ kind }: ListedUpstream): boolean {
  return kind === UpstreamKind.Engine
}

function fitsOneShard (shard: Shard): boolean {
  return enginesOf(shard).length <= shard.prefillPool.maxEnginesPerShard + shard.decodePool.maxEnginesPerShard
}

/** Engines in a zone without engines of the other role are assigned to another zone by a hash of the instance, so the assignment is stable. */
function servingZone (engine: ListedUpstream, zones: readonly string[]): string {
  const { availabilityZone } = engine
  return zones.includes(availabilityZone) ? availabilityZone : zones[hash32(instanceOf(engine)) % zones.length]
}

function partCount (shard: Shard): number {
  return Math.max(
    Math.ceil(shard.prefillEngines.length / shard.prefillPool.maxEnginesPerShard),
    Math.ceil(shard.decodeEngines.length / shard.decodePool.maxEnginesPerShard)
  )
}

function zonesWithBothRoles (shard: Shard): string[] {
  const decodeZones = new Set(shard.decodeEngines.map(({ availabilityZone }) => availabilityZone))
  const prefillZones = new Set(shard.prefillEngines.map(({ availabilityZone }) => availabilityZone))
  return [...prefillZones].filter((zone) => decodeZones.has(zone)).sort()
}

function splitEvenly (shard: Shard): Shard[] {
  const parts = Math.min(partCount(shard), shard.prefillEngines.length, shard.decodeEngines.length)
  const prefillOrder = inHashOrder(shard.prefillEngines)
  const decodeOrder = inHashOrder(shard.decodeEngines)
  return Array.from({ length: parts }, (_, part) => ({
    ...shard,
    id: `${shard.id}.${part}`,
    prefillEngines: slicePart(prefillOrder, part, parts),
    decodeEngines: slicePart(decodeOrder, part, parts),
  }))
}

function inHashOrder (engines: readonly ListedUpstream[]): ListedUpstream[] {
  const hashed = engines.map((engine) => ({ engine, instance: instanceOf(engine), hash: hash32(instanceOf(engine)) }))
  hashed.sort((a, b) => a.hash - b.hash || (a.instance < b.instance ? -1 : 1))
  return hashed.map(({ engine }) => engine)
}

function slicePart<T> (items: readonly T[], part: number, parts: number): T[] {
  return items.slice(Math.floor(part * items.length / parts), Math.floor((part + 1) * items.length / parts))
}
