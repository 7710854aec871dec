export interface SleepOptions {
  /** Ends the sleep early. The promise still resolves. */
  signal?: AbortSignal
}

/**
 * A monotonic clock and the only source of timers. Its readings are meaningful only
 * on this machine and are never sent to another one.
 */
export abstract class Clock {
  /** Milliseconds since a fixed point of this process. Never decreases. */
  abstract nowMs (): number

  /** Resolves after `durationMs`, or as soon as the signal is aborted. */
  abstract sleep (durationMs: number, opts?: SleepOptions): Promise<void>

  /**
   * Resolves once input that is already pending has been read. After a pause of the
   * process, timers fire before messages that arrived meanwhile are read. Await this
   * before sending something that cannot be undone.
   */
  abstract awaitPendingInput (): Promise<void>
}
