/** A rate limit that a response advertises. It applies to all boxes together. */
export interface AdvertisedRateLimit {
  /** Requests a second. Undefined when the advertised value cannot be parsed. */
  perSecond?: number
  /** The advertised value as it was received. */
  text: string
}

/** Whether a response advertises that its upstream is draining. */
export interface AdvertisedDraining {
  /** Undefined when the advertised value cannot be parsed. */
  draining?: boolean
  /** The advertised value as it was received. */
  text: string
}

/** Time for which a refusal asks the sender to send no more requests. */
export interface AdvertisedBackoff {
  /** Undefined when the advertised value cannot be parsed. */
  durationMs?: number
  /** The advertised value as it was received. */
  text: string
}

/** Signals about an upstream in the head of a response, whatever its status. */
export interface UpstreamSignals {
  succeeded: boolean
  /** Undefined when no limit is advertised. */
  rateLimit?: AdvertisedRateLimit
  /** Undefined when the response does not mention it. */
  draining?: AdvertisedDraining
  /** Undefined if the response is not a refusal or asks for no backoff. */
  backoff?: AdvertisedBackoff
  /** Names of unknown headers in the upstream's namespace. */
  unknownHeaders?: readonly string[]
}
