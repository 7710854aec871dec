import { type Clock, STOPPED } from '@reelspan/core.env'
import { type Context } from 'koa'

export interface CutSlowCallerOptions {
  clock: Clock
  slowCallerMs: number
}

/** Passes parts on, and cuts the caller off when it takes nothing for too long. One timer a caller, however many parts it gets. */
export async function * cutSlowCaller<T> (ctx: Context, parts: AsyncIterable<T>, opts: CutSlowCallerOptions): AsyncGenerator<T> {
  const progress: Progress = { waitingSinceMs: undefined }
  const over = new AbortController()
  void watch(ctx, progress, over.signal, opts)
  try {
    for await (const part of parts) {
      progress.waitingSinceMs = opts.clock.nowMs()
      yield part
      progress.waitingSinceMs = undefined
    }
  } finally {
    over.abort(STOPPED)
  }
}

interface Progress {
  /** Since when a part waits to be taken. */
  waitingSinceMs?: number
}

async function watch (ctx: Context, progress: Progress, over: AbortSignal, { clock, slowCallerMs }: CutSlowCallerOptions): Promise<void> {
  while (!over.aborted) {
    await clock.sleep(slowCallerMs / 2, { signal: over })
    const { waitingSinceMs } = progress
    if (!over.aborted && waitingSinceMs !== undefined && clock.nowMs() - waitingSinceMs >= slowCallerMs) ctx.res.destroy()
  }
}
