/** A source of an answer's bytes, such as an upstream's connection, that can be paused. */
export interface PausableSource {
  pause: () => void
  resume: () => void
}

/** Accounts for the bytes of an answer that its caller has not taken yet, and pauses the answer's sources when there are too many. */
export abstract class AnswerBuffer {
  /** Adds a source, which is paused and resumed until it is detached. */
  abstract attach (source: PausableSource): void
  abstract detach (source: PausableSource): void

  /** Adds bytes that were received and not passed on yet. */
  abstract charge (bytes: number): void
  abstract release (bytes: number): void

  /**
   * Sets the size of the incomplete event that is kept. It never pauses a source, since only further bytes complete the
   * event. Returns whether so many bytes may be kept.
   */
  abstract hold (bytes: number): boolean

  /** Counts the bytes as those of a client account, which shares the budget with others. */
  abstract assignTo (clientAccount: string): void
}
