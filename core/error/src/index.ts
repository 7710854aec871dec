export { ErrorCode } from './errorCode.js'
export { Verdict } from './verdict.js'
export { errorMessage, ReelspanError, toReelspanError } from './reelspanError.js'
export type { ReelspanErrorOptions } from './reelspanError.js'
