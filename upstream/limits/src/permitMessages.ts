import { type UpstreamStateUpdate, MessageType, type PeerMessage } from '@reelspan/core.messages'
import { type LimitedCost, LimitMessages } from '@reelspan/membership.limits'

/** How boxes speak of permits for upstreams that name a limit. */
export class PermitMessages extends LimitMessages {
  readonly #updateOf: (upstream: string) => UpstreamStateUpdate | undefined

  /** @param updateOf what is known here, so that a home that has not heard counts from the first question on */
  constructor (updateOf: (upstream: string) => UpstreamStateUpdate | undefined) {
    super()
    this.#updateOf = updateOf
  }

  take ({ name: upstream, cost }: LimitedCost): PeerMessage {
    return { type: MessageType.UpstreamTake, upstream, cost, said: this.#updateOf(upstream) }
  }

  waitMsIn (answer: PeerMessage): number | undefined {
    return answer.type === MessageType.UpstreamTaken ? answer.waitMs : undefined
  }

  giveBack ({ name: upstream, cost }: LimitedCost): PeerMessage {
    return { type: MessageType.UpstreamGiveBack, upstream, cost }
  }
}
