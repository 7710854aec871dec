import { type RelayContext } from './relayContext.js'

/** Whether the request can only be run by another box, since this one has lost its paths to the upstreams. */
export function mustDelegate ({ delegator, mayDelegate }: RelayContext): boolean {
  return mayDelegate && delegator.isNeeded
}
