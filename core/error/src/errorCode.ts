/** Stable codes of all refusals and failures of reelspan. */
export enum ErrorCode {
  BadRequest = 'ERR_REELSPAN_BAD_REQUEST',
  BodyTooLarge = 'ERR_REELSPAN_BODY_TOO_LARGE',
  /** The caller did not send its whole request in time. */
  RequestTooSlow = 'ERR_REELSPAN_REQUEST_TOO_SLOW',
  /** The bodies of requests in flight use the whole request budget of the box. */
  BodiesFull = 'ERR_REELSPAN_BODIES_FULL',
  NoRoute = 'ERR_REELSPAN_NO_ROUTE',
  NotReady = 'ERR_REELSPAN_NOT_READY',
  KeyRequired = 'ERR_REELSPAN_KEY_REQUIRED',
  KeyInvalid = 'ERR_REELSPAN_KEY_INVALID',
  KeyExpired = 'ERR_REELSPAN_KEY_EXPIRED',
  KeyReused = 'ERR_REELSPAN_KEY_REUSED',
  OwnerGone = 'ERR_REELSPAN_OWNER_GONE',
  OwnerUnreachable = 'ERR_REELSPAN_OWNER_UNREACHABLE',
  OwnerReplaced = 'ERR_REELSPAN_OWNER_REPLACED',
  Draining = 'ERR_REELSPAN_DRAINING',
  Overloaded = 'ERR_REELSPAN_OVERLOADED',
  /** The request crashed the upstreams that ran it, one after the other. */
  RequestQuarantined = 'ERR_REELSPAN_REQUEST_QUARANTINED',
  RecordsFull = 'ERR_REELSPAN_RECORDS_FULL',
  NoUpstream = 'ERR_REELSPAN_NO_UPSTREAM',
  /** A stream is taken up, and it cannot be found out which software version began it. */
  StreamOriginUnknown = 'ERR_REELSPAN_STREAM_ORIGIN_UNKNOWN',
  /** A stream goes on, and no engine of the software version that began it takes work. */
  StreamVersionGone = 'ERR_REELSPAN_STREAM_VERSION_GONE',
  /** Every upstream that could serve the request is at its advertised limit. */
  UpstreamLimit = 'ERR_REELSPAN_UPSTREAM_LIMIT',
  /** Every upstream that could serve the request asked this box to back off. */
  UpstreamBackoff = 'ERR_REELSPAN_UPSTREAM_BACKOFF',
  UpstreamFailed = 'ERR_REELSPAN_UPSTREAM_FAILED',
  DeadlinePassed = 'ERR_REELSPAN_DEADLINE_PASSED',
  Cancelled = 'ERR_REELSPAN_CANCELLED',
  PeerUnreachable = 'ERR_REELSPAN_PEER_UNREACHABLE',
  PeerProtocol = 'ERR_REELSPAN_PEER_PROTOCOL',
  PlatformUnavailable = 'ERR_REELSPAN_PLATFORM_UNAVAILABLE',
  BadSettings = 'ERR_REELSPAN_BAD_SETTINGS',
  Unauthorized = 'ERR_REELSPAN_UNAUTHORIZED',
  /** The request requires the key of a client account and has none, or an unknown one. */
  AccountKey = 'ERR_REELSPAN_ACCOUNT_KEY',
  /** This box's freshness proof is too old to rule out that the key was revoked. */
  AccountsUnproved = 'ERR_REELSPAN_ACCOUNTS_UNPROVED',
  /** The client account exceeded its limit. */
  AccountLimit = 'ERR_REELSPAN_ACCOUNT_LIMIT',
  Internal = 'ERR_REELSPAN_INTERNAL',
}
