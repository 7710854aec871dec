import { type Clock } from '@reelspan/core.env'
import { ReelspanError } from '@reelspan/core.error'
import { MessageType, type PeerCallOptions, type PeerHandler, PeerLink, PeerLinkError, type PeerMessage } from '@reelspan/core.messages'
import { splitAddress } from '@reelspan/net.system-env'
import { WebSocketServer } from 'ws'
import { LinkTraffic } from './linkTraffic.js'
import { MESSAGE_COMPRESSION } from './messageCompression.js'
import { OutgoingConnection } from './outgoingConnection.js'
import { serveConnection } from './serveConnection.js'

export interface WsPeerLinkOptions {
  clock: Clock
  /** `ip:port` to listen on. */
  listenAddress: string
  maxMessageBytes: number
  /** An outgoing connection that nothing used for this long is closed. */
  idleCloseMs: number
}

/** Carries messages between boxes over WebSocket connections, one for each peer that is talked to, opened on demand. */
export class WsPeerLink extends PeerLink {
  readonly traffic = new LinkTraffic()
  readonly #opts: WsPeerLinkOptions
  readonly #connections = new Map<string, OutgoingConnection>()
  readonly #closed = new AbortController()
  #server?: WebSocketServer
  #handler?: PeerHandler

  constructor (opts: WsPeerLinkOptions) {
    super()
    this.#opts = opts
  }

  get openConnections (): number {
    return this.#connections.size
  }

  /** Resolves once the link listens. */
  async listen (): Promise<void> {
    const { host, port } = splitAddress(this.#opts.listenAddress)
    this.#server = new WebSocketServer({ host, port, maxPayload: this.#opts.maxMessageBytes, perMessageDeflate: MESSAGE_COMPRESSION })
    this.#server.on('connection', (socket, request) => {
      this.traffic.count(request.socket)
      serveConnection(socket, () => this.#handler)
    })
    const server = this.#server
    await new Promise<void>((resolve, reject) => {
      server.once('listening', resolve)
      server.once('error', reject)
    })
    server.on('error', () => {})
  }

  serve (handler: PeerHandler): void {
    this.#handler = handler
  }

  async call (address: string, message: PeerMessage, opts: PeerCallOptions): Promise<PeerMessage> {
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
    this.#connections.forEach((connection) => connection.close())
    this.#server?.clients.forEach((socket) => socket.terminate())
    await new Promise<void>((resolve) => this.#server ? this.#server.close(() => resolve()) : resolve())
  }

  #connection (address: string): OutgoingConnection {
    const known = this.#connections.get(address)
    if (known) return known
    if (this.#closed.signal.aborted) throw new PeerLinkError('the link is closed', { mayHaveArrived: false })
    const { clock, maxMessageBytes, idleCloseMs } = this.#opts
    const connection = new OutgoingConnection({
      clock,
      address,
      maxMessageBytes,
      idleCloseMs,
      traffic: this.traffic,
      onClosed: () => {
        if (this.#connections.get(address) === connection) this.#connections.delete(address)
      },
    })
    this.#connections.set(address, connection)
    return connection
  }
}

function orThrow (answer: PeerMessage): PeerMessage {
  if (answer.type !== MessageType.Failed) return answer
  throw new ReelspanError(answer.code, answer.text, { verdict: answer.verdict, retryAfterMs: answer.retryAfterMs })
}
