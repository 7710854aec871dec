import { type Clock } from '@reelspan/core.env'

export interface ChunksWithinOptions {
  clock: Clock
  timeoutMs: number
}

/** Passes a body's chunks on, and throws at the first that arrives too late. The connection's own timeout ends a body of which nothing arrives. */
export async function * chunksWithin (chunks: AsyncIterable<Uint8Array>, { clock, timeoutMs }: ChunksWithinOptions): AsyncGenerator<Uint8Array> {
  const startedAtMs = clock.nowMs()
  for await (const chunk of chunks) {
    if (clock.nowMs() - startedAtMs >= timeoutMs) throw new Error(`the answer was not complete within ${timeoutMs} ms`)
    yield chunk
  }
}
