import { type IncomingMessage } from 'node:http'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'

const MAX_SHOWN_LENGTH = 100

/** Parses the target of a request. Throws `ERR_REELSPAN_BAD_REQUEST`. */
export function requestUrl ({ url = '/' }: IncomingMessage): URL {
  // A path that begins with two slashes would be read as a host.
  const target = url.startsWith('/') ? `http://box${url}` : url
  if (!URL.canParse(target)) throw new ReelspanError(ErrorCode.BadRequest, `target: cannot be parsed: «${url.slice(0, MAX_SHOWN_LENGTH)}»`)
  return new URL(target)
}
