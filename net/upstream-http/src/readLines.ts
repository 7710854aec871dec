import { type Clock } from '@reelspan/core.env'
import { type ReadBound, reportOversized } from '@reelspan/net.system-env'

export interface ReadLinesOptions {
  clock: Clock
  /** Bound of a line. */
  bound: ReadBound
  /** Timeout of a line. Bytes that do not complete it in time count like none. */
  timeoutMs: number
}

/** Splits a stream of bytes at line feeds. An incomplete last line is dropped. */
export async function * readLines (chunks: AsyncIterable<Uint8Array>, { clock, bound, timeoutMs }: ReadLinesOptions): AsyncGenerator<string> {
  const decoder = new TextDecoder()
  let pending = ''
  let awaitedSinceMs = clock.nowMs()
  for await (const chunk of chunks) {
    const lines = (pending + decoder.decode(chunk, { stream: true })).split('\n')
    pending = lines.pop() ?? ''
    if (pending.length > bound.maxBytes) throw reportOversized(bound, pending.length)
    if (lines.length > 0) {
      yield * lines
      awaitedSinceMs = clock.nowMs()
    } else if (clock.nowMs() - awaitedSinceMs >= timeoutMs) {
      throw new Error(`no complete line within ${timeoutMs} ms`)
    }
  }
}
