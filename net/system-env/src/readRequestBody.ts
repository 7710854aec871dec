import { type IncomingMessage } from 'node:http'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { type BodyAccount } from '@reelspan/net.byte-budget'

/** Most bodies fit into the first buffer. Buffers double, so that the memory of a body is at most twice what the budget counts, and this much more. */
const MIN_BODY_BUFFER_BYTES = 4096

export interface ReadRequestBodyOptions {
  maxBytes: number
  /** Accounts for the body in the budget for requests in flight. */
  account: BodyAccount
  /** Aborted with the error to throw when the body takes too long to arrive. */
  signal: AbortSignal
}

/**
 * Reads a request's body. Throws `ERR_REELSPAN_BODY_TOO_LARGE`, `ERR_REELSPAN_BODIES_FULL`, before reading where
 * the length is known, and the reason of the signal. The rest of a refused body is read and dropped, because closing
 * the connection with unread bytes could destroy the refusal on its way to the caller.
 */
export async function readRequestBody (message: IncomingMessage, opts: ReadRequestBodyOptions): Promise<Uint8Array> {
  const expectedBytes = Number(message.headers['content-length'] ?? 0)
  try {
    if (expectedBytes > opts.maxBytes) throw tooLarge(opts.maxBytes)
    opts.account.expect(expectedBytes)
    return await collect(message, opts)
  } catch (thrown) {
    message.resume()
    throw thrown
  }
}

function collect (message: IncomingMessage, { maxBytes, account, signal }: ReadRequestBodyOptions): Promise<Uint8Array> {
  return new Promise((resolve, reject) => {
    // Parts of a few bytes each would take many times their size as buffers of their own.
    let body = Buffer.alloc(0)
    let bytes = 0
    const settle = (outcome: () => void) => {
      message.off('data', onData).off('end', onEnd).off('close', onClose).off('error', onClose)
      signal.removeEventListener('abort', onAbort)
      // An aborted message may still emit an error.
      message.on('error', () => {})
      outcome()
    }
    const onData = (part: Buffer) => {
      const end = bytes + part.byteLength
      try {
        if (end > maxBytes) throw tooLarge(maxBytes)
        account.add(part.byteLength)
        if (end > body.byteLength) {
          const grown = Buffer.allocUnsafe(Math.min(maxBytes, Math.max(end, 2 * body.byteLength, MIN_BODY_BUFFER_BYTES)))
          body.copy(grown, 0, 0, bytes)
          body = grown
        }
        part.copy(body, bytes)
        bytes = end
      } catch (thrown) {
        settle(() => reject(thrown))
      }
    }
    const onEnd = () => settle(() => resolve(body.subarray(0, bytes)))
    const onClose = () => settle(() => reject(new ReelspanError(ErrorCode.Cancelled, 'the caller disconnected before its request was complete')))
    const onAbort = () => settle(() => reject(signal.reason))
    message.on('data', onData).on('end', onEnd).on('close', onClose).on('error', onClose)
    signal.addEventListener('abort', onAbort)
    if (signal.aborted) onAbort()
    else if (message.destroyed) onClose()
  })
}

function tooLarge (maxBytes: number): ReelspanError {
  return new ReelspanError(ErrorCode.BodyTooLarge, `the request body exceeds ${maxBytes} bytes`)
}
