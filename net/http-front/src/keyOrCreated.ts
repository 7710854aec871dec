import { type CallOptions } from './readCallOptions.js'

/** Stands for a missing key. It names no owner, so that a request which needs one is refused. */
const UNNAMED_KEY = 'none'

/**
 * The caller's key, or one of this box. A request that may not be repeated gets
 * none: a key made up here would be lost with the answer, and with it the
 * caller's way back to the request.
 */
export function keyOrCreated (call: CallOptions, notRepeatable: boolean, createKey: () => string): string {
  return call.key ?? (notRepeatable ? UNNAMED_KEY : createKey())
}
