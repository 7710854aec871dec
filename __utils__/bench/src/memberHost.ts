import { Collection, type Member, MemberHealth, MessageType } from '@reelspan/core.messages'
import { Prober } from '@reelspan/membership.prober'
import { MembershipView } from '@reelspan/membership.view'
import { WsPeerLink } from '@reelspan/net.peer-link'
import { SystemClock, SystemRandom } from '@reelspan/net.system-env'

/** Usage of a member host so far, and its current suspicions and connections. */
export interface HostUsage {
  cpuMs: number
  bytes: number
  suspected: number
  connections: number
}

interface MemberNode {
  link: WsPeerLink
  view: MembershipView
  prober: Prober
  /** Highest revision received. */
  revision: number
  /** Unix time at which the revision was adopted. */
  adoptedAtMs: number
}

const CHANGED_REVISION = 2
const PROBE_PERIOD_MS = 1000
const PROBE_TIMEOUT_MS = 900
const WATCH_COUNT = 4

/** Runs the members of one process, controlled by the measuring process. */
export class MemberHost {
  readonly #nodes: MemberNode[]

  private constructor (nodes: MemberNode[]) {
    this.#nodes = nodes
  }

  /** Starts members at `ownCount` of the ports, beginning at index `ownFrom`. `ports` lists the ports of all members of the measurement. */
  static async start (ports: readonly number[], ownFrom: number, ownCount: number): Promise<MemberHost> {
    const nodes = await Promise.all(ports.slice(ownFrom, ownFrom + ownCount).map((port, i) => startNode(ownFrom + i, port, ports)))
    return new MemberHost(nodes)
  }

  members (): Member[] {
    return this.#nodes.map(({ view }) => view.self)
  }

  /** Starts probing with all members known from the start, since joining is not measured. */
  startProbers (members: readonly Member[]): void {
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

  /** Makes one member adopt a new revision. Returns the Unix time of the adoption. */
  change (): number {
    adoptRevision(this.#nodes[0], CHANGED_REVISION)
    return this.#nodes[0].adoptedAtMs
  }

  /** Unix time at which the last member adopted the new revision, or undefined while one has not. */
  lastAdoptedAtMs (): number | undefined {
    return this.#nodes.some(({ revision }) => revision < CHANGED_REVISION) ? undefined : Math.max(...this.#nodes.map(({ adoptedAtMs }) => adoptedAtMs))
  }
}

async function startNode (i: number, port: number, ports: readonly number[]): Promise<MemberNode> {
  const clock = new SystemClock()
  const random = new SystemRandom()
  const peerAddress = `127.0.0.1:${port}`
  const link = new WsPeerLink({ clock, listenAddress: peerAddress, maxMessageBytes: 1_000_000, idleCloseMs: 30_000 })
  const view = new MembershipView({ self: createMember(i, port, random.hex(16)), goneRetentionMs: 600_000 })
  const node: Partial<MemberNode> & { revision: number } = { link, view, revision: 1, adoptedAtMs: 0 }
  node.prober = new Prober({
    platformAvailability: () => undefined,
    onPlatformAvailability: () => {},
    clock,
    random,
    link,
    view,
    listedAddresses: () => ports.map((other) => `127.0.0.1:${other}`),
    revisions: () => ({ [Collection.Declarations]: node.revision, [Collection.Fleet]: 1 }),
    inFlight: () => 0,
    onPeerRevisions: (_address, revisions) => adoptRevision(node as MemberNode, revisions[Collection.Declarations]),
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
  return node as MemberNode
}

function createMember (i: number, port: number, incarnation: string): Member {
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

/** Adopts a higher revision and announces it to peers at once, as a box does. */
function adoptRevision (node: MemberNode, revision: number): void {
  if (revision <= node.revision) return
  node.revision = revision
  node.adoptedAtMs = performance.timeOrigin + performance.now()
  void node.prober.sendHeartbeatsNow()
}
