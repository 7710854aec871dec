import { listedVersion } from './listedVersion.js'
import { type RelayContext } from './relayContext.js'

/** Model or pool that a request is sent to, with the software version of the upstream. */
export function targetVersionOf ({ opts, target }: Pick<RelayContext, 'opts' | 'target'>, upstream: string): string {
  return `${target}@${listedVersion(opts, upstream) ?? ''}`
}
