import { type RequestListener, type Server } from 'node:http'
import { type Socket } from 'node:net'
import { onResponseEnded } from './onResponseEnded.js'

export interface PipelineLimitOptions {
  /** Requests that may be in progress on all connections together, besides the first one of each connection. */
  maxAhead: number
  /** Called when a connection is reset, with the number of its requests in progress. */
  onExceeded?: (requests: number) => void
}

const EXPECTATION_FAILED = 417

/**
 * Bounds the requests that clients send before earlier ones on the same connections are answered. Node parses all
 * requests in a read at once, several hundred of them, and keeps each until its answer has been sent. A connection may
 * take as much of the limit as the others leave free, so that one with a single request in progress is always served.
 * Beyond that it is reset: reading it later would keep what was parsed of it in memory.
 */
export class PipelineLimit {
  readonly #opts: PipelineLimitOptions
  readonly #requestsInProgress = new WeakMap<Socket, number>()
  #ahead = 0

  constructor (opts: PipelineLimitOptions) {
    this.#opts = opts
  }

  /** Requests in progress besides the first one of each connection. */
  get ahead (): number {
    return this.#ahead
  }

  /** Passes requests of a server to a listener within the limit. */
  serve (server: Server, listener: RequestListener): void {
    server.on('request', this.#limit(listener))
    // Without a listener Node answers these itself.
    server.on('checkExpectation', this.#limit((_, response) => {
      response.statusCode = EXPECTATION_FAILED
      response.end()
    }))
  }

  #limit (listener: RequestListener): RequestListener {
    return (message, response) => {
      const { socket } = message
      // What was parsed together with the request for which the connection was reset.
      if (socket.destroyed) return
      const requests = this.#requestsInProgress.get(socket) ?? 0
      if (requests > 0 && requests > this.#opts.maxAhead - this.#ahead) {
        this.#opts.onExceeded?.(requests)
        socket.resetAndDestroy()
        return
      }
      this.#begin(socket, requests)
      onResponseEnded(response, () => this.#end(socket))
      listener(message, response)
    }
  }

  #begin (socket: Socket, requests: number): void {
    this.#requestsInProgress.set(socket, requests + 1)
    if (requests === 0) return
    this.#ahead++
    // Each request in progress listens for the end of its connection.
    socket.setMaxListeners(0)
  }

  #end (socket: Socket): void {
    const requests = this.#requestsInProgress.get(socket) ?? 0
    this.#requestsInProgress.set(socket, requests - 1)
    if (requests > 1) this.#ahead--
  }
}
