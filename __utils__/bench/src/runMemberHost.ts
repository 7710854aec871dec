import { type Member } from '@reelspan/core.messages'
import { MemberHost } from './memberHost.js'

/** What the measuring process asks of a process of members. Each is answered with a message. */
export type HostCommand =
  | { type: 'start', ports: number[], ownFrom: number, ownCount: number }
  | { type: 'begin', members: Member[] }
  | { type: 'usage' }
  | { type: 'change' }
  | { type: 'lastHeard' }

/** Runs a process of members until its parent goes. */
export function runMemberHost (): void {
  let host: MemberHost | undefined
  process.once('disconnect', () => process.exit(0))
  process.on('message', (message) => {
    void answer(message as HostCommand).then((result) => process.send?.({ result }))
  })

  async function answer (command: HostCommand): Promise<unknown> {
    switch (command.type) {
      case 'start':
        host = await MemberHost.start(command.ports, command.ownFrom, command.ownCount)
        return host.members()
      case 'begin': return host?.begin(command.members)
      case 'usage': return host?.usage()
      case 'change': return host?.change()
      case 'lastHeard': return host?.lastHeardAtMs()
    }
  }
}
