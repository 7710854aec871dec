/** A request to an upstream, as it goes over the wire. */
export interface ExchangeRequest {
  method: string
  /** Path and query. */
  target: string
  /** Names and values in turn. Host is among them; length and connection headers are added. */
  headers: readonly string[]
  body: Uint8Array
}

/** Status and headers of an answer. */
export interface AnswerHead {
  status: number
  /** Names and values in turn, as received. */
  headers: readonly string[]
}

/** An answer whose head has arrived. */
export interface ExchangeAnswer extends AnswerHead {
  /** Ends when the answer is whole, and throws `ExchangeError` when it broke off. */
  body: AsyncIterable<Uint8Array>
}
