import { type Server } from 'node:http'
import { type Socket } from 'node:net'

export interface ConnectionGuardOptions {
  maxConnections: number
  /** The server has begun or ceased to turn new connections away, with how many it has. */
  onFull?: (full: boolean, connections: number) => void
  /** The server could not take a connection, for the first time since it last took one. */
  onFailed?: (error: Error) => void
}

/** From this part of its connections on, a server closes idle ones. */
const TIGHT_PART = 0.9
/** From this part on it is full; what is left is for those who are on their way. */
const FULL_PART = 0.95
/** A caller that fell silent without a reset is probed after this time, longer than idle connections usually last, and its connection ends some ten seconds later. */
const PROBE_AFTER_MS = 20_000

/** Keeps a server within its part of the descriptors, and knows whether it takes new connections. */
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
    server.on('connection', (socket) => this.#take(socket))
    server.on('error', (error) => this.#fail(error))
  }

  /** Whether a new connection would be taken now. */
  get takesConnections (): boolean {
    return this.#server.listening && !this.#failed && !this.#full
  }

  #take (socket: Socket): void {
    this.#failed = false
    this.#connections++
    socket.setKeepAlive(true, PROBE_AFTER_MS)
    socket.once('close', () => {
      this.#connections--
      this.#note()
    })
    if (this.#connections >= TIGHT_PART * this.#opts.maxConnections) this.#server.closeIdleConnections()
    this.#note()
  }

  /** Told once, since a listener without descriptors may fail many times a second. */
  #fail (error: Error): void {
    if (!this.#failed) this.#opts.onFailed?.(error)
    this.#failed = true
  }

  #note (): void {
    const { maxConnections, onFull } = this.#opts
    const full = this.#connections >= (this.#full ? TIGHT_PART : FULL_PART) * maxConnections
    if (full === this.#full) return
    this.#full = full
    onFull?.(full, this.#connections)
  }
}
