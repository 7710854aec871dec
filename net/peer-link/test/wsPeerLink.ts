import { raceTimeout, TimedOut } from '@reelspan/core.env'
import { ErrorCode, ReelspanError, Verdict } from '@reelspan/core.error'
import { MessageType, type MessageOf, type PeerHandler, type PeerMessage } from '@reelspan/core.messages'
import { WsPeerLink } from '@reelspan/net.peer-link'
import { splitAddress, SystemClock } from '@reelspan/net.system-env'
import { freeAddress } from '@reelspan/utils.stand-ins'
import test, { type ExecutionContext } from 'ava'
import { once } from 'node:events'
import { type AddressInfo, connect } from 'node:net'
import { isDeepStrictEqual } from 'node:util'
import { Packr } from 'msgpackr'
import { WebSocket, WebSocketServer } from 'ws'

const DONE: PeerMessage = { type: MessageType.Done }
const REQUEST: PeerMessage = { type: MessageType.Cancel, key: 'k' }
const CALL_OPTIONS = { timeoutMs: 2000 }

const MAX_MESSAGE_BYTES = 10_000
/** Large enough for a configuration of 1,600 routes. */
const LARGE_MESSAGES = { maxMessageBytes: 1_000_000 }
const HUGE_MESSAGES = { maxMessageBytes: 100_000_000 }

async function createLink (t: ExecutionContext, handler?: Partial<PeerHandler>, { maxMessageBytes = MAX_MESSAGE_BYTES } = {}) {
  const address = await freeAddress()
  const link = new WsPeerLink({ clock: new SystemClock(), listenAddress: address, maxMessageBytes, idleCloseMs: 60_000 })
  link.serve({ onCall: async () => DONE, onStream: async function * () {}, ...handler })
  await link.listen()
  t.teardown(() => link.close())
  return { link, address }
}

test('a call is answered', async (t) => {
  const { address } = await createLink(t)
  const { link } = await createLink(t)
  t.deepEqual(await link.call(address, REQUEST, CALL_OPTIONS), DONE)
})

test('an error of the peer keeps its code and message', async (t) => {
  const { address } = await createLink(t, {
    onCall: async () => { throw new ReelspanError(ErrorCode.OwnerGone, 'gone', { verdict: Verdict.MayHaveRun }) },
  })
  const { link } = await createLink(t)
  await t.throwsAsync(link.call(address, REQUEST, CALL_OPTIONS), { code: ErrorCode.OwnerGone, message: 'gone' })
})

test('a stream arrives in order and ends', async (t) => {
  const { address } = await createLink(t, {
    onStream: async function * () {
      yield REQUEST
      yield DONE
    },
  })
  const { link } = await createLink(t)
  const parts = []
  for await (const part of link.stream(address, REQUEST, CALL_OPTIONS)) parts.push(part.type)
  t.deepEqual(parts, [MessageType.Cancel, MessageType.Done])
})

test('a stream is aborted at the sender when its reader stops', async (t) => {
  const stopped = withResolvers()
  const { address } = await createLink(t, {
    onStream: async function * (_, signal) {
      yield DONE
      await new Promise<void>((resolve) => signal.addEventListener('abort', () => resolve()))
      stopped.resolve()
    },
  })
  const { link } = await createLink(t)
  const parts = link.stream(address, REQUEST, CALL_OPTIONS)[Symbol.asyncIterator]()
  t.like(await parts.next(), { value: DONE })
  await parts.return?.()
  await t.notThrowsAsync(stopped.promise)
})

test('a call to an address where nothing listens fails and has not run', async (t) => {
  const { link } = await createLink(t)
  await t.throwsAsync(link.call(await freeAddress(), REQUEST, CALL_OPTIONS), { code: ErrorCode.PeerUnreachable, message: /cannot be reached/ })
  const error = await link.call(await freeAddress(), REQUEST, CALL_OPTIONS).catch((thrown: ReelspanError) => thrown)
  t.like(error, { mayHaveArrived: false, verdict: Verdict.NotRun })
})

test('a call whose peer closes after it received the message may have run', async (t) => {
  const other = await createLink(t, { onCall: async () => { await other.link.close(); return DONE } })
  const { link } = await createLink(t)
  const error = await link.call(other.address, REQUEST, CALL_OPTIONS).catch((thrown: ReelspanError) => thrown)
  t.like(error, { mayHaveArrived: true, verdict: Verdict.MayHaveRun })
})

test('a call that is not answered in time fails, and the message may have arrived', async (t) => {
  let calls = 0
  const { address } = await createLink(t, { onCall: async () => calls++ === 0 ? DONE : new Promise(() => {}) })
  const { link } = await createLink(t)
  await link.call(address, REQUEST, CALL_OPTIONS)
  const error = await link.call(address, REQUEST, { timeoutMs: 50 }).catch((thrown: ReelspanError) => thrown)
  t.like(error, { mayHaveArrived: true })
})

/** Sends raw bytes to a link and returns whether the link closed the connection or answered. */
async function sendRaw (address: string, bytes: Buffer): Promise<'closed' | 'answered'> {
  const socket = new WebSocket(`ws://${address}`)
  await new Promise((resolve) => socket.once('open', resolve))
  socket.send(bytes)
  const outcome = await new Promise<'closed' | 'answered'>((resolve) => {
    socket.once('close', () => resolve('closed'))
    socket.once('message', () => resolve('answered'))
  })
  socket.terminate()
  return outcome
}

test('a connection is closed after an invalid message', async (t) => {
  const { address } = await createLink(t)
  const packr = new Packr()
  t.is(await sendRaw(address, Buffer.from('nonsense')), 'closed')
  t.is(await sendRaw(address, packr.pack([1, 1, 0, { type: 'noSuchType' }])), 'closed')
  t.is(await sendRaw(address, packr.pack([1, 1, 0, { type: MessageType.Cancel, key: 7 }])), 'closed')
  t.is(await sendRaw(address, packr.pack([0, 1, 0, REQUEST])), 'closed')
  t.is(await sendRaw(address, packr.pack([1, 1, 0, { ...REQUEST, key: 'k'.repeat(20_000) }])), 'closed')
})

test('a message of a newer release with unknown fields is accepted', async (t) => {
  const { address } = await createLink(t)
  t.is(await sendRaw(address, new Packr().pack([2, 1, 0, { ...REQUEST, addedLater: true }])), 'answered')
})

/** The time is not tested here: the first message of this size runs code that is not compiled yet. */
const LARGE_CALL_OPTIONS = { timeoutMs: 60_000 }

/** Resources that compress about as well as those of a real deployment. */
function createContent (routes: number): MessageOf<MessageType.ConfigContent> {
  const changes = Array.from({ length: routes }, (_, i) => ({
    kind: 'Route',
    name: `route-${(i * 2_654_435_761 % 2 ** 32).toString(16)}`,
    revision: 7,
    spec: { host: 'scripts.example', pathPrefix: `/${(i * 40_503 % 65_536).toString(16)}/`, targets: [{ pool: 'desk', weight: 1 }], streaming: false, resumable: false, notRepeatable: i % 2 === 0, maxAttempts: 1 + i % 2, deadlineMs: 500 + i },
  }))
  return { type: MessageType.ConfigContent, revision: 7, full: true, changes }
}

test('an answer with a configuration of 1,600 routes is sent compressed', async (t) => {
  const content = createContent(1600)
  const { address } = await createLink(t, { onCall: async () => content }, LARGE_MESSAGES)
  const { link } = await createLink(t, undefined, LARGE_MESSAGES)
  t.true(isDeepStrictEqual(await link.call(address, REQUEST, LARGE_CALL_OPTIONS), content))
  t.true(link.traffic.receivedBytes < 50_000, `${link.traffic.receivedBytes} bytes received`)
})

test('a large request is sent compressed as well', async (t) => {
  const { address } = await createLink(t, undefined, LARGE_MESSAGES)
  const { link } = await createLink(t, undefined, LARGE_MESSAGES)
  t.deepEqual(await link.call(address, createContent(1600), LARGE_CALL_OPTIONS), DONE)
  t.true(link.traffic.sentBytes < 50_000, `${link.traffic.sentBytes} bytes sent`)
})

test('a connection is not considered unresponsive while a large request is being compressed', async (t) => {
  const { address } = await createLink(t, undefined, HUGE_MESSAGES)
  const { link } = await createLink(t, undefined, HUGE_MESSAGES)
  t.deepEqual(await link.call(address, createContent(120_000), { timeoutMs: 60_000 }), DONE)
})

test('a message below the threshold is sent uncompressed', async (t) => {
  const { address } = await createLink(t)
  const { link } = await createLink(t)
  await link.call(address, { ...REQUEST, key: 'k'.repeat(5000) }, CALL_OPTIONS)
  t.true(link.traffic.sentBytes > 5000, `${link.traffic.sentBytes} bytes sent`)
})

test('a compressed message of a stream keeps its position among uncompressed ones', async (t) => {
  const parts = [createContent(1600), DONE, createContent(800), REQUEST]
  const { address } = await createLink(t, { onStream: async function * () { yield * parts } }, LARGE_MESSAGES)
  const { link } = await createLink(t, undefined, LARGE_MESSAGES)
  const received = []
  for await (const part of link.stream(address, REQUEST, LARGE_CALL_OPTIONS)) received.push(part)
  t.true(isDeepStrictEqual(received, parts))
})

test('a compressed message that exceeds the maximum size once decompressed is refused, and the error on both sides says so', async (t) => {
  const huge = { ...REQUEST, key: 'k'.repeat(500_000) }
  const narrow = await createLink(t)
  const wide = await createLink(t, { onCall: async () => huge }, LARGE_MESSAGES)
  await t.throwsAsync(wide.link.call(narrow.address, huge, LARGE_CALL_OPTIONS), { code: ErrorCode.PeerUnreachable, message: /larger than the peer accepts/ })
  await t.throwsAsync(narrow.link.call(wide.address, REQUEST, LARGE_CALL_OPTIONS), { code: ErrorCode.PeerUnreachable, message: /larger than 10000 bytes/ })
})

test('large messages are exchanged with a box of a release without compression', async (t) => {
  const content = createContent(1600)
  const { link, address } = await createLink(t, { onCall: async () => content }, LARGE_MESSAGES)
  const packr = new Packr({ useRecords: false })
  const socket = new WebSocket(`ws://${address}`, { perMessageDeflate: false })
  await new Promise((resolve) => socket.once('open', resolve))
  socket.send(packr.pack([1, 1, 0, REQUEST]))
  const answer = await new Promise<Buffer>((resolve) => socket.once('message', resolve))
  socket.terminate()
  t.true(isDeepStrictEqual(packr.unpack(answer).at(3), content))

  const uncompressed = new WebSocketServer({ host: '127.0.0.1', port: 0, perMessageDeflate: false })
  t.teardown(() => uncompressed.close())
  await new Promise((resolve) => uncompressed.once('listening', resolve))
  uncompressed.on('connection', (socket) => socket.on('message', (data) => {
    const [, id,, question] = packr.unpack(data as Buffer)
    socket.send(packr.pack([1, id, 2, question]))
    socket.send(packr.pack([1, id, 3]))
  }))
  const { port } = uncompressed.address() as AddressInfo
  t.true(isDeepStrictEqual(await link.call(`127.0.0.1:${port}`, content, LARGE_CALL_OPTIONS), content))
})

/** Creates a link that may have this many connections in each direction. */
async function createLimitedLink (t: ExecutionContext, perDirection: number, onCall: PeerHandler['onCall'] = async () => DONE) {
  const address = await freeAddress()
  const link = new WsPeerLink({ clock: new SystemClock(), listenAddress: address, maxMessageBytes: 10_000, idleCloseMs: 60_000, maxConnections: 2 * perDirection })
  link.serve({ onCall, onStream: async function * () {} })
  await link.listen()
  t.teardown(() => link.close())
  return { link, address }
}

test('at the limit the least recently used idle connection is closed, never one in use', async (t) => {
  let finish: (message: PeerMessage) => void = () => {}
  const busy = await createLink(t, { onCall: async () => new Promise((resolve) => { finish = resolve }) })
  const others = await Promise.all([createLink(t), createLink(t), createLink(t)])
  const { link } = await createLimitedLink(t, 2)
  const waiting = link.call(busy.address, REQUEST, CALL_OPTIONS)
  for (const { address } of others) t.deepEqual(await link.call(address, REQUEST, CALL_OPTIONS), DONE)
  t.is(link.traffic.connectionsOpened, 4)
  finish(DONE)
  t.deepEqual(await waiting, DONE)
})

test('a call fails without having been sent if all connections are in use', async (t) => {
  const busy = await createLink(t, { onCall: async () => new Promise(() => {}) })
  const { address } = await createLink(t)
  const { link } = await createLimitedLink(t, 1)
  const stop = new AbortController()
  const waiting = t.throwsAsync(link.call(busy.address, REQUEST, { ...CALL_OPTIONS, signal: stop.signal }))
  const error = await link.call(address, REQUEST, CALL_OPTIONS).catch((thrown: ReelspanError) => thrown)
  t.like(error, { mayHaveArrived: false, verdict: Verdict.NotRun })
  stop.abort()
  await waiting
})

test('at the limit of incoming connections the one with the oldest last message is closed, and its peer can reconnect', async (t) => {
  const { address } = await createLimitedLink(t, 2)
  const peers = await Promise.all([createLink(t), createLink(t), createLink(t)])
  for (const { link } of [...peers, ...peers]) {
    // The message is lost if it was sent on a connection that is just being closed.
    const answer = await link.call(address, REQUEST, CALL_OPTIONS).catch(() => link.call(address, REQUEST, CALL_OPTIONS))
    t.deepEqual(answer, DONE)
  }
})

function withResolvers () {
  let resolve: () => void = () => {}
  const promise = new Promise<void>((_resolve) => { resolve = _resolve })
  return { promise, resolve }
}

test('a link closes promptly even if a peer has connected without sending anything', async (t) => {
  const { link, address } = await createLink(t)
  const idlePeer = connect(splitAddress(address))
  t.teardown(() => { idlePeer.destroy() })
  await once(idlePeer, 'connect')
  const outcome = await raceTimeout(new SystemClock(), link.close(), 2000)
  t.not(outcome, TimedOut)
})
