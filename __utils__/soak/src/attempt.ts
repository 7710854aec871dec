/** What may be done with a request, by its route. */
export enum RouteKind {
  /** A call that may run at most once. */
  Once = 'once',
  /** A call that may be repeated. */
  Repeatable = 'repeatable',
  /** A stream that may run at most once. */
  Stream = 'stream',
  /** A stream that may be taken up at another engine. */
  Resumable = 'resumable',
}

/** One attempt of a client, as the client saw it. Times are on `performance.now()`. */
export interface Attempt {
  id: string
  kind: RouteKind
  /** The box that it was sent to. */
  box: string
  sentAtMs: number
  deadlineMs: number
  endedAtMs?: number
  status?: number
  body?: string
  retryAfter?: string
  /** The connection broke, or the client gave up. */
  error?: string
  /** The box, or the whole machine, stood still for a part of the time. */
  stoodStill?: boolean
  /** Nothing but planned work went on, from some seconds before it to its end. */
  calm?: boolean
}
