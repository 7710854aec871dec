import { MessageType, type PeerMessage } from '@reelspan/core.messages'
import { type LimitedCost, StandInMessages } from '@reelspan/membership.limits'

/** Messages between boxes about the limits of client accounts. */
export class AccountMessages extends StandInMessages {
  acquire ({ name: account, cost }: LimitedCost): PeerMessage {
    return { type: MessageType.AccountTake, account, cost }
  }

  waitMsIn (answer: PeerMessage): number | undefined {
    return answer.type === MessageType.AccountTaken ? answer.waitMs : undefined
  }

  release ({ name: account, cost }: LimitedCost): PeerMessage {
    return { type: MessageType.AccountGiveBack, account, cost }
  }

  acquireFromStandIn ({ name: account, cost }: LimitedCost): PeerMessage {
    return { type: MessageType.AccountTake, account, cost, standIn: true }
  }

  releaseToStandIn ({ name: account, cost }: LimitedCost): PeerMessage {
    return { type: MessageType.AccountGiveBack, account, cost, standIn: true }
  }

  shareIn (answer: PeerMessage): number | undefined {
    return answer.type === MessageType.AccountTaken ? answer.share : undefined
  }
}
