/** A rate limit that a response advertises, for all boxes together. */
export interface AdvertisedRateLimit {
  /** Requests a second. Undefined when the advertised value cannot be parsed. */
  perSecond?: number
  /** The advertised value as it was received. */
  text: string
}

/** What the head of a response advertises about its upstream, whatever its status. */
export interface UpstreamSignals {
  succeeded: boolean
  /** Undefined when no limit is advertised. */
  rateLimit?: AdvertisedRateLimit
}
