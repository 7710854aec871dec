export interface SleepOptions {
  /** Ends the sleep early. The promise still resolves. */
  signal?: AbortSignal
}

/**
 * A monotonic clock and the only source of timers. Its readings mean something
 * on this machine alone: they are never sent to another one.
 */
export abstract class Clock {
  /** Milliseconds since some fixed point of this process. Never falls. */
  abstract nowMs (): number

  /** Resolves after `durationMs`, or as soon as the signal is aborted. */
  abstract sleep (durationMs: number, opts?: SleepOptions): Promise<void>

  /**
   * Resolves once input that is already waiting has been read. After a pause of
   * the process, timers fire before the news that came meanwhile is seen; whoever
   * is about to send something that cannot be taken back settles first.
   */
  abstract settle (): Promise<void>
}
