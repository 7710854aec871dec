import { type RouteSpec } from '@reelspan/config.resources'

/** What a route's requests are, as far as it decides how they may be served. */
export enum RequestKind {
  Call = 'call',
  RepeatableCall = 'repeatableCall',
  Stream = 'stream',
  ResumableStream = 'resumableStream',
}

export function requestKind ({ streaming, resumable, notRepeatable }: RouteSpec): RequestKind {
  if (streaming) return resumable ? RequestKind.ResumableStream : RequestKind.Stream
  return notRepeatable ? RequestKind.Call : RequestKind.RepeatableCall
}
