import { type RelayContext } from './relayContext.js'

/** Upstreams of a pool that cannot be sent a request, since this box has no idle connection to them and none accepts a new one. */
export function unconnectedUpstreams ({ paths, opts: { upstreams, fleet } }: RelayContext, pool: string): string[] {
  if (!paths.lost) return []
  return fleet().takingWork(pool).filter(({ address }) => !upstreams.hasIdleConnection(address)).map(({ name }) => name)
}
