import { UpstreamError } from '@reelspan/upstream.client'

/** An exchange failed. Its verdict is `notRun` only when no byte of the request was sent. */
export class ExchangeError extends UpstreamError {}
