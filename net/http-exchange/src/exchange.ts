import { type AnswerFraming, type ConnectionUse } from '@reelspan/upstream.client'

/** A request to an upstream, as it is sent. */
export interface ExchangeRequest {
  method: string
  /** Path and query. */
  target: string
  /** Alternating names and values. Must include Host; the length header is added. */
  headers: readonly string[]
  body: Uint8Array
}

/** What the answers to a request are recognized by. */
export interface RequestIdentity {
  id: string
  /** When the request is sent no more, on the pool's clock. */
  endsAtMs: number
}

/** Status and headers of an answer. */
export interface AnswerHead {
  status: number
  /** Alternating names and values, as received. */
  headers: readonly string[]
}

/** An answer whose head has arrived. */
export interface ExchangeAnswer extends AnswerHead {
  framing: AnswerFraming
  use: ConnectionUse
  /** Ends once the answer is complete. Throws `ExchangeError` if the answer is interrupted. */
  body: AsyncIterable<Uint8Array>
}
