import { type Clock } from './clock.js'
import { STOPPED } from './stopped.js'

/** Returned by `raceTimeout` when the timeout expires first. */
export const TimedOut: unique symbol = Symbol('timed out')

/** Waits for `work` for at most `timeoutMs`. The work itself is not aborted. */
export async function raceTimeout<T> (clock: Clock, work: Promise<T>, timeoutMs: number): Promise<T | typeof TimedOut> {
  const stop = new AbortController()
  try {
    return await Promise.race([work, timeOut(clock, timeoutMs, stop.signal)])
  } finally {
    stop.abort(STOPPED)
  }
}

async function timeOut (clock: Clock, timeoutMs: number, signal: AbortSignal): Promise<typeof TimedOut> {
  await clock.sleep(timeoutMs, { signal })
  return TimedOut
}
