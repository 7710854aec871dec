/** Kind of route that a request is sent to. It decides whether the request may run again or be resumed. */
export enum RouteKind {
  /** A call that may run at most once. */
  Once = 'once',
  /** A call that may be repeated. */
  Repeatable = 'repeatable',
  /** A stream that may run at most once. */
  Stream = 'stream',
  /** A stream that may be resumed at another engine. */
  Resumable = 'resumable',
}

/** Timers of a box and of a client fire up to this much early, so that an answer may end so much before its deadline as its client sees it. */
export const TIMER_ROUNDING_MS = 1

/** One attempt of a client to send a request, as the client saw it. Times are on `performance.now()`. */
export interface Attempt {
  id: string
  kind: RouteKind
  /** The box that it was sent to. */
  box: string
  sentAtMs: number
  deadlineMs: number
  /** Number of events of the expected answer, if it is a stream of other than the default size. */
  events?: number
  /** The stream that the attempt takes up: the attempt that began it, and the last event received. */
  resumes?: { attempt: string, after: number }
  endedAtMs?: number
  status?: number
  body?: string
  /** Whether the answer lacked the signature of an upstream, if one was received. */
  unsigned?: boolean
  retryAfter?: string
  /** Set when the connection failed or the client timed out. */
  error?: string
  /** When the client aborted the request before its end, if it did. */
  abortedAtMs?: number
  /** The box, or the whole machine, was suspended or got no processor time during the attempt. */
  wasStalled?: boolean
}

export function isStream (kind: RouteKind): boolean {
  return kind === RouteKind.Stream || kind === RouteKind.Resumable
}

export function mayRunRepeatedly (kind: RouteKind): boolean {
  return kind === RouteKind.Repeatable || kind === RouteKind.Resumable
}
