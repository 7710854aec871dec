import { type FleetList, instanceOf, type ListedUpstream, UpstreamKind } from '@reelspan/config.fleet'
import { type Configuration, type ModelSpec, type PoolSpec } from '@reelspan/config.resources'
import { hash32 } from '@reelspan/core.hashing'

/** Engines of one model that one scheduler accounts for. */
export interface Shard {
  id: string
  model: string
  spec: ModelSpec
  prefillPool: PoolSpec
  decodePool: PoolSpec
  /** Every listed engine, leaving ones too. */
  prefillEngines: readonly ListedUpstream[]
  decodeEngines: readonly ListedUpstream[]
  /** Set when all its engines are in one availability zone by design. */
  availabilityZone?: string
}

/** Engines of both pools. */
export function enginesOf ({ prefillEngines, decodeEngines }: Shard): ListedUpstream[] {
  return [...prefillEngines, ...decodeEngines]
}

/**
 * Cuts a model's engines into shards. As many engines as `maxEnginesPerShard` allows
 * both pools together are one shard, however many of them have which role: roles
 * follow the load, and an engine that changes its role in a burst must not hand every
 * reservation to other schedulers. More are cut by availability zone, and within it
 * into equal parts in hash order, so that an engine more or less moves few others.
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

/** Whatever else says that it belongs to an engine pool computes nothing. */
function isEngine ({ kind }: ListedUpstream): boolean {
  return kind === UpstreamKind.Engine
}

function fitsOneShard (shard: Shard): boolean {
  return enginesOf(shard).length <= shard.prefillPool.maxEnginesPerShard + shard.decodePool.maxEnginesPerShard
}

/** An engine of a zone that lacks the other role works with the engines of another zone, always the same one. */
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
