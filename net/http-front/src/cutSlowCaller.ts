import { type Clock, STOPPED } from '@reelspan/core.env'
import { type Context } from 'koa'

/** Passes parts on, and cuts the caller off when it takes nothing for too long. */
export async function * cutSlowCaller<T> (ctx: Context, parts: AsyncIterable<T>, opts: { clock: Clock, slowCallerMs: number }): AsyncGenerator<T> {
  for await (const part of parts) {
    const taken = new AbortController()
    void cutUnlessTaken(ctx, taken.signal, opts)
    try {
      yield part
    } finally {
      taken.abort(STOPPED)
    }
  }
}

async function cutUnlessTaken (ctx: Context, taken: AbortSignal, { clock, slowCallerMs }: { clock: Clock, slowCallerMs: number }): Promise<void> {
  await clock.sleep(slowCallerMs, { signal: taken })
  if (!taken.aborted) ctx.res.destroy()
}
