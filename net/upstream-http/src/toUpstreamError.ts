import { UpstreamError } from '@reelspan/upstream.client'

/** Failures of `connect`: nothing can have reached the upstream. */
const NEVER_SENT = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** Wraps a transport failure. Unless the connection was never made, the upstream may have begun. */
export function toUpstreamError (thrown: unknown, address: string): UpstreamError {
  if (thrown instanceof UpstreamError) return thrown
  const { code, message } = thrown instanceof Error ? thrown as NodeJS.ErrnoException : { code: undefined, message: String(thrown) }
  return new UpstreamError(`${address}: ${message}`, { mayHaveRun: !NEVER_SENT.has(code ?? ''), cause: thrown })
}
