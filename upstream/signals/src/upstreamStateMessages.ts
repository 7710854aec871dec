import { type UpstreamStateUpdate, MessageType, type PeerMessage } from '@reelspan/core.messages'
import { UpdateMessages } from '@reelspan/membership.prober'

/** Messages that replicate the advertised states of upstreams between boxes. */
export class UpstreamStateMessages extends UpdateMessages<UpstreamStateUpdate> {
  announce (updates: readonly UpstreamStateUpdate[]): PeerMessage {
    return { type: MessageType.UpstreamStatesTell, updates: [...updates] }
  }

  /** Sends the known states along, since either side may have newer ones. */
  pull (known: readonly UpstreamStateUpdate[]): PeerMessage {
    return { type: MessageType.UpstreamStatesPull, updates: [...known] }
  }

  updatesOf (answer: PeerMessage): readonly UpstreamStateUpdate[] | undefined {
    return answer.type === MessageType.UpstreamStatesContent ? answer.updates : undefined
  }
}
