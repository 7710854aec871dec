import { createServer, type Server } from 'node:http'
import { type Socket } from 'node:net'
import { type Clock, STOPPED } from '@reelspan/core.env'
import { ReelspanError } from '@reelspan/core.error'
import { MessageType, type PeerCallOptions, type PeerHandler, PeerLink, PeerLinkError, type PeerMessage } from '@reelspan/core.messages'
import { listenAt } from '@reelspan/net.system-env'
import { type WebSocket, WebSocketServer } from 'ws'
import { LinkTraffic } from './linkTraffic.js'
import { MESSAGE_COMPRESSION } from './messageCompression.js'
import { OutgoingConnection } from './outgoingConnection.js'
import { serveConnection } from './serveConnection.js'

/** A peer that opened a connection here and gives no sign of life for this long, nor to a ping, is taken for cut off. It opens another one when it needs it. */
const SERVED_PING_MS = 5000

export interface WsPeerLinkOptions {
  clock: Clock
  /** `ip:port` to listen on. */
  listenAddress: string
  maxMessageBytes: number
  /** An outgoing connection that nothing used for this long is closed. */
  idleCloseMs: number
  /** Half of them for each direction. */
  maxConnections?: number
  /** A connection of this box on which nothing came since then was dead, while a new one to the same peer works. */
  onSilentConnection?: (address: string, sinceMs: number) => void
}

/** Carries messages between boxes over WebSocket connections, one for each peer that is talked to, opened on demand. */
export class WsPeerLink extends PeerLink {
  readonly traffic = new LinkTraffic()
  readonly #opts: WsPeerLinkOptions
  /** The connection to use, for each peer. */
  readonly #connections = new Map<string, OutgoingConnection>()
  readonly #open = new Set<OutgoingConnection>()
  /** Connections that peers opened, the one that was heard of last at the end. */
  readonly #served = new Set<WebSocket>()
  readonly #maxEachWay: number
  readonly #closed = new AbortController()
  #listener?: Server
  #server?: WebSocketServer
  #handler?: PeerHandler

  constructor (opts: WsPeerLinkOptions) {
    super()
    this.#opts = opts
    this.#maxEachWay = Math.max(1, Math.floor((opts.maxConnections ?? Number.POSITIVE_INFINITY) / 2))
  }

  get openConnections (): number {
    return this.#open.size
  }

  /** Resolves once the link listens. */
  async listen (): Promise<void> {
    const listener = createServer()
    this.#listener = listener
    this.#server = new WebSocketServer({ server: listener, maxPayload: this.#opts.maxMessageBytes, perMessageDeflate: MESSAGE_COMPRESSION })
    const server = this.#server
    server.on('connection', (socket, { socket: stream }) => {
      this.#admit(socket)
      this.traffic.count(stream)
      serveConnection(socket, () => this.#handler)
      void this.#endWhenSilent(socket, stream)
    })
    server.on('error', () => {})
    await listenAt(listener, this.#opts.listenAddress)
  }

  serve (handler: PeerHandler): void {
    this.#handler = handler
  }

  async call (address: string, message: PeerMessage, opts: PeerCallOptions): Promise<PeerMessage> {
    try {
      return await this.#callOnce(address, message, opts)
    } catch (thrown) {
      if (!opts.repeatable || !(thrown instanceof PeerLinkError) || !thrown.silent) throw thrown
      return this.#callOnce(address, message, opts)
    }
  }

  async #callOnce (address: string, message: PeerMessage, opts: PeerCallOptions): Promise<PeerMessage> {
    const answers = this.#connection(address).exchange(message, false, opts)
    try {
      const answer = await answers.next()
      if (answer.done) throw new PeerLinkError(`${address} gave no answer`, { mayHaveArrived: true })
      return orThrow(answer.value)
    } finally {
      await answers.return(undefined)
    }
  }

  async * stream (address: string, message: PeerMessage, opts: PeerCallOptions): AsyncIterable<PeerMessage> {
    for await (const answer of this.#connection(address).exchange(message, true, opts)) yield orThrow(answer)
  }

  async close (): Promise<void> {
    this.#closed.abort()
    this.#open.forEach((connection) => connection.close())
    this.#server?.clients.forEach((socket) => socket.terminate())
    const listener = this.#listener
    if (!listener) return
    const closed = new Promise<void>((resolve) => listener.close(() => resolve()))
    // A peer may have connected and said nothing yet. Waiting for it would hold up a planned stop until the box is killed.
    listener.closeAllConnections()
    await closed
  }

  /** At the limit, the peer that was not heard of for longest gives way. It connects again when it needs to. */
  #admit (socket: WebSocket): void {
    if (this.#served.size >= this.#maxEachWay) [...this.#served][0].terminate()
    this.#served.add(socket)
    socket.on('close', () => this.#served.delete(socket))
    socket.on('message', () => {
      if (this.#served.delete(socket)) this.#served.add(socket)
    })
  }

  /** At the limit, the connection that was not used for longest gives way. */
  #makeRoom (): void {
    if (this.#open.size < this.#maxEachWay) return
    const idle = [...this.#open].filter(({ busy }) => !busy)
    if (idle.length === 0) throw new PeerLinkError(`all ${this.#maxEachWay} connections to other boxes are in use`, { mayHaveArrived: false })
    idle.reduce((oldest, one) => one.lastUseMs < oldest.lastUseMs ? one : oldest).close()
  }

  /** A peer that is cut off does not close its connections; what is streamed to it goes on until it is noticed. */
  async #endWhenSilent (socket: WebSocket, stream: Socket): Promise<void> {
    const { clock } = this.#opts
    const gone = new AbortController()
    socket.once('close', () => gone.abort(STOPPED))
    for (let seen = -1; seen !== stream.bytesRead && !gone.signal.aborted;) {
      seen = stream.bytesRead
      socket.ping()
      await clock.sleep(SERVED_PING_MS, { signal: gone.signal })
      await clock.settle()
    }
    socket.terminate()
  }

  #connection (address: string): OutgoingConnection {
    const known = this.#connections.get(address)
    if (known) return known
    if (this.#closed.signal.aborted) throw new PeerLinkError('the link is closed', { mayHaveArrived: false })
    this.#makeRoom()
    const connection = this.#connect(address)
    this.#connections.set(address, connection)
    return connection
  }

  #connect (address: string): OutgoingConnection {
    const { clock, maxMessageBytes, idleCloseMs, onSilentConnection } = this.#opts
    const connection: OutgoingConnection = new OutgoingConnection({
      clock,
      address,
      maxMessageBytes,
      idleCloseMs,
      traffic: this.traffic,
      onClosed: () => {
        this.#open.delete(connection)
        if (this.#connections.get(address) === connection) this.#connections.delete(address)
      },
      openAnother: () => this.#connect(address),
      onSilent: (other, sinceMs) => {
        this.#connections.set(address, other)
        onSilentConnection?.(address, sinceMs)
      },
    })
    this.#open.add(connection)
    return connection
  }
}

function orThrow (answer: PeerMessage): PeerMessage {
  if (answer.type !== MessageType.Failed) return answer
  throw new ReelspanError(answer.code, answer.text, { verdict: answer.verdict, retryAfterMs: answer.retryAfterMs })
}
