import { type LimitSaying, MessageType, type PeerMessage } from '@reelspan/core.messages'
import { type LimitedCost, LimitMessages } from '@reelspan/membership.limits'

/** How boxes speak of permits for upstreams that name a limit. */
export class PermitMessages extends LimitMessages {
  readonly #sayingOf: (upstream: string) => LimitSaying | undefined

  /** @param sayingOf what is known here, so that a home that has not heard counts from the first question on */
  constructor (sayingOf: (upstream: string) => LimitSaying | undefined) {
    super()
    this.#sayingOf = sayingOf
  }

  take ({ name: upstream, cost }: LimitedCost): PeerMessage {
    return { type: MessageType.UpstreamTake, upstream, cost, said: this.#sayingOf(upstream) }
  }

  waitMsIn (answer: PeerMessage): number | undefined {
    return answer.type === MessageType.UpstreamTaken ? answer.waitMs : undefined
  }

  giveBack ({ name: upstream, cost }: LimitedCost): PeerMessage {
    return { type: MessageType.UpstreamGiveBack, upstream, cost }
  }
}
