import { UpstreamError } from '@reelspan/upstream.client'

/** An exchange failed. The verdict is `notRun` only if no byte of the request was sent. */
export class ExchangeError extends UpstreamError {}
