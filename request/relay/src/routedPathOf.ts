import { type RoutedPath } from '@reelspan/request.stream-origins'
import { type RelayedRequest } from '@reelspan/upstream.client'

/** What chooses the route of a request: its host, and its path without the query. */
export function routedPathOf ({ host, target }: Pick<RelayedRequest, 'host' | 'target'>): RoutedPath {
  return { host, path: target.split('?')[0] }
}
