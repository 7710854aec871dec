/** Limits beyond which a server closes connections of its clients. */
export enum ClientLimit {
  /** Requests in progress on a connection, besides its first one. */
  RequestsAhead = 'requestsAhead',
  /** Bytes of heads that are not complete. */
  IncompleteHeads = 'incompleteHeads',
  /** The connection had waited longest for a request when others were used up. */
  Waiting = 'waiting',
  /** Connections to the port for other boxes whose handshake is not complete. */
  Handshakes = 'handshakes',
  /** All connections of the server. The new one is closed. */
  Connections = 'connections',
}

/** Called when a connection is closed because of a limit, with the number of its requests in progress. */
export type ClientLimitListener = (limit: ClientLimit, requests: number) => void
