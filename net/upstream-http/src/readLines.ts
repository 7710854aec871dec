/** Splits a stream of bytes at line feeds. An incomplete last line is dropped. */
export async function * readLines (chunks: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const decoder = new TextDecoder()
  let pending = ''
  for await (const chunk of chunks) {
    const lines = (pending + decoder.decode(chunk, { stream: true })).split('\n')
    pending = lines.pop() ?? ''
    yield * lines
  }
}
