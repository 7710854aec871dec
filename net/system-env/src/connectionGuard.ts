import { type Server } from 'node:http'
import { type Socket } from 'node:net'

export interface ConnectionGuardOptions {
  maxConnections: number
  /** The server has begun or ceased to turn new connections away, with how many it has. */
  onFull?: (full: boolean, connections: number) => void
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
    server.on('error', () => { this.#failed = true })
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

  #note (): void {
    const { maxConnections, onFull } = this.#opts
    const full = this.#connections >= (this.#full ? TIGHT_PART : FULL_PART) * maxConnections
    if (full === this.#full) return
    this.#full = full
    onFull?.(full, this.#connections)
  }
}
