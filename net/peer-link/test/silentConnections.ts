import { MessageType, type PeerHandler, PeerLinkError, type PeerMessage } from '@reelspan/core.messages'
import { type SleepOptions } from '@reelspan/core.env'
import { WsPeerLink } from '@reelspan/net.peer-link'
import { SystemClock } from '@reelspan/net.system-env'
import { FaultProxy, PathFault, Silence } from '@reelspan/utils.soak'
import { freeAddress } from '@reelspan/utils.stand-ins'
import test, { type ExecutionContext } from 'ava'

const DONE: PeerMessage = { type: MessageType.Done }
const QUESTION: PeerMessage = { type: MessageType.Cancel, key: 'k' }
/** Far beyond the bound that is tested. */
const LONG = { timeoutMs: 60_000 }
/** News is to be everywhere within two seconds; the link's own bound is 0.25 s, and the machine may be busy. */
const WELL_WITHIN_MS = 2000

/** A peer behind a proxy, and a link that has an established connection to it. */
async function connectThrough (t: ExecutionContext, handler: Partial<PeerHandler> = {}, clock = new SystemClock()) {
  const arrived: PeerMessage[] = []
  const onCall = async (message: PeerMessage) => {
    arrived.push(message)
    return handler.onCall?.(message) ?? DONE
  }
  const createLink = async (): Promise<{ link: WsPeerLink, address: string }> => {
    const address = await freeAddress()
    const link = new WsPeerLink({ clock, listenAddress: address, maxMessageBytes: 10_000, idleCloseMs: 60_000 })
    link.serve({ onStream: async function * () {}, ...handler, onCall })
    await link.listen()
    t.teardown(() => link.close())
    return { link, address }
  }
  const peer = await createLink()
  const proxy = new FaultProxy(() => peer.address)
  await proxy.start()
  t.teardown(() => proxy.stop())
  const { link } = await createLink()
  await link.call(proxy.address, DONE, LONG)
  return { link, proxy, peer: peer.link, arrived }
}

/** Waits a hundredth of what it is told to. */
class HastyClock extends SystemClock {
  override sleep (durationMs: number, opts?: SleepOptions): Promise<void> {
    return super.sleep(durationMs / 100, opts)
  }
}

function elapsedSince (startMs: number): number {
  return performance.now() - startMs
}

for (const way of Object.values(Silence)) {
  test(`a call on a connection that went silent (${way}) fails soon, and the next one is answered`, async (t) => {
    const { link, proxy, arrived } = await connectThrough(t)
    proxy.silenceOpen(way)
    const startMs = performance.now()
    const error = await t.throwsAsync(link.call(proxy.address, QUESTION, LONG), { instanceOf: PeerLinkError })
    t.true((error as PeerLinkError).mayHaveArrived)
    t.deepEqual(await link.call(proxy.address, DONE, LONG), DONE)
    t.true(elapsedSince(startMs) < WELL_WITHIN_MS)
    // Nothing was sent twice.
    t.is(arrived.filter(({ type }) => type === MessageType.Cancel).length, way === Silence.ToClient ? 1 : 0)
  })

  test(`a stream on a connection that went silent (${way}) breaks off soon`, async (t) => {
    const { link, proxy } = await connectThrough(t, { onStream: async function * () { yield DONE; await new Promise(() => {}) } })
    const parts = link.stream(proxy.address, QUESTION, LONG)[Symbol.asyncIterator]()
    await parts.next()
    proxy.silenceOpen(way)
    const startMs = performance.now()
    const error = await t.throwsAsync(Promise.resolve(parts.next()), { instanceOf: PeerLinkError })
    t.true((error as PeerLinkError).mayHaveArrived)
    t.true(elapsedSince(startMs) < WELL_WITHIN_MS)
  })
}

test('a call that waits long for its answer is not cut off while the peer lives', async (t) => {
  let answer: (message: PeerMessage) => void = () => {}
  const { link, proxy } = await connectThrough(t, { onCall: async ({ type }) => type === MessageType.Cancel ? new Promise((resolve) => { answer = resolve }) : DONE })
  const waiting = link.call(proxy.address, QUESTION, LONG)
  // Meanwhile some signs of life are asked for.
  await new SystemClock().sleep(600)
  answer(DONE)
  t.deepEqual(await waiting, DONE)
  t.is(link.traffic.connectionsOpened, 1)
})

test('a peer that says nothing for a while, on new connections either, is waited for', async (t) => {
  const { link, proxy } = await connectThrough(t)
  proxy.fault = PathFault.Silent
  const waiting = link.call(proxy.address, QUESTION, LONG)
  await new SystemClock().sleep(1000)
  proxy.fault = PathFault.None
  t.deepEqual(await waiting, DONE)
})

test('a repeatable call is sent once more on a new connection', async (t) => {
  const { link, proxy, arrived } = await connectThrough(t)
  proxy.silenceOpen(Silence.ToClient)
  const startMs = performance.now()
  t.deepEqual(await link.call(proxy.address, QUESTION, { ...LONG, repeatable: true }), DONE)
  t.true(elapsedSince(startMs) < WELL_WITHIN_MS)
  t.is(arrived.filter(({ type }) => type === MessageType.Cancel).length, 2)
})

test('a call that need not wait for a peer without any sign of life ends soon', async (t) => {
  const { link, proxy } = await connectThrough(t)
  proxy.fault = PathFault.Silent
  const startMs = performance.now()
  const onOld = await t.throwsAsync(link.call(proxy.address, QUESTION, { ...LONG, endIfSilent: true }), { instanceOf: PeerLinkError })
  t.true((onOld as PeerLinkError).mayHaveArrived)
  t.false((onOld as PeerLinkError).silent)
  t.true(elapsedSince(startMs) < WELL_WITHIN_MS)
})

test('the box is told that a connection of its went silent, and when it was last heard of', async (t) => {
  const peer = await connectThrough(t)
  const told: { address: string, sinceMs: number }[] = []
  const link = new WsPeerLink({
    clock: new SystemClock(),
    listenAddress: await freeAddress(),
    maxMessageBytes: 10_000,
    idleCloseMs: 60_000,
    onSilentConnection: (address, sinceMs) => told.push({ address, sinceMs }),
  })
  t.teardown(() => link.close())
  await link.call(peer.proxy.address, DONE, LONG)
  const startMs = performance.now()
  peer.proxy.silenceOpen(Silence.BothWays)
  await t.throwsAsync(link.call(peer.proxy.address, QUESTION, LONG))
  t.like(told, [{ address: peer.proxy.address }])
  t.true(told[0].sinceMs >= startMs && told[0].sinceMs < performance.now())
})

test('a peer that went silent while it was streamed to is noticed', async (t) => {
  let stopped: () => void = () => {}
  const noticed = new Promise<void>((resolve) => { stopped = resolve })
  const { link, proxy } = await connectThrough(t, {
    onStream: async function * (_, signal) {
      signal.addEventListener('abort', stopped)
      yield DONE
      await noticed
    },
  }, new HastyClock())
  const parts = link.stream(proxy.address, QUESTION, { timeoutMs: 6_000_000 })[Symbol.asyncIterator]()
  await parts.next()
  proxy.silenceOpen(Silence.BothWays)
  await t.notThrowsAsync(noticed)
  await parts.return?.()
})
