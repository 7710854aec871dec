import { createServer, type Server } from 'node:http'
import { type Socket } from 'node:net'
import { type Clock, STOPPED } from '@reelspan/core.env'
import { ReelspanError } from '@reelspan/core.error'
import { MessageType, type PeerCallOptions, type PeerHandler, PeerLink, PeerLinkError, type PeerMessage } from '@reelspan/core.messages'
import { type ClientLimitListener, listenAt } from '@reelspan/net.system-env'
import { type WebSocket, WebSocketServer } from 'ws'
import { limitHandshakes } from './limitHandshakes.js'
import { LinkTraffic } from './linkTraffic.js'
import { MESSAGE_COMPRESSION } from './messageCompression.js'
import { OutgoingConnection } from './outgoingConnection.js'
import { serveConnection } from './serveConnection.js'

/** An incoming connection is pinged at this interval and terminated if nothing was received since the last ping. The peer opens another one when it needs to. */
const INCOMING_PING_INTERVAL_MS = 5000

export interface WsPeerLinkOptions {
  clock: Clock
  /** `ip:port` to listen on. */
  listenAddress: string
  maxMessageBytes: number
  /** An outgoing connection is closed after it has been idle for this long. */
  idleCloseMs: number
  /** The maximum number of connections, half of them for each direction. */
  maxConnections?: number
  /** Called when a connection to the listener is closed because of a limit. */
  onClosed?: ClientLimitListener
  /** An outgoing connection received nothing since `sinceMs`, while a new one to the same peer works. */
  onUnresponsiveConnection?: (address: string, sinceMs: number) => void
}

/** Carries messages between boxes over WebSocket connections, which are opened on demand, one to each peer. */
export class WsPeerLink extends PeerLink {
  readonly traffic = new LinkTraffic()
  readonly #opts: WsPeerLinkOptions
  /** The connection in use to each peer. */
  readonly #outgoingByAddress = new Map<string, OutgoingConnection>()
  readonly #outgoing = new Set<OutgoingConnection>()
  /** Connections that peers opened, ordered by the time of the last received message, oldest first. */
  readonly #incoming = new Set<WebSocket>()
  readonly #maxPerDirection: number
  readonly #closed = new AbortController()
  #listener?: Server
  #server?: WebSocketServer
  #handler?: PeerHandler

  constructor (opts: WsPeerLinkOptions) {
    super()
    this.#opts = opts
    this.#maxPerDirection = Math.max(1, Math.floor((opts.maxConnections ?? Number.POSITIVE_INFINITY) / 2))
  }

  get openConnections (): number {
    return this.#outgoing.size
  }

  /** Resolves once the link listens. */
  async listen (): Promise<void> {
    const listener = createServer()
    this.#listener = listener
    limitHandshakes(listener, { maxPending: () => this.#maxPerDirection - this.#incoming.size, onClosed: this.#opts.onClosed })
    this.#server = new WebSocketServer({ server: listener, maxPayload: this.#opts.maxMessageBytes, perMessageDeflate: MESSAGE_COMPRESSION })
    const server = this.#server
    server.on('connection', (socket, { socket: tcpSocket }) => {
      this.#acceptIncoming(socket)
      this.traffic.count(tcpSocket)
      serveConnection(socket, () => this.#handler)
      void this.#terminateWhenUnresponsive(socket, tcpSocket)
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
      if (answer.done) throw new PeerLinkError(`${address} ended the call without an answer`, { mayHaveArrived: true })
      return answerOrThrow(answer.value)
    } finally {
      await answers.return(undefined)
    }
  }

  async * stream (address: string, message: PeerMessage, opts: PeerCallOptions): AsyncIterable<PeerMessage> {
    for await (const answer of this.#connection(address).exchange(message, true, opts)) yield answerOrThrow(answer)
  }

  async close (): Promise<void> {
    this.#closed.abort()
    this.#outgoing.forEach((connection) => connection.close())
    this.#server?.clients.forEach((socket) => socket.terminate())
    const listener = this.#listener
    if (!listener) return
    const closed = new Promise<void>((resolve) => listener.close(() => resolve()))
    // A peer may have connected without sending anything yet. Waiting for it would delay a planned stop until the box is killed.
    listener.closeAllConnections()
    await closed
  }

  /** At the limit, terminates the connection with the oldest last message. That peer connects again when it needs to. */
  #acceptIncoming (socket: WebSocket): void {
    if (this.#incoming.size >= this.#maxPerDirection) [...this.#incoming][0].terminate()
    this.#incoming.add(socket)
    socket.on('close', () => this.#incoming.delete(socket))
    socket.on('message', () => {
      if (this.#incoming.delete(socket)) this.#incoming.add(socket)
    })
  }

  /** At the limit, closes the least recently used idle connection. Throws `PeerLinkError` if none is idle. */
  #evictIdleIfFull (): void {
    if (this.#outgoing.size < this.#maxPerDirection) return
    const idle = [...this.#outgoing].filter(({ busy }) => !busy)
    if (idle.length === 0) throw new PeerLinkError(`all ${this.#maxPerDirection} connections to other boxes are in use`, { mayHaveArrived: false })
    idle.reduce((oldest, one) => one.lastUsedAtMs < oldest.lastUsedAtMs ? one : oldest).close()
  }

  /** An unreachable peer does not close its connections, so streams to it would continue until this detects it. */
  async #terminateWhenUnresponsive (socket: WebSocket, tcpSocket: Socket): Promise<void> {
    const { clock } = this.#opts
    const closed = new AbortController()
    socket.once('close', () => closed.abort(STOPPED))
    for (let bytesReadBefore = -1; bytesReadBefore !== tcpSocket.bytesRead && !closed.signal.aborted;) {
      bytesReadBefore = tcpSocket.bytesRead
      socket.ping()
      await clock.sleep(INCOMING_PING_INTERVAL_MS, { signal: closed.signal })
      await clock.awaitPendingInput()
    }
    socket.terminate()
  }

  #connection (address: string): OutgoingConnection {
    const known = this.#outgoingByAddress.get(address)
    if (known) return known
    if (this.#closed.signal.aborted) throw new PeerLinkError('the link is closed', { mayHaveArrived: false })
    this.#evictIdleIfFull()
    const connection = this.#connect(address)
    this.#outgoingByAddress.set(address, connection)
    return connection
  }

  #connect (address: string): OutgoingConnection {
    const { clock, maxMessageBytes, idleCloseMs, onUnresponsiveConnection } = this.#opts
    const connection: OutgoingConnection = new OutgoingConnection({
      clock,
      address,
      maxMessageBytes,
      idleCloseMs,
      traffic: this.traffic,
      onClosed: () => {
        this.#outgoing.delete(connection)
        if (this.#outgoingByAddress.get(address) === connection) this.#outgoingByAddress.delete(address)
      },
      openReplacement: () => this.#connect(address),
      onUnresponsive: (replacement, idleSinceMs) => {
        this.#outgoingByAddress.set(address, replacement)
        onUnresponsiveConnection?.(address, idleSinceMs)
      },
    })
    this.#outgoing.add(connection)
    return connection
  }
}

function answerOrThrow (answer: PeerMessage): PeerMessage {
  if (answer.type !== MessageType.Failed) return answer
  throw new ReelspanError(answer.code, answer.text, { verdict: answer.verdict, retryAfterMs: answer.retryAfterMs })
}
