import { type IncomingMessage } from 'node:http'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { type BodyAccount } from '@reelspan/net.byte-budget'

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
    const parts: Buffer[] = []
    let bytes = 0
    const settle = (outcome: () => void) => {
      message.off('data', onData).off('end', onEnd).off('close', onClose).off('error', onClose)
      signal.removeEventListener('abort', onAbort)
      // An aborted message may still emit an error.
      message.on('error', () => {})
      outcome()
    }
    const onData = (part: Buffer) => {
      bytes += part.byteLength
      try {
        if (bytes > maxBytes) throw tooLarge(maxBytes)
        account.add(part.byteLength)
        parts.push(part)
      } catch (thrown) {
        settle(() => reject(thrown))
      }
    }
    const onEnd = () => settle(() => resolve(parts.length === 1 ? parts[0] : Buffer.concat(parts)))
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
