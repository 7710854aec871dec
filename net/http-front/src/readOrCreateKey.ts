import { type CallOptions } from './readCallOptions.js'

/** Used in place of a missing key. It names no owner, so a request that needs an owner is refused. */
const MISSING_KEY = 'none'

/**
 * Returns the caller's key, or one created by this box. No key is created for a request
 * that must not be repeated: if its answer were lost, the created key would be lost with
 * it, and the caller could no longer refer to the request.
 */
export function readOrCreateKey (call: CallOptions, notRepeatable: boolean, createKey: () => string): string {
  return call.key ?? (notRepeatable ? MISSING_KEY : createKey())
}
