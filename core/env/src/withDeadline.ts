import { type Clock } from './clock.js'
import { STOPPED } from './stopped.js'

export interface DeadlineOptions {
  timeoutMs: number
  /** Aborts the work earlier. */
  signal?: AbortSignal
}

/** Runs work with a signal that is aborted when the timeout expires or the outer signal is aborted. */
export async function withDeadline<T> (clock: Clock, { timeoutMs, signal }: DeadlineOptions, work: (signal: AbortSignal) => Promise<T>): Promise<T> {
  const over = new AbortController()
  const done = new AbortController()
  void clock.sleep(timeoutMs, { signal: done.signal }).then(() => over.abort(STOPPED))
  try {
    return await work(signal ? AbortSignal.any([signal, over.signal]) : over.signal)
  } finally {
    done.abort(STOPPED)
  }
}
