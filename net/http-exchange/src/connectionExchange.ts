import { type AnswerBound, type AnswerBuffer, type ConnectionUse } from '@reelspan/upstream.client'
import { type AnswerBody } from './answerBody.js'
import { type AnswerHead, type ExchangeAnswer, type RequestIdentity } from './exchange.js'
import { type ExchangeError } from './exchangeError.js'

/** Whether a head belongs to the request that was sent on the connection, in the given exchange. */
export type AcceptHead = (head: AnswerHead, use: ConnectionUse) => boolean

/** An exchange that a connection runs. */
export interface ConnectionExchange {
  /** Identifies the exchange for `cancel`. */
  token: symbol
  identity?: RequestIdentity
  accept: AcceptHead
  /** Accounts for the bytes of the answer. Without it they are not limited. */
  buffer?: AnswerBuffer
  /** The maximum size of the answer's body. Without it any is accepted. */
  maxBodyBytes?: number
}

/** An exchange was ended since its answer exceeds a bound. */
export interface ExceededBound {
  bound: AnswerBound
  /** In bytes, or the maximum number of what is counted. */
  limit: number
  /** Bytes that were read of the exchange. */
  readBytes: number
}

/** An exchange in progress. */
export interface Exchange extends ConnectionExchange {
  /** The answer has no body, since the request is a HEAD request. */
  headOnly: boolean
  resolve: (answer: ExchangeAnswer) => void
  reject: (error: ExchangeError) => void
  /** Set once the head has arrived. */
  body?: AnswerBody
  /** The answer being received belongs to another request and is skipped. */
  skipping: boolean
  reusable: boolean
  /** Bytes received since the request was sent. */
  readBytes: number
  bodyBytes: number
}
