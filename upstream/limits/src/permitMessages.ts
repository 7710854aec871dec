import { type UpstreamStateUpdate, MessageType, type PeerMessage } from '@reelspan/core.messages'
import { type LimitedCost, LimitMessages } from '@reelspan/membership.limits'

/** Messages between boxes about permits for upstreams that advertise a limit. */
export class PermitMessages extends LimitMessages {
  readonly #updateOf: (upstream: string) => UpstreamStateUpdate | undefined

  /** @param updateOf the known state of an upstream, sent along so that a coordinator that has not received it applies the limit from the first request */
  constructor (updateOf: (upstream: string) => UpstreamStateUpdate | undefined) {
    super()
    this.#updateOf = updateOf
  }

  acquire ({ name: upstream, cost }: LimitedCost): PeerMessage {
    return { type: MessageType.UpstreamTake, upstream, cost, said: this.#updateOf(upstream) }
  }

  waitMsIn (answer: PeerMessage): number | undefined {
    return answer.type === MessageType.UpstreamTaken ? answer.waitMs : undefined
  }

  release ({ name: upstream, cost }: LimitedCost): PeerMessage {
    return { type: MessageType.UpstreamGiveBack, upstream, cost }
  }
}
