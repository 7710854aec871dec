import { UpstreamError } from '@reelspan/upstream.client'

/** Codes of failed connection attempts, in which case the upstream cannot have received the request. */
const CONNECT_ERROR_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** Wraps a transport failure. The upstream may have run the request unless the connection attempt failed. */
export function toUpstreamError (thrown: unknown, address: string): UpstreamError {
  if (thrown instanceof UpstreamError) return thrown
  const { code, message } = thrown instanceof Error ? thrown as NodeJS.ErrnoException : { code: undefined, message: String(thrown) }
  return new UpstreamError(`${address}: ${message}`, { mayHaveRun: !CONNECT_ERROR_CODES.has(code ?? ''), cause: thrown })
}
