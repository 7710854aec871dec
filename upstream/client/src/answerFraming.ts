/** What ends the body of an upstream's answer. */
export enum AnswerFraming {
  Length = 'length',
  Chunked = 'chunked',
  /** The body has neither a length nor chunks, and ends when the upstream closes its connection. */
  Connection = 'connection',
}
