import { type LimitSaying, MessageType, type PeerMessage } from '@reelspan/core.messages'
import { NewsMessages } from '@reelspan/membership.prober'

/** How boxes tell each other of limits that upstreams name. */
export class LimitNews extends NewsMessages<LimitSaying> {
  tell (limits: readonly LimitSaying[]): PeerMessage {
    return { type: MessageType.LimitsTell, limits: [...limits] }
  }

  /** Both sides may know something later than the other. */
  pull (known: readonly LimitSaying[]): PeerMessage {
    return { type: MessageType.LimitsPull, limits: [...known] }
  }

  contentOf (answer: PeerMessage): readonly LimitSaying[] | undefined {
    return answer.type === MessageType.LimitsContent ? answer.limits : undefined
  }
}
