import { once } from 'node:events'
import { createServer, type Socket } from 'node:net'
import { Verdict } from '@reelspan/core.error'
import { ConnectionPool, type ExceededBound, ExchangeError, type ExchangeOptions } from '@reelspan/net.http-exchange'
import { SystemClock } from '@reelspan/net.system-env'
import { AnswerBound } from '@reelspan/upstream.client'
import test, { type ExecutionContext } from 'ava'

const GET = { method: 'GET', target: '/', headers: ['Host', 'x'], body: new Uint8Array() }
const OK = 'HTTP/1.1 200 OK\r\n'
const CHUNKED = `${OK}Transfer-Encoding: chunked\r\n\r\n`
const ENDLESS_BODY = `${OK}\r\n`
/** Fails a test whose flood is not ended, since the pool has no deadline of its own. */
const FLOOD_TIMEOUT_MS = 20_000
/** What may be read of one exchange beyond its bound. */
const MAX_EXCESS_BYTES = 2_000_000
const PIECE_BYTES = 65_536

/** Starts an upstream that sends `head`, then `piece` over and over until its connection is closed. */
async function startFlood (t: ExecutionContext, { head = '', piece }: { head?: string, piece: string }) {
  const exceeded: ExceededBound[] = []
  const closed: Promise<void>[] = []
  const pieces = Buffer.from(piece.repeat(Math.ceil(PIECE_BYTES / piece.length)), 'latin1')
  const server = createServer((socket: Socket) => {
    socket.on('error', () => {})
    closed.push(new Promise((resolve) => { socket.once('close', () => resolve()) }))
    const flood = () => {
      while (!socket.destroyed && socket.write(pieces));
    }
    socket.on('drain', flood)
    socket.once('data', () => {
      socket.write(head, 'latin1')
      flood()
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const address = `127.0.0.1:${(server.address() as { port: number }).port}`
  const pool = new ConnectionPool({ clock: new SystemClock(), connectTimeoutMs: 5000, onBoundExceeded: (_, bound) => exceeded.push(bound) })
  t.teardown(() => {
    pool.close()
    server.close()
  })
  const ask = async (opts: Partial<ExchangeOptions> = {}) => {
    const { body } = await pool.exchange(address, GET, { signal: AbortSignal.timeout(FLOOD_TIMEOUT_MS), ...opts })
    let bytes = 0
    for await (const part of body) bytes += part.byteLength
    return bytes
  }
  return { ask, exceeded, closed }
}

const FLOODS: Record<string, { head?: string, piece: string, bound: AnswerBound, opts?: Partial<ExchangeOptions> }> = {
  'a status line without end': { head: 'HTTP/1.1 200 ', piece: 'x', bound: AnswerBound.Head },
  'empty lines before a status line': { piece: '\r\n', bound: AnswerBound.Head },
  'one header field without end': { head: `${OK}A: `, piece: 'x', bound: AnswerBound.Head },
  'long header fields': { head: OK, piece: `A: ${'x'.repeat(200)}\r\n`, bound: AnswerBound.Head },
  'short header fields': { head: OK, piece: 'A:\r\n', bound: AnswerBound.Fields },
  'interim responses': { piece: 'HTTP/1.1 102 Processing\r\n\r\n', bound: AnswerBound.Interim },
  'interim responses with long heads': { piece: `HTTP/1.1 103 Early Hints\r\nLink: ${'x'.repeat(2000)}\r\n\r\n`, bound: AnswerBound.Interim },
  'answers to other requests': { piece: `${OK}Content-Length: 0\r\n\r\n`, bound: AnswerBound.Foreign, opts: { accept: () => false } },
  'the body of another answer': { head: ENDLESS_BODY, piece: 'x', bound: AnswerBound.Foreign, opts: { accept: () => false } },
  'a chunk extension without end': { head: `${CHUNKED}1;`, piece: 'x', bound: AnswerBound.ChunkExtensions },
  'chunks that are mostly extension': { head: CHUNKED, piece: `1;${'x'.repeat(4000)}\r\nx\r\n`, bound: AnswerBound.ChunkExtensions },
  'one trailer without end': { head: `${CHUNKED}0\r\nA: `, piece: 'x', bound: AnswerBound.Trailers },
  'short trailers': { head: `${CHUNKED}0\r\n`, piece: 'A:\r\n', bound: AnswerBound.Fields },
  'a body that is read to its end': { head: ENDLESS_BODY, piece: 'x', bound: AnswerBound.Body, opts: { maxBodyBytes: 1000 } },
}

Object.entries(FLOODS).forEach(([what, { head, piece, bound, opts }]) => {
  test(`an upstream that sends without end (${what}) is cut off at a bound`, async (t) => {
    const { ask, exceeded, closed } = await startFlood(t, { head, piece })
    const error = await t.throwsAsync(ask(opts), { instanceOf: ExchangeError }) as ExchangeError
    t.is(error.verdict, Verdict.MayHaveRun)
    t.false(error.unreachable)
    t.deepEqual(exceeded.map((one) => one.bound), [bound])
    t.true(exceeded[0].readBytes <= MAX_EXCESS_BYTES)
    t.true(error.message.includes(`${exceeded[0].readBytes} bytes`))
    await Promise.all(closed)
  })
})

test('an interim response has no body, whatever its head says', async (t) => {
  const { ask } = await startFlood(t, { head: 'HTTP/1.1 102 Processing\r\nTransfer-Encoding: chunked\r\n\r\n', piece: `${OK}Content-Length: 5\r\nConnection: close\r\n\r\nhello` })
  t.is(await ask(), 5)
})

test('a change of protocol that was not requested fails the exchange', async (t) => {
  const { ask } = await startFlood(t, { piece: 'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n' })
  await t.throwsAsync(ask(), { instanceOf: ExchangeError })
})

test.serial('a long line of blanks in a head does not hold the process up', async (t) => {
  const { ask } = await startFlood(t, { head: `${OK}Content-Length: 5\r\n${' '.repeat(70_000)}\r\nConnection: close\r\n\r\nhello`, piece: 'x' })
  const startedAtMs = performance.now()
  t.is(await ask(), 5)
  t.true(performance.now() - startedAtMs < 1000)
})

test('what a sound upstream sends within the bounds is accepted', async (t) => {
  const interim = 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(60)
  const head = `${interim}${OK}Transfer-Encoding: chunked\r\n${'A: x\r\n'.repeat(100)}Cookie: ${'x'.repeat(60_000)}\r\n\r\n`
  const chunks = `5;signature=${'x'.repeat(64)}\r\nhello\r\n`.repeat(1000)
  const { ask, exceeded } = await startFlood(t, { head: `${head}${chunks}0\r\nDigest: x\r\n\r\n`, piece: 'x' })
  t.is(await ask(), 5000)
  t.deepEqual(exceeded, [])
})
