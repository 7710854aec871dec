import { type Member } from '@reelspan/core.messages'
import { MemberHost } from './memberHost.js'

/** Commands from the measuring process to a member host. Each is answered with a message. */
export type HostCommand =
  | { type: 'start', ports: number[], ownFrom: number, ownCount: number }
  | { type: 'begin', members: Member[] }
  | { type: 'usage' }
  | { type: 'change' }
  | { type: 'lastHeard' }

/** Runs a member host until its parent process disconnects. */
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
      case 'begin': return host?.startProbers(command.members)
      case 'usage': return host?.usage()
      case 'change': return host?.change()
      case 'lastHeard': return host?.lastAdoptedAtMs()
    }
  }
}
