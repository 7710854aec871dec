import { ExitCode } from './exitCode.js'

interface ResourceList {
  revision: number
  resources: { kind: string, name: string, revision: number }[]
}

interface EngineLine {
  name: string
  servedVersion?: string
  leaving: boolean
  retiring: boolean
  busyMs?: number
  reservedPlaces?: number
  externalPlaces?: number
  reportAgeMs?: number
}

/** Which roles the engines of a shard should have, where they follow the load. */
interface RolesLine {
  outcome: string
  target: { prefill: number, decode: number }
}

interface ShardLine {
  shard: string
  waiting: number
  reservations: number
  mayOrder: boolean
  roles?: RolesLine
  prefill: EngineLine[]
  decode: EngineLine[]
}

export interface Status {
  resource: { kind: string, name: string, revision: number }
  revisionInForce: number
  rejected?: { revision: number, problems: string[] }
  shards: { box: string, ageMs: number, shard: ShardLine }[]
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

/** The status of a resource as lines for an operator. */
export function statusLines ({ resource, revisionInForce, rejected, shards, boxesNotAsked }: Status): string[] {
  return [
    `${resource.kind}/${resource.name}  changed in revision ${resource.revision}, revision ${revisionInForce} is in force`,
    ...(rejected ? [`revision ${rejected.revision} was refused:`, ...rejected.problems.map((problem) => `  ${problem}`)] : []),
    ...shards.flatMap(({ box, ageMs, shard }) => [
      `shard ${shard.shard}  accounted for by ${box}, ${ageMs} ms ago: ${shard.waiting} wait, ${shard.reservations} run${shard.mayOrder ? '' : ', may not order yet'}`,
      ...shard.roles ? [`  roles: ${shard.roles.target.prefill} prefill and ${shard.roles.target.decode} decode wanted (${shard.roles.outcome})`] : [],
      ...[...shard.prefill, ...shard.decode].map(engineLine),
    ]),
    ...(boxesNotAsked.length > 0 ? [`could not be asked: ${boxesNotAsked.join(', ')}`] : []),
  ]
}

function engineLine (engine: EngineLine): string {
  const state = [
    engine.servedVersion === undefined ? 'takes no work' : `version ${engine.servedVersion}`,
    ...(engine.leaving ? ['leaving'] : []),
    ...(engine.retiring ? ['emptying for an order'] : []),
    ...(engine.busyMs === undefined ? [] : [`busy for ${engine.busyMs} ms`]),
    ...(engine.reservedPlaces === undefined ? [] : [`${engine.reservedPlaces} places reserved, ${engine.externalPlaces} used by others`]),
    engine.reportAgeMs === undefined ? 'no report' : `report ${engine.reportAgeMs} ms old`,
  ]
  return `  ${engine.name}: ${state.join(', ')}`
}
