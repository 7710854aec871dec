import { type RouteSpec } from '@reelspan/config.resources'

/** Kind of a route's requests, which decides how they may be retried. */
export enum RelayedKind {
  Call = 'call',
  RepeatableCall = 'repeatableCall',
  Stream = 'stream',
  ResumableStream = 'resumableStream',
}

export function relayedKind ({ streaming, resumable, notRepeatable }: RouteSpec): RelayedKind {
  if (streaming) return resumable ? RelayedKind.ResumableStream : RelayedKind.Stream
  return notRepeatable ? RelayedKind.Call : RelayedKind.RepeatableCall
}
