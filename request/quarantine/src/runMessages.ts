import { MessageType, type PeerMessage, type RunEvent } from '@reelspan/core.messages'
import { UpdateMessages } from '@reelspan/membership.prober'

/** Messages by which boxes exchange run events. */
export class RunMessages extends UpdateMessages<RunEvent> {
  announce (events: readonly RunEvent[]): PeerMessage {
    return { type: MessageType.RunsTell, events: [...events] }
  }

  pull (): PeerMessage {
    return { type: MessageType.RunsPull }
  }

  updatesOf (answer: PeerMessage): readonly RunEvent[] | undefined {
    return answer.type === MessageType.RunsContent ? answer.events : undefined
  }
}
