/** What is bounded of an upstream's answer, apart from a body that is passed on to a caller. */
export enum AnswerBound {
  /** Bytes of a status line and its header fields. */
  Head = 'head',
  /** Number of header or trailer fields. */
  Fields = 'fields',
  /** Number or bytes of the interim (1xx) responses before a final one. */
  Interim = 'interim',
  /** Bytes before the answer to the request, such as answers to other requests. */
  Foreign = 'foreign',
  /** Bytes of chunk lines beyond the sizes in them. */
  ChunkExtensions = 'chunkExtensions',
  Trailers = 'trailers',
  /** Bytes of one event of a stream. */
  Event = 'event',
  /** Bytes between two events of a stream, such as comments. */
  BetweenEvents = 'betweenEvents',
  /** A body that is not passed on, such as that of an error or a control call. */
  Body = 'body',
}

/** An answer exceeds a bound. The cause of the `UpstreamError` that ends its exchange. */
export class AnswerBoundExceeded extends Error {
  readonly bound: AnswerBound
  /** In bytes, or the maximum number of what is counted. */
  readonly limit: number

  constructor (bound: AnswerBound, limit: number) {
    super(`the answer exceeds its bound of ${limit} (${bound})`)
    this.bound = bound
    this.limit = limit
  }
}
