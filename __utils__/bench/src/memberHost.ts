import { Collection, type Member, MemberHealth, MessageType } from '@reelspan/core.messages'
import { Prober } from '@reelspan/membership.prober'
import { MembershipView } from '@reelspan/membership.view'
import { WsPeerLink } from '@reelspan/net.peer-link'
import { SystemClock, SystemRandom } from '@reelspan/net.system-env'

/** What a process of members has used so far. */
export interface HostUsage {
  cpuMs: number
  bytes: number
  suspected: number
  connections: number
}

interface Node {
  link: WsPeerLink
  view: MembershipView
  prober: Prober
  /** Highest revision heard of. */
  revision: number
  heardAtMs: number
}

const CHANGED_REVISION = 2
const PROBE_PERIOD_MS = 1000
const PROBE_TIMEOUT_MS = 900
const WATCH_COUNT = 4

/** The members of one process, told what to do by the process that measures. */
export class MemberHost {
  readonly #nodes: Node[]

  private constructor (nodes: Node[]) {
    this.#nodes = nodes
  }

  /** Starts members at some of the ports. All of `ports` know each other in the end. */
  static async start (ports: readonly number[], ownFrom: number, ownCount: number): Promise<MemberHost> {
    const nodes = await Promise.all(ports.slice(ownFrom, ownFrom + ownCount).map((port, i) => startNode(ownFrom + i, port, ports)))
    return new MemberHost(nodes)
  }

  members (): Member[] {
    return this.#nodes.map(({ view }) => view.self)
  }

  /** All know each other from the start: joining is not what is measured. */
  begin (members: readonly Member[]): void {
    this.#nodes.forEach(({ view }) => members.forEach((member) => view.merge(member, performance.now())))
    this.#nodes.forEach(({ prober }) => prober.start())
  }

  usage (): HostUsage {
    const { user, system } = process.cpuUsage()
    return {
      cpuMs: (user + system) / 1000,
      bytes: this.#nodes.reduce((sum, { link }) => sum + link.traffic.sentBytes + link.traffic.receivedBytes, 0),
      suspected: this.#nodes.reduce((sum, { view }) => sum + view.all().length - view.live().length, 0),
      connections: this.#nodes.reduce((sum, { link }) => sum + link.openConnections, 0),
    }
  }

  /** One member adopts a new revision. Answers when, on the machine's clock. */
  change (): number {
    hear(this.#nodes[0], CHANGED_REVISION)
    return this.#nodes[0].heardAtMs
  }

  /** When the last member heard of the new revision, or nothing while one has not. */
  lastHeardAtMs (): number | undefined {
    return this.#nodes.some(({ revision }) => revision < CHANGED_REVISION) ? undefined : Math.max(...this.#nodes.map(({ heardAtMs }) => heardAtMs))
  }
}

async function startNode (i: number, port: number, ports: readonly number[]): Promise<Node> {
  const clock = new SystemClock()
  const random = new SystemRandom()
  const peerAddress = `127.0.0.1:${port}`
  const link = new WsPeerLink({ clock, listenAddress: peerAddress, maxMessageBytes: 1_000_000, idleCloseMs: 30_000 })
  const view = new MembershipView({ self: memberAt(i, port, random.hex(16)), goneMemoryMs: 600_000 })
  const node: Partial<Node> & { revision: number } = { link, view, revision: 1, heardAtMs: 0 }
  node.prober = new Prober({
    platformAnswering: () => undefined,
    onPlatformAnswering: () => {},
    clock,
    random,
    link,
    view,
    listedAddresses: () => ports.map((other) => `127.0.0.1:${other}`),
    revisions: () => ({ [Collection.Declarations]: node.revision, [Collection.Fleet]: 1 }),
    inFlight: () => 0,
    onPeerRevisions: (_address, revisions) => hear(node as Node, revisions[Collection.Declarations]),
    probePeriodMs: PROBE_PERIOD_MS,
    probeTimeoutMs: PROBE_TIMEOUT_MS,
    watchCount: WATCH_COUNT,
    silentGoneMs: 600_000,
  })
  const prober = node.prober
  link.serve({
    onCall: async (message) => await prober.answer(message) ?? { type: MessageType.Done },
    onStream: async function * () {},
  })
  await link.listen()
  return node as Node
}

function memberAt (i: number, port: number, incarnation: string): Member {
  return {
    name: `box-${i}`,
    availabilityZone: `zone-${i % 8}`,
    peerAddress: `127.0.0.1:${port}`,
    callerAddress: `127.0.0.1:${port + 1}`,
    incarnation,
    version: 0,
    health: MemberHealth.Alive,
    leaving: false,
  }
}

/** A box that hears of a higher revision adopts it and tells on at once. */
function hear (node: Node, revision: number): void {
  if (revision <= node.revision) return
  node.revision = revision
  node.heardAtMs = performance.timeOrigin + performance.now()
  void node.prober.tellNow()
}
