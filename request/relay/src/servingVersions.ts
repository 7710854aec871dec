import { softwareVersionOf } from '@reelspan/config.fleet'
import { type RouteSpec } from '@reelspan/config.resources'
import { type RelayOptions } from './relayOptions.js'

/** Models and pools that serve a route, each with the software versions of its upstreams that accept work. */
export function servingVersions ({ configuration, fleet }: Pick<RelayOptions, 'configuration' | 'fleet'>, { targets, model, pool }: RouteSpec): string[] {
  const versions = (targets ?? [{ model, pool }]).flatMap((target) => {
    const poolName = target.model === undefined ? target.pool : configuration().model(target.model)?.decodePool
    return fleet().takingWork(poolName ?? '').map((upstream) => `${target.model ?? target.pool ?? ''}@${softwareVersionOf(upstream)}`)
  })
  return [...new Set(versions)]
}
