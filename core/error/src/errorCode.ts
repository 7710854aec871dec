/** Stable codes of everything that reelspan refuses or fails at. */
export enum ErrorCode {
  BadRequest = 'ERR_REELSPAN_BAD_REQUEST',
  BodyTooLarge = 'ERR_REELSPAN_BODY_TOO_LARGE',
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
  /** The request ended the upstreams that ran it, one after the other. */
  RequestQuarantined = 'ERR_REELSPAN_REQUEST_QUARANTINED',
  RecordsFull = 'ERR_REELSPAN_RECORDS_FULL',
  NoUpstream = 'ERR_REELSPAN_NO_UPSTREAM',
  /** Each upstream that could take the request has got as many as it takes for now. */
  UpstreamLimit = 'ERR_REELSPAN_UPSTREAM_LIMIT',
  /** Each upstream that could take the request asked this box to wait. */
  UpstreamBackoff = 'ERR_REELSPAN_UPSTREAM_BACKOFF',
  UpstreamFailed = 'ERR_REELSPAN_UPSTREAM_FAILED',
  DeadlinePassed = 'ERR_REELSPAN_DEADLINE_PASSED',
  Cancelled = 'ERR_REELSPAN_CANCELLED',
  PeerUnreachable = 'ERR_REELSPAN_PEER_UNREACHABLE',
  PeerProtocol = 'ERR_REELSPAN_PEER_PROTOCOL',
  PlatformUnavailable = 'ERR_REELSPAN_PLATFORM_UNAVAILABLE',
  BadSettings = 'ERR_REELSPAN_BAD_SETTINGS',
  Unauthorized = 'ERR_REELSPAN_UNAUTHORIZED',
  /** A request needs a client account's key, and brought none that any account has. */
  AccountKey = 'ERR_REELSPAN_ACCOUNT_KEY',
  /** This box cannot prove that it would know of a key that was taken away. */
  AccountsUnproved = 'ERR_REELSPAN_ACCOUNTS_UNPROVED',
  /** The client account has asked more than it may. */
  AccountLimit = 'ERR_REELSPAN_ACCOUNT_LIMIT',
  Internal = 'ERR_REELSPAN_INTERNAL',
}
