import { Notifier } from '@reelspan/core.env'
import { Collection, type Member, MemberHealth, MessageType } from '@reelspan/core.messages'
import { Prober } from '@reelspan/membership.prober'
import { MembershipView } from '@reelspan/membership.view'
import { WsPeerLink } from '@reelspan/net.peer-link'
import { SystemClock, SystemRandom } from '@reelspan/net.system-env'
import { FaultProxy, BlackholeDirection } from '@reelspan/utils.soak'
import { freeAddress } from '@reelspan/utils.stand-ins'
import test, { type ExecutionContext } from 'ava'

const PROBE_PERIOD_MS = 700
/** Longer than in production, so that a slow machine is not mistaken for an unresponsive peer; an unresponsive connection is detected well within it. */
const PROBE_TIMEOUT_MS = 2000
const ENOUGH_HEARTBEATS = 4

/** Starts a box that others reach through a proxy. */
async function startBox (t: ExecutionContext, name: string, listedAddresses: () => string[]) {
  const clock = new SystemClock()
  const random = new SystemRandom()
  const listenAddress = await freeAddress()
  const proxy = new FaultProxy(() => listenAddress)
  await proxy.start()
  const link = new WsPeerLink({ clock, listenAddress, maxMessageBytes: 100_000, idleCloseMs: 30_000 })
  const self: Member = { name, availabilityZone: 'zone', peerAddress: proxy.address, callerAddress: '', incarnation: random.hex(16), version: 0, health: MemberHealth.Alive, leaving: false }
  const view = new MembershipView({ self, goneRetentionMs: 600_000 })
  const prober = new Prober({
    platformAvailability: () => undefined,
    onPlatformAvailability: () => {},
    clock,
    random,
    link,
    view,
    listedAddresses,
    revisions: () => ({ [Collection.Declarations]: 1, [Collection.Fleet]: 1 }),
    inFlight: () => 0,
    onPeerRevisions: () => {},
    probePeriodMs: PROBE_PERIOD_MS,
    probeTimeoutMs: PROBE_TIMEOUT_MS,
    watchCount: 4,
    silentGoneMs: 600_000,
  })
  const heartbeats = { count: 0, more: new Notifier() }
  link.serve({
    onCall: async (message) => {
      if (message.type === MessageType.Heartbeat) {
        heartbeats.count++
        heartbeats.more.notify()
      }
      return await prober.answer(message) ?? { type: MessageType.Done }
    },
    onStream: async function * () {},
  })
  await link.listen()
  t.teardown(async () => {
    await prober.stop()
    await link.close()
    proxy.stop()
  })
  return { proxy, view, prober, heartbeats }
}

for (const silenceKind of Object.values(BlackholeDirection)) {
  test(`a box whose connection to a peer becomes unresponsive (${silenceKind}) does not suspect the peer`, async (t) => {
    const addresses: string[] = []
    const a = await startBox(t, 'a', () => addresses)
    const b = await startBox(t, 'b', () => addresses)
    addresses.push(a.proxy.address, b.proxy.address)
    await a.prober.join([b.proxy.address])
    const suspectedStates: string[] = []
    a.view.onChange(({ name, health }) => {
      if (name === 'b' && health !== MemberHealth.Alive) suspectedStates.push(health)
    })
    a.prober.start()
    b.proxy.blackholeOpenConnections(silenceKind)
    const enough = b.heartbeats.count + ENOUGH_HEARTBEATS
    while (b.heartbeats.count < enough) await b.heartbeats.more.wait()
    t.deepEqual(suspectedStates, [])
  })
}
