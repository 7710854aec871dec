// Guards against late copies of answers that are taken for the answers to requests sent afterwards.
import { once } from 'node:events'
import { createServer, type Socket } from 'node:net'
import { ConnectionPool, headerValue } from '@reelspan/net.http-exchange'
import { type ConnectionUse } from '@reelspan/upstream.client'
import { VirtualClock } from '@reelspan/utils.fakes'
import test, { type ExecutionContext } from 'ava'

const DEADLINE_MS = 1000

interface Served {
  id: string
  /** How many requests with this id came before. */
  repeats: number
  socket: Socket
}

interface Upstream {
  address: string
  connections: number
}

/** Starts an upstream that answers each request on a connection with what `serve` returns. */
async function startUpstream (t: ExecutionContext, serve: (served: Served) => string): Promise<Upstream> {
  const upstream = { address: '', connections: 0 }
  const counts = new Map<string, number>()
  const sockets = new Set<Socket>()
  const server = createServer((socket) => {
    upstream.connections++
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', (bytes) => {
      const id = /^Id: (.*)\r$/m.exec(bytes.toString('latin1'))?.[1] ?? ''
      const repeats = counts.get(id) ?? 0
      counts.set(id, repeats + 1)
      socket.write(serve({ id, repeats, socket }))
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy())
    server.close()
  })
  upstream.address = `127.0.0.1:${(server.address() as { port: number }).port}`
  return upstream
}

function answer (id: string, text: string): string {
  return `HTTP/1.1 200 OK\r\nId: ${id}\r\nContent-Length: ${text.length}\r\n\r\n${text}`
}

/** An upstream that sends a copy of the answer to the first send of «a» before the next answer on its connection, or before the one after `others` further ones. */
function repeatingLate (others: number): (served: Served) => string {
  const copies = new Map<Socket, { text: string, others: number }>()
  return ({ id, repeats, socket }) => {
    const copy = copies.get(socket)
    const own = answer(id, `${id} ${repeats}`)
    if (id === 'a' && repeats === 0) copies.set(socket, { text: own, others })
    if (!copy) return own
    if (copy.others-- > 0) return own
    copies.delete(socket)
    return copy.text + own
  }
}

function createClient (t: ExecutionContext, { address }: Upstream) {
  const clock = new VirtualClock()
  const foreign: ConnectionUse[] = []
  const pool = new ConnectionPool({ clock, connectTimeoutMs: 5000, onForeignAnswer: (_address, use) => foreign.push(use) })
  t.teardown(() => pool.close())
  const send = async (id: string, deadlineMs = DEADLINE_MS) => {
    const { body } = await pool.exchange(address, { method: 'GET', target: '/', headers: ['Host', 'x', 'Id', id], body: new Uint8Array() }, {
      signal: new AbortController().signal,
      identity: { id, endsAtMs: clock.nowMs() + deadlineMs },
      accept: ({ headers }) => headerValue(headers, 'id') === id,
    })
    const parts: Uint8Array[] = []
    for await (const bytes of body) parts.push(bytes)
    return Buffer.concat(parts).toString()
  }
  return { clock, send, foreign }
}

for (const others of [0, 1, 40]) {
  test(`a request that is sent again gets its own answer, though a copy of the first one comes late (after ${others} other requests)`, async (t) => {
    const { send } = createClient(t, await startUpstream(t, repeatingLate(others)))
    t.is(await send('a'), 'a 0')
    for (let i = 0; i < others; i++) t.is(await send(`b${i}`), `b${i} 0`)
    t.is(await send('a'), 'a 1')
    t.is(await send('c'), 'c 0')
  })
}

test('a late copy ahead of the answer to another request is skipped and reported', async (t) => {
  const { send, foreign } = createClient(t, await startUpstream(t, repeatingLate(0)))
  await send('a')
  t.is(await send('b'), 'b 0')
  t.deepEqual(foreign, [{ connection: 1, exchange: 2 }])
})

test('requests that are sent once share a connection, and one that is sent again uses another idle one', async (t) => {
  const upstream = await startUpstream(t, ({ id, repeats }) => answer(id, `${id} ${repeats}`))
  const { send } = createClient(t, upstream)
  for (const id of ['a', 'b', 'c']) await send(id)
  t.is(upstream.connections, 1)
  for (const id of ['a', 'b', 'c']) await send(id)
  t.is(upstream.connections, 2)
})

test('a connection may carry a request again once nobody waits for the first send', async (t) => {
  const upstream = await startUpstream(t, ({ id, repeats }) => answer(id, `${id} ${repeats}`))
  const { clock, send } = createClient(t, upstream)
  await send('a')
  await clock.advance(DEADLINE_MS)
  await send('a')
  t.is(upstream.connections, 1)
})

test('a connection that has carried as many outstanding ids as it remembers is replaced', async (t) => {
  const upstream = await startUpstream(t, ({ id, repeats }) => answer(id, `${id} ${repeats}`))
  const { send } = createClient(t, upstream)
  for (let i = 0; i < 257; i++) await send(`b${i}`)
  t.is(upstream.connections, 2)
})
