import { softwareVersionOf } from '@reelspan/config.fleet'
import { type RelayOptions } from './relayOptions.js'

/** The software version of an upstream by this box's list; undefined if it is not listed. */
export function listedVersion ({ fleet }: Pick<RelayOptions, 'fleet'>, upstream: string): string | undefined {
  const listed = fleet().upstream(upstream)
  return listed && softwareVersionOf(listed)
}
