import { type PeerMessage } from '@reelspan/core.messages'
import { type LimitedCost } from './sharedLimiter.js'

/** How boxes speak of limits of one kind. */
export abstract class LimitMessages {
  /** Asks the home to take a cost. */
  abstract take (taken: LimitedCost): PeerMessage

  /** The time until the cost could be taken, 0 when it is; nothing if the message is no such answer. */
  abstract waitMsIn (answer: PeerMessage): number | undefined

  /** Tells the home that what it took was not used. */
  abstract giveBack (taken: LimitedCost): PeerMessage
}
