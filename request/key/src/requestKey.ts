/** The box incarnation that may run a request, and the time at which it issued the key prefix. */
export interface KeyOwner {
  /** `ip:port` at which other boxes reach the owner. */
  peerAddress: string
  incarnation: string
  /** Monotonic time of the owner. Not comparable with the clock of any other process. */
  issuedAtMs: number
}

/** A key whose prefix was issued by a lookup. */
export interface OwnedKey {
  text: string
  owner: KeyOwner
}

/** A key that the caller made up. It names no owner. */
export interface PlainKey {
  text: string
  owner?: undefined
}

export type RequestKey = OwnedKey | PlainKey
