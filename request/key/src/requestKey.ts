/** The one box incarnation that may run a request, and when it gave out the key prefix. */
export interface KeyOwner {
  /** `ip:port` for other boxes. */
  peerAddress: string
  incarnation: string
  /** On the owner's own clock. Means nothing elsewhere. */
  issuedAtMs: number
}

/** A key whose prefix came from a lookup. */
export interface OwnedKey {
  text: string
  owner: KeyOwner
}

/** A key of the caller's own making. It names no owner. */
export interface PlainKey {
  text: string
  owner?: undefined
}

export type RequestKey = OwnedKey | PlainKey
