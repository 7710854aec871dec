import { type Clock, STOPPED } from '@reelspan/core.env'
import { type Context } from 'koa'

export interface DisconnectSlowCallerOptions {
  clock: Clock
  slowCallerMs: number
}

/** Yields the parts, and closes the caller's connection if it does not read a part for too long. Uses one timer per caller, no matter how many parts there are. */
export async function * disconnectSlowCaller<T> (ctx: Context, parts: AsyncIterable<T>, opts: DisconnectSlowCallerOptions): AsyncGenerator<T> {
  const progress: Progress = { waitingSinceMs: undefined }
  const finished = new AbortController()
  void monitorProgress(ctx, progress, finished.signal, opts)
  try {
    for await (const part of parts) {
      progress.waitingSinceMs = opts.clock.nowMs()
      yield part
      progress.waitingSinceMs = undefined
    }
  } finally {
    finished.abort(STOPPED)
  }
}

interface Progress {
  /** Since when a part has been waiting to be read. */
  waitingSinceMs?: number
}

async function monitorProgress (ctx: Context, progress: Progress, finished: AbortSignal, { clock, slowCallerMs }: DisconnectSlowCallerOptions): Promise<void> {
  while (!finished.aborted) {
    await clock.sleep(slowCallerMs / 2, { signal: finished })
    const { waitingSinceMs } = progress
    if (!finished.aborted && waitingSinceMs !== undefined && clock.nowMs() - waitingSinceMs >= slowCallerMs) ctx.res.destroy()
  }
}
