import { type RouteSpec } from '@reelspan/config.resources'

/** What a route's requests are, as far as it decides how they may be served. */
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
