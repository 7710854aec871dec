import { type UpstreamStateUpdate, MessageType, type PeerMessage } from '@reelspan/core.messages'
import { NewsMessages } from '@reelspan/membership.prober'

/** Messages that replicate advertised states between boxes. */
export class UpstreamStateMessages extends NewsMessages<UpstreamStateUpdate> {
  tell (updates: readonly UpstreamStateUpdate[]): PeerMessage {
    return { type: MessageType.UpstreamStatesTell, updates: [...updates] }
  }

  /** Both sides may know something later than the other. */
  pull (known: readonly UpstreamStateUpdate[]): PeerMessage {
    return { type: MessageType.UpstreamStatesPull, updates: [...known] }
  }

  contentOf (answer: PeerMessage): readonly UpstreamStateUpdate[] | undefined {
    return answer.type === MessageType.UpstreamStatesContent ? answer.updates : undefined
  }
}
