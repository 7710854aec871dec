import { type RouteSpec } from '@reelspan/config.resources'

/** Whether a route's request that may have run may be run once more. */
export function isRepeatable ({ streaming, resumable, notRepeatable }: RouteSpec): boolean {
  return streaming ? resumable === true : !notRepeatable
}
