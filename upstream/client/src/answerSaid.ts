/** A limit as an answer names it: requests that its upstream takes from all boxes together. */
export interface StatedLimit {
  /** Requests a second. Nothing when what the answer names cannot be read. */
  perSecond?: number
  /** What the answer names, as it came. */
  text: string
}

/** What the head of an answer says of its upstream, whatever becomes of the request. */
export interface AnswerSaid {
  succeeded: boolean
  /** Nothing when the answer names no limit. */
  limit?: StatedLimit
}
