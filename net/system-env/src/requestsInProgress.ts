import { type IncomingMessage, type RequestListener, type Server } from 'node:http'
import { type Socket } from 'node:net'
import { ClientLimit, type ClientLimitListener } from './clientLimit.js'
import { onResponseEnded } from './onResponseEnded.js'
import { parseInParts } from './parseInParts.js'

export interface RequestsInProgressOptions {
  /** Requests that may be in progress on all connections together, besides the first one of each connection. */
  maxAhead: number
  onClosed?: ClientLimitListener
}

const EXPECTATION_FAILED = 417
/** Bytes of incomplete heads on all connections together. A head of many short fields takes some ten times as much memory. */
const MAX_HEAD_BYTES = 2_000_000

/**
 * Follows the requests in progress on a server's connections, and bounds those that clients send before earlier ones on
 * the same connection are answered. Node parses all requests in a read at once, several hundred of them, and keeps each
 * until its answer has been sent. A connection may take as much of the limit as the others leave free, so that one with
 * a single request in progress is always served. Beyond that it is reset: reading it later would keep what was parsed of
 * it in memory.
 */
export class RequestsInProgress {
  readonly #opts: RequestsInProgressOptions
  readonly #countBySocket = new WeakMap<Socket, number>()
  /** Connections without a complete request in progress, those first that have been so for longest. */
  readonly #waiting = new Set<Socket>()
  readonly #latestBySocket = new WeakMap<Socket, IncomingMessage>()
  readonly #upgraded = new WeakSet<Socket>()
  readonly #headBytesBySocket = new WeakMap<Socket, number>()
  #ahead = 0
  #headBytes = 0

  constructor (opts: RequestsInProgressOptions) {
    this.#opts = opts
  }

  /** Requests in progress besides the first one of each connection. */
  get ahead (): number {
    return this.#ahead
  }

  /** Bytes of heads that are not complete. */
  get headBytes (): number {
    return this.#headBytes
  }

  /** Passes requests of a server to a listener within the limit. */
  serve (server: Server, listener: RequestListener): void {
    server.on('connection', (socket) => {
      this.#waiting.add(socket)
      socket.once('close', () => this.#waiting.delete(socket))
      parseInParts(socket, {
        requestCount: () => this.#countBySocket.get(socket) ?? 0,
        onRead: (bytes) => this.#recordHead(socket, bytes),
        isUpgraded: () => this.#upgraded.has(socket),
      })
      socket.once('close', () => this.#setHeadBytes(socket, 0))
    })
    server.on('request', this.#limit(listener))
    // Without a listener Node answers these itself.
    server.on('checkExpectation', this.#limit((_, response) => {
      response.statusCode = EXPECTATION_FAILED
      response.end()
    }))
  }

  /** Stops following a connection. Called when its upgrade to another protocol begins. */
  onUpgrade (socket: Socket): void {
    this.#upgraded.add(socket)
    this.#waiting.delete(socket)
    this.#setHeadBytes(socket, 0)
  }

  /** Closes the connection that has waited for a request, or for the rest of one, for longest. The latest one is left open. */
  closeLongestWaiting (): void {
    const [longest] = this.#waiting
    if (this.#waiting.size <= 1) return
    this.#opts.onClosed?.(ClientLimit.Waiting, 0)
    longest.destroy()
  }

  #limit (listener: RequestListener): RequestListener {
    return (message, response) => {
      const { socket } = message
      // What was parsed together with the request for which the connection was reset.
      if (socket.destroyed) return
      const requests = this.#countBySocket.get(socket) ?? 0
      if (requests > 0 && requests > this.#opts.maxAhead - this.#ahead) {
        this.#opts.onClosed?.(ClientLimit.RequestsAhead, requests)
        socket.resetAndDestroy()
        return
      }
      this.#begin(message, requests)
      response.setMaxListeners(response.getMaxListeners() + 1)
      onResponseEnded(response, () => this.#end(socket))
      listener(message, response)
    }
  }

  #begin (message: IncomingMessage, requests: number): void {
    const { socket } = message
    if (hasBody(message)) message.once('end', () => this.#onRead(socket))
    else this.#waiting.delete(socket)
    this.#latestBySocket.set(socket, message)
    this.#countBySocket.set(socket, requests + 1)
    if (requests === 0) return
    this.#ahead++
    // Each request in progress listens for the end of its connection.
    socket.setMaxListeners(0)
  }

  /** A request that was answered before its body was read is not in progress any more. */
  #onRead (socket: Socket): void {
    if (this.#countBySocket.get(socket)) this.#waiting.delete(socket)
  }

  /** Counts what has been read of a head that is not complete. The rest of a refused body is none. */
  #recordHead (socket: Socket, bytes: number): void {
    const inProgress = (this.#countBySocket.get(socket) ?? 0) > 0 || this.#latestBySocket.get(socket)?.complete === false
    this.#setHeadBytes(socket, inProgress ? 0 : this.#headBytesOf(socket) + bytes)
    if (this.#headBytesOf(socket) <= MAX_HEAD_BYTES - this.#headBytes || socket.destroyed) return
    this.#opts.onClosed?.(ClientLimit.IncompleteHeads, 0)
    socket.resetAndDestroy()
  }

  #headBytesOf (socket: Socket): number {
    return this.#headBytesBySocket.get(socket) ?? 0
  }

  #setHeadBytes (socket: Socket, bytes: number): void {
    this.#headBytes += bytes - this.#headBytesOf(socket)
    this.#headBytesBySocket.set(socket, bytes)
  }

  #end (socket: Socket): void {
    const requests = this.#countBySocket.get(socket) ?? 0
    this.#countBySocket.set(socket, requests - 1)
    // Requests of one turn of the event loop stay in memory until its end, also those that have been answered.
    if (requests > 1) setImmediate(() => { this.#ahead-- })
    else if (!socket.destroyed) this.#waiting.add(socket)
  }
}

function hasBody ({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0
}
