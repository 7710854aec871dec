import { type IncomingMessage } from 'node:http'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'

/** Reads a request's body. Throws `ERR_REELSPAN_BODY_TOO_LARGE`. */
export async function readBody (request: IncomingMessage, maxBytes: number): Promise<Uint8Array> {
  const chunks: Uint8Array[] = []
  let readBytes = 0
  for await (const chunk of request as AsyncIterable<Uint8Array>) {
    readBytes += chunk.byteLength
    if (readBytes > maxBytes) {
      throw new ReelspanError(ErrorCode.BodyTooLarge, `the request body is larger than ${maxBytes} bytes`, { hint: 'The setting limits.bodyBytes is the maximum.' })
    }
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}
