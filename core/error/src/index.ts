export { ErrorCode } from './errorCode.js'
export { Verdict } from './verdict.js'
export { ReelspanError, toReelspanError } from './reelspanError.js'
export type { ReelspanErrorOptions } from './reelspanError.js'
