/** A rate limit that a response advertises, for all boxes together. */
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

/** A time for which a refusal asks its sender to send nothing more. */
export interface AdvertisedBackoff {
  /** Undefined when the advertised value cannot be parsed. */
  durationMs?: number
  /** The advertised value as it was received. */
  text: string
}

/** What the head of a response advertises about its upstream, whatever its status. */
export interface UpstreamSignals {
  succeeded: boolean
  /** Undefined when no limit is advertised. */
  rateLimit?: AdvertisedRateLimit
  /** Undefined when the response does not mention it. */
  draining?: AdvertisedDraining
  /** Undefined when the response is no refusal, or asks for no wait. */
  backoff?: AdvertisedBackoff
  /** Names of headers about the upstream that are not understood. */
  unknownHeaders?: readonly string[]
}
