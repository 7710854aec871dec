import { ExitCode } from './exitCode.js'

interface ResourceList {
  revision: number
  resources: { kind: string, name: string, revision: number }[]
}

interface EngineStatus {
  name: string
  servedVersion?: string
  leaving: boolean
  retiring: boolean
  busyMs?: number
  reservedPlaces?: number
  externalPlaces?: number
  reportAgeMs?: number
}

/** Target numbers of prefill and decode engines of a shard whose roles follow the load. */
interface RoleTarget {
  outcome: string
  target: { prefill: number, decode: number }
}

interface ShardStatus {
  shard: string
  waiting: number
  reservations: number
  mayOrder: boolean
  roles?: RoleTarget
  prefill: EngineStatus[]
  decode: EngineStatus[]
}

export interface Status {
  resource: { kind: string, name: string, revision: number }
  revisionInForce: number
  rejected?: { revision: number, problems: string[] }
  shards: { box: string, ageMs: number, shard: ShardStatus }[]
  boxesNotAsked: string[]
}

export function showResources ({ revision, resources }: ResourceList, json: boolean): ExitCode {
  if (json) console.log(JSON.stringify({ revision, resources }))
  else resources.forEach((resource) => console.log(`${resource.kind}/${resource.name}  revision ${resource.revision}`))
  return ExitCode.Done
}

export function showStatus (status: Status, json: boolean): ExitCode {
  console.log(json ? JSON.stringify(status) : statusLines(status).join('\n'))
  return ExitCode.Done
}

/** Formats the status of a resource as lines of text. */
export function statusLines ({ resource, revisionInForce, rejected, shards, boxesNotAsked }: Status): string[] {
  return [
    `${resource.kind}/${resource.name}  changed in revision ${resource.revision}, revision ${revisionInForce} is in force`,
    ...(rejected ? [`revision ${rejected.revision} was rejected:`, ...rejected.problems.map((problem) => `  ${problem}`)] : []),
    ...shards.flatMap(({ box, ageMs, shard }) => [
      `shard ${shard.shard}  accounted for by ${box}, ${ageMs} ms ago: ${shard.waiting} waiting, ${shard.reservations} running${shard.mayOrder ? '' : ', may not give orders yet'}`,
      ...shard.roles ? [`  roles: ${shard.roles.target.prefill} prefill and ${shard.roles.target.decode} decode targeted (${shard.roles.outcome})`] : [],
      ...[...shard.prefill, ...shard.decode].map(engineLine),
    ]),
    ...(boxesNotAsked.length > 0 ? [`unreachable: ${boxesNotAsked.join(', ')}`] : []),
  ]
}

function engineLine (engine: EngineStatus): string {
  const state = [
    engine.servedVersion === undefined ? 'accepts no requests' : `version ${engine.servedVersion}`,
    ...(engine.leaving ? ['leaving'] : []),
    ...(engine.retiring ? ['draining for an order'] : []),
    ...(engine.busyMs === undefined ? [] : [`busy for ${engine.busyMs} ms`]),
    ...(engine.reservedPlaces === undefined ? [] : [`${engine.reservedPlaces} slots reserved, ${engine.externalPlaces} used by others`]),
    engine.reportAgeMs === undefined ? 'no report' : `report ${engine.reportAgeMs} ms old`,
  ]
  return `  ${engine.name}: ${state.join(', ')}`
}
