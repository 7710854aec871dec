import { MessageType, type PeerHandler, PeerLinkError, type PeerMessage } from '@reelspan/core.messages'
import { type SleepOptions } from '@reelspan/core.env'
import { WsPeerLink } from '@reelspan/net.peer-link'
import { SystemClock } from '@reelspan/net.system-env'
import { FaultProxy, NetworkFault, BlackholeDirection } from '@reelspan/utils.soak'
import { freeAddress } from '@reelspan/utils.stand-ins'
import test, { type ExecutionContext } from 'ava'

const DONE: PeerMessage = { type: MessageType.Done }
const REQUEST: PeerMessage = { type: MessageType.Cancel, key: 'k' }
/** Much longer than the tested bound. */
const LONG_TIMEOUT = { timeoutMs: 60_000 }
/** Updates must reach all boxes within two seconds. The link's own bound is 0.25 s; the rest is margin for a busy machine. */
const MAX_DETECTION_MS = 2000

/** Starts a peer behind a proxy, and a link with an established connection to it. */
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
  await link.call(proxy.address, DONE, LONG_TIMEOUT)
  return { link, proxy, peer: peer.link, arrived }
}

/** Sleeps for a hundredth of the requested time. */
class FastClock extends SystemClock {
  override sleep (durationMs: number, opts?: SleepOptions): Promise<void> {
    return super.sleep(durationMs / 100, opts)
  }
}

function elapsedSince (startMs: number): number {
  return performance.now() - startMs
}

for (const direction of Object.values(BlackholeDirection)) {
  test(`a call on an unresponsive connection (${direction}) fails quickly, and the next call is answered`, async (t) => {
    const { link, proxy, arrived } = await connectThrough(t)
    proxy.blackholeOpenConnections(direction)
    const startMs = performance.now()
    const error = await t.throwsAsync(link.call(proxy.address, REQUEST, LONG_TIMEOUT), { instanceOf: PeerLinkError })
    t.true((error as PeerLinkError).mayHaveArrived)
    t.deepEqual(await link.call(proxy.address, DONE, LONG_TIMEOUT), DONE)
    t.true(elapsedSince(startMs) < MAX_DETECTION_MS)
    // No request was sent twice.
    t.is(arrived.filter(({ type }) => type === MessageType.Cancel).length, direction === BlackholeDirection.ToClient ? 1 : 0)
  })

  test(`a stream on an unresponsive connection (${direction}) fails quickly`, async (t) => {
    const { link, proxy } = await connectThrough(t, { onStream: async function * () { yield DONE; await new Promise(() => {}) } })
    const parts = link.stream(proxy.address, REQUEST, LONG_TIMEOUT)[Symbol.asyncIterator]()
    await parts.next()
    proxy.blackholeOpenConnections(direction)
    const startMs = performance.now()
    const error = await t.throwsAsync(Promise.resolve(parts.next()), { instanceOf: PeerLinkError })
    t.true((error as PeerLinkError).mayHaveArrived)
    t.true(elapsedSince(startMs) < MAX_DETECTION_MS)
  })
}

test('a call with a slow answer does not fail while the peer answers pings', async (t) => {
  let answer: (message: PeerMessage) => void = () => {}
  const { link, proxy } = await connectThrough(t, { onCall: async ({ type }) => type === MessageType.Cancel ? new Promise((resolve) => { answer = resolve }) : DONE })
  const waiting = link.call(proxy.address, REQUEST, LONG_TIMEOUT)
  // The connection is pinged several times meanwhile.
  await new SystemClock().sleep(600)
  answer(DONE)
  t.deepEqual(await waiting, DONE)
  t.is(link.traffic.connectionsOpened, 1)
})

test('a call waits for a peer that is unresponsive on new connections as well', async (t) => {
  const { link, proxy } = await connectThrough(t)
  proxy.fault = NetworkFault.Silent
  const waiting = link.call(proxy.address, REQUEST, LONG_TIMEOUT)
  await new SystemClock().sleep(1000)
  proxy.fault = NetworkFault.None
  t.deepEqual(await waiting, DONE)
})

test('a repeatable call on an unresponsive connection is sent again on a new one', async (t) => {
  const { link, proxy, arrived } = await connectThrough(t)
  proxy.blackholeOpenConnections(BlackholeDirection.ToClient)
  const startMs = performance.now()
  t.deepEqual(await link.call(proxy.address, REQUEST, { ...LONG_TIMEOUT, repeatable: true }), DONE)
  t.true(elapsedSince(startMs) < MAX_DETECTION_MS)
  t.is(arrived.filter(({ type }) => type === MessageType.Cancel).length, 2)
})

test('a call with `failIfUnresponsive` fails quickly if the peer is unresponsive on new connections as well', async (t) => {
  const { link, proxy } = await connectThrough(t)
  proxy.fault = NetworkFault.Silent
  const startMs = performance.now()
  const error = await t.throwsAsync(link.call(proxy.address, REQUEST, { ...LONG_TIMEOUT, failIfUnresponsive: true }), { instanceOf: PeerLinkError })
  t.true((error as PeerLinkError).mayHaveArrived)
  t.false((error as PeerLinkError).silent)
  t.true(elapsedSince(startMs) < MAX_DETECTION_MS)
})

test('a stream that has begun is not cut while its peer is unresponsive and its caller has no other', async (t) => {
  let resume: () => void = () => {}
  const resumed = new Promise<void>((resolve) => { resume = resolve })
  let onAsked: () => void = () => {}
  const asked = new Promise<void>((resolve) => { onAsked = resolve })
  const { link, proxy } = await connectThrough(t, {
    onStream: async function * () {
      yield DONE
      await resumed
      yield DONE
    },
  })
  const failIfUnresponsive = () => {
    onAsked()
    return false
  }
  const parts = link.stream(proxy.address, REQUEST, { ...LONG_TIMEOUT, failIfUnresponsive })[Symbol.asyncIterator]()
  await parts.next()
  proxy.fault = NetworkFault.Silent
  const next = parts.next()
  await Promise.race([asked, next])
  proxy.fault = NetworkFault.None
  resume()
  t.deepEqual(await next, { done: false, value: DONE })
  await parts.return?.()
})

test('an unresponsive connection is reported with the time since which it received nothing', async (t) => {
  const peer = await connectThrough(t)
  const reported: { address: string, sinceMs: number }[] = []
  const link = new WsPeerLink({
    clock: new SystemClock(),
    listenAddress: await freeAddress(),
    maxMessageBytes: 10_000,
    idleCloseMs: 60_000,
    onUnresponsiveConnection: (address, sinceMs) => reported.push({ address, sinceMs }),
  })
  t.teardown(() => link.close())
  await link.call(peer.proxy.address, DONE, LONG_TIMEOUT)
  const startMs = performance.now()
  peer.proxy.blackholeOpenConnections(BlackholeDirection.BothWays)
  await t.throwsAsync(link.call(peer.proxy.address, REQUEST, LONG_TIMEOUT))
  t.like(reported, [{ address: peer.proxy.address }])
  t.true(reported[0].sinceMs >= startMs && reported[0].sinceMs < performance.now())
})

test('a stream to a peer that becomes unresponsive is aborted', async (t) => {
  let onStopped: () => void = () => {}
  const stopDetected = new Promise<void>((resolve) => { onStopped = resolve })
  const { link, proxy } = await connectThrough(t, {
    onStream: async function * (_, signal) {
      signal.addEventListener('abort', onStopped)
      yield DONE
      await stopDetected
    },
  }, new FastClock())
  const parts = link.stream(proxy.address, REQUEST, { timeoutMs: 6_000_000 })[Symbol.asyncIterator]()
  await parts.next()
  proxy.blackholeOpenConnections(BlackholeDirection.BothWays)
  await t.notThrowsAsync(stopDetected)
  await parts.return?.()
})
