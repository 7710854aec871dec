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
  /** Events that its answer has, when it is a stream and not of the usual size. */
  events?: number
  endedAtMs?: number
  status?: number
  body?: string
  retryAfter?: string
  /** The connection broke, or the client gave up. */
  error?: string
  /** When the client closed the connection of its own, before the end. */
  leftAtMs?: number
  /** The box, or the whole machine, stood still for a part of the time. */
  stoodStill?: boolean
}

export function isStream (kind: RouteKind): boolean {
  return kind === RouteKind.Stream || kind === RouteKind.Resumable
}

export function mayRepeat (kind: RouteKind): boolean {
  return kind === RouteKind.Repeatable || kind === RouteKind.Resumable
}
