import { type PeerMessage } from '@reelspan/core.messages'
import { type LimitedCost } from './sharedLimiter.js'

/** Builds and reads the peer messages for limits of one kind. */
export abstract class LimitMessages {
  /** Builds the request to the coordinator to acquire a cost. */
  abstract acquire (charge: LimitedCost): PeerMessage

  /** Returns 0 if the cost was acquired, otherwise the time until it can be; undefined if the message is not such an answer. */
  abstract waitMsIn (answer: PeerMessage): number | undefined

  /** Builds the notification to the coordinator that an acquired cost was not used. */
  abstract release (charge: LimitedCost): PeerMessage
}
