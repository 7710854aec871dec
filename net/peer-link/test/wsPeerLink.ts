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
const QUESTION: PeerMessage = { type: MessageType.Cancel, key: 'k' }
const CALL = { timeoutMs: 2000 }

const MAX_MESSAGE_BYTES = 10_000
/** A configuration of 1,600 routes fits. */
const WIDE = { maxMessageBytes: 1_000_000 }
const VAST = { maxMessageBytes: 100_000_000 }

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
  t.deepEqual(await link.call(address, QUESTION, CALL), DONE)
})

test('an error travels with its code and verdict', async (t) => {
  const { address } = await createLink(t, {
    onCall: async () => { throw new ReelspanError(ErrorCode.OwnerGone, 'gone', { verdict: Verdict.MayHaveRun }) },
  })
  const { link } = await createLink(t)
  await t.throwsAsync(link.call(address, QUESTION, CALL), { code: ErrorCode.OwnerGone, message: 'gone' })
})

test('a stream comes in order and ends', async (t) => {
  const { address } = await createLink(t, {
    onStream: async function * () {
      yield QUESTION
      yield DONE
    },
  })
  const { link } = await createLink(t)
  const parts = []
  for await (const part of link.stream(address, QUESTION, CALL)) parts.push(part.type)
  t.deepEqual(parts, [MessageType.Cancel, MessageType.Done])
})

test('a reader that stops tells the other side', async (t) => {
  const stopped = withResolvers()
  const { address } = await createLink(t, {
    onStream: async function * (_, signal) {
      yield DONE
      await new Promise<void>((resolve) => signal.addEventListener('abort', () => resolve()))
      stopped.resolve()
    },
  })
  const { link } = await createLink(t)
  const parts = link.stream(address, QUESTION, CALL)[Symbol.asyncIterator]()
  t.like(await parts.next(), { value: DONE })
  await parts.return?.()
  await t.notThrowsAsync(stopped.promise)
})

test('a peer that is not there is known not to have got the message', async (t) => {
  const { link } = await createLink(t)
  await t.throwsAsync(link.call(await freeAddress(), QUESTION, CALL), { code: ErrorCode.PeerUnreachable, message: /cannot be reached/ })
  const error = await link.call(await freeAddress(), QUESTION, CALL).catch((thrown: ReelspanError) => thrown)
  t.like(error, { mayHaveArrived: false, verdict: Verdict.NotRun })
})

test('a peer that dies after it got the message may have acted on it', async (t) => {
  const other = await createLink(t, { onCall: async () => { await other.link.close(); return DONE } })
  const { link } = await createLink(t)
  const error = await link.call(other.address, QUESTION, CALL).catch((thrown: ReelspanError) => thrown)
  t.like(error, { mayHaveArrived: true, verdict: Verdict.MayHaveRun })
})

test('a peer that stays silent is given up, and may have acted', async (t) => {
  let calls = 0
  const { address } = await createLink(t, { onCall: async () => calls++ === 0 ? DONE : new Promise(() => {}) })
  const { link } = await createLink(t)
  await link.call(address, QUESTION, CALL)
  const error = await link.call(address, QUESTION, { timeoutMs: 50 }).catch((thrown: ReelspanError) => thrown)
  t.like(error, { mayHaveArrived: true })
})

/** Sends raw bytes to a link and tells whether it was cut off or answered. */
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

test('whoever sends what is not a message is cut off', async (t) => {
  const { address } = await createLink(t)
  const packr = new Packr()
  t.is(await sendRaw(address, Buffer.from('nonsense')), 'closed')
  t.is(await sendRaw(address, packr.pack([1, 1, 0, { type: 'noSuchType' }])), 'closed')
  t.is(await sendRaw(address, packr.pack([1, 1, 0, { type: MessageType.Cancel, key: 7 }])), 'closed')
  t.is(await sendRaw(address, packr.pack([0, 1, 0, QUESTION])), 'closed')
  t.is(await sendRaw(address, packr.pack([1, 1, 0, { ...QUESTION, key: 'k'.repeat(20_000) }])), 'closed')
})

test('a message of a newer release, with fields that this one does not know, is understood', async (t) => {
  const { address } = await createLink(t)
  t.is(await sendRaw(address, new Packr().pack([2, 1, 0, { ...QUESTION, addedLater: true }])), 'answered')
})

/** How long they take is not looked at here: a first message of this size comes to code that is not compiled yet. */
const LARGE_CALL = { timeoutMs: 60_000 }

/** Resources that have as much in common as those of a deployment have. */
function contentOf (routes: number): MessageOf<MessageType.ConfigContent> {
  const changes = Array.from({ length: routes }, (_, i) => ({
    kind: 'Route',
    name: `route-${(i * 2_654_435_761 % 2 ** 32).toString(16)}`,
    revision: 7,
    spec: { host: 'scripts.example', pathPrefix: `/${(i * 40_503 % 65_536).toString(16)}/`, targets: [{ pool: 'desk', weight: 1 }], streaming: false, resumable: false, notRepeatable: i % 2 === 0, maxAttempts: 1 + i % 2, deadlineMs: 500 + i },
  }))
  return { type: MessageType.ConfigContent, revision: 7, full: true, changes }
}

test('a configuration of 1,600 routes takes a fraction of its size on the wire', async (t) => {
  const content = contentOf(1600)
  const { address } = await createLink(t, { onCall: async () => content }, WIDE)
  const { link } = await createLink(t, undefined, WIDE)
  t.true(isDeepStrictEqual(await link.call(address, QUESTION, LARGE_CALL), content))
  t.true(link.traffic.receivedBytes < 50_000, `${link.traffic.receivedBytes} bytes came`)
})

test('a large question is as small on the wire as a large answer', async (t) => {
  const { address } = await createLink(t, undefined, WIDE)
  const { link } = await createLink(t, undefined, WIDE)
  t.deepEqual(await link.call(address, contentOf(1600), LARGE_CALL), DONE)
  t.true(link.traffic.sentBytes < 50_000, `${link.traffic.sentBytes} bytes went`)
})

test('a question that takes its own side long to compress does not make its connection count as silent', async (t) => {
  const { address } = await createLink(t, undefined, VAST)
  const { link } = await createLink(t, undefined, VAST)
  t.deepEqual(await link.call(address, contentOf(120_000), { timeoutMs: 60_000 }), DONE)
})

test('a message of usual size goes as it is', async (t) => {
  const { address } = await createLink(t)
  const { link } = await createLink(t)
  await link.call(address, { ...QUESTION, key: 'k'.repeat(5000) }, CALL)
  t.true(link.traffic.sentBytes > 5000, `${link.traffic.sentBytes} bytes went`)
})

test('a large part of a stream keeps its place among small ones', async (t) => {
  const parts = [contentOf(1600), DONE, contentOf(800), QUESTION]
  const { address } = await createLink(t, { onStream: async function * () { yield * parts } }, WIDE)
  const { link } = await createLink(t, undefined, WIDE)
  const came = []
  for await (const part of link.stream(address, QUESTION, LARGE_CALL)) came.push(part)
  t.true(isDeepStrictEqual(came, parts))
})

test('a small message that would become a huge one is refused, and both sides learn why', async (t) => {
  const huge = { ...QUESTION, key: 'k'.repeat(500_000) }
  const narrow = await createLink(t)
  const wide = await createLink(t, { onCall: async () => huge }, WIDE)
  await t.throwsAsync(wide.link.call(narrow.address, huge, LARGE_CALL), { code: ErrorCode.PeerUnreachable, message: /larger than the peer takes/ })
  await t.throwsAsync(narrow.link.call(wide.address, QUESTION, LARGE_CALL), { code: ErrorCode.PeerUnreachable, message: /larger than 10000 bytes/ })
})

test('a box of a release that does not compress gets and gives large messages', async (t) => {
  const content = contentOf(1600)
  const { link, address } = await createLink(t, { onCall: async () => content }, WIDE)
  const packr = new Packr({ useRecords: false })
  const socket = new WebSocket(`ws://${address}`, { perMessageDeflate: false })
  await new Promise((resolve) => socket.once('open', resolve))
  socket.send(packr.pack([1, 1, 0, QUESTION]))
  const answer = await new Promise<Buffer>((resolve) => socket.once('message', resolve))
  socket.terminate()
  t.true(isDeepStrictEqual(packr.unpack(answer).at(3), content))

  const old = new WebSocketServer({ host: '127.0.0.1', port: 0, perMessageDeflate: false })
  t.teardown(() => old.close())
  await new Promise((resolve) => old.once('listening', resolve))
  old.on('connection', (one) => one.on('message', (data) => {
    const [, id,, question] = packr.unpack(data as Buffer)
    one.send(packr.pack([1, id, 2, question]))
    one.send(packr.pack([1, id, 3]))
  }))
  const { port } = old.address() as AddressInfo
  t.true(isDeepStrictEqual(await link.call(`127.0.0.1:${port}`, content, LARGE_CALL), content))
})

/** A link that may have so many connections each way. */
async function createSmallLink (t: ExecutionContext, eachWay: number, onCall: PeerHandler['onCall'] = async () => DONE) {
  const address = await freeAddress()
  const link = new WsPeerLink({ clock: new SystemClock(), listenAddress: address, maxMessageBytes: 10_000, idleCloseMs: 60_000, maxConnections: 2 * eachWay })
  link.serve({ onCall, onStream: async function * () {} })
  await link.listen()
  t.teardown(() => link.close())
  return { link, address }
}

test('at the limit the connection that was not used for longest gives way, and one in use never does', async (t) => {
  let finish: (message: PeerMessage) => void = () => {}
  const busy = await createLink(t, { onCall: async () => new Promise((resolve) => { finish = resolve }) })
  const others = await Promise.all([createLink(t), createLink(t), createLink(t)])
  const { link } = await createSmallLink(t, 2)
  const waiting = link.call(busy.address, QUESTION, CALL)
  for (const { address } of others) t.deepEqual(await link.call(address, QUESTION, CALL), DONE)
  t.is(link.traffic.connectionsOpened, 4)
  finish(DONE)
  t.deepEqual(await waiting, DONE)
})

test('a message that finds all connections in use has not arrived', async (t) => {
  const busy = await createLink(t, { onCall: async () => new Promise(() => {}) })
  const { address } = await createLink(t)
  const { link } = await createSmallLink(t, 1)
  const stop = new AbortController()
  const waiting = t.throwsAsync(link.call(busy.address, QUESTION, { ...CALL, signal: stop.signal }))
  const error = await link.call(address, QUESTION, CALL).catch((thrown: ReelspanError) => thrown)
  t.like(error, { mayHaveArrived: false, verdict: Verdict.NotRun })
  stop.abort()
  await waiting
})

test('of more peers than it may serve, the one that was not heard of for longest gives way, and can come back', async (t) => {
  const { address } = await createSmallLink(t, 2)
  const peers = await Promise.all([createLink(t), createLink(t), createLink(t)])
  for (const { link } of [...peers, ...peers]) {
    // A connection that is just being ended may take the message along.
    const answer = await link.call(address, QUESTION, CALL).catch(() => link.call(address, QUESTION, CALL))
    t.deepEqual(answer, DONE)
  }
})

function withResolvers () {
  let resolve: () => void = () => {}
  const promise = new Promise<void>((_resolve) => { resolve = _resolve })
  return { promise, resolve }
}

test('a link closes at once, also when a peer has opened a connection and said nothing on it yet', async (t) => {
  const { link, address } = await createLink(t)
  const silent = connect(splitAddress(address))
  t.teardown(() => { silent.destroy() })
  await once(silent, 'connect')
  const outcome = await raceTimeout(new SystemClock(), link.close(), 2000)
  t.not(outcome, TimedOut)
})
