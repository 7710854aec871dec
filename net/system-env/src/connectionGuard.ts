import { type Server } from 'node:http'
import { type Socket } from 'node:net'
import { ClientLimit, type ClientLimitListener } from './clientLimit.js'

export interface ConnectionGuardOptions {
  maxConnections: number
  /** Closes the connection that has waited for a request for longest. */
  closeLongestWaiting?: () => void
  /** Called when the server becomes full or is no longer full, with its number of connections. */
  onFullChanged?: (full: boolean, connections: number) => void
  onClosed?: ClientLimitListener
  /** Called when the server fails to accept a connection, once until it accepts one again. */
  onAcceptError?: (error: Error) => void
}

/** The share of its maximum connections from which on a server closes idle ones. Below it, a full server is no longer full. */
const CLOSE_IDLE_SHARE = 0.9
/** The share from which on the server is full, and makes room for each new connection. The rest is for clients that are already connecting. */
const FULL_SHARE = 0.95
/** An unresponsive caller's connection is probed after this time, which is longer than idle connections usually last, and closed some ten seconds later. */
const TCP_KEEP_ALIVE_DELAY_MS = 20_000

/** Keeps a server within its share of the file descriptors, and tracks whether it accepts new connections. */
export class ConnectionGuard {
  readonly #server: Server
  readonly #opts: ConnectionGuardOptions
  #connections = 0
  #full = false
  #failed = false

  constructor (server: Server, opts: ConnectionGuardOptions) {
    this.#server = server
    this.#opts = opts
    server.maxConnections = opts.maxConnections
    server.on('connection', (socket) => this.#onConnection(socket))
    server.on('drop', () => opts.onClosed?.(ClientLimit.Connections, 0))
    server.on('error', (error) => this.#onError(error))
  }

  /** Open connections. */
  get connections (): number {
    return this.#connections
  }

  /** Whether the server would accept a new connection now. */
  get acceptsConnections (): boolean {
    return this.#server.listening && !this.#failed && !this.#full
  }

  #onConnection (socket: Socket): void {
    this.#failed = false
    this.#connections++
    socket.setKeepAlive(true, TCP_KEEP_ALIVE_DELAY_MS)
    socket.once('close', () => {
      this.#connections--
      this.#updateFull()
    })
    if (this.#connections >= CLOSE_IDLE_SHARE * this.#opts.maxConnections) this.#server.closeIdleConnections()
    this.#updateFull()
    if (this.#connections >= FULL_SHARE * this.#opts.maxConnections) this.#opts.closeLongestWaiting?.()
  }

  /** Reports only the first failure, since a listener without free descriptors may fail many times a second. */
  #onError (error: Error): void {
    if (!this.#failed) this.#opts.onAcceptError?.(error)
    this.#failed = true
  }

  #updateFull (): void {
    const { maxConnections, onFullChanged } = this.#opts
    const full = this.#connections >= (this.#full ? CLOSE_IDLE_SHARE : FULL_SHARE) * maxConnections
    if (full === this.#full) return
    this.#full = full
    onFullChanged?.(full, this.#connections)
  }
}
