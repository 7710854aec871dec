import { type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type Socket } from 'node:net'
import { type Clock } from '@reelspan/core.env'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { RunningTime } from '@reelspan/net.byte-budget'

export interface RequestTimeGuardOptions {
  clock: Clock
  /** Maximum time from the first byte of a head to its last one. */
  headReadMs: () => number
  /** Maximum time for the body, from the end of the head. */
  bodyReadMs: () => number
  /** Maximum time without a byte on a new connection. Between requests the server's own limit applies. */
  idleMs: () => number
  /** The response to a head that takes too long. */
  slowHeadResponse: string
  /** Called when a request took too long to arrive. */
  onSlowRequest?: (part: RequestPart) => void
}

export enum RequestPart {
  Head = 'head',
  Body = 'body',
}

/** Short against the limits, which are some seconds, and rare enough for an idle box. */
const MAX_CHECK_MS = 500
const MIN_CHECK_MS = 25
/** The share of the shortest limit after which connections are checked again. */
const CHECK_SHARE = 0.125
/** Some callers send an additional line end after a body, which is not the start of a head. */
const LINE_END_BYTES = 2

/** What a connection without a request waits for. */
enum Awaited {
  FirstByte = 'firstByte',
  RestOfHead = 'restOfHead',
  NextRequest = 'nextRequest',
}

/** What is known of a connection. */
interface Connection {
  socket: Socket
  /** What was read up to the end of the last request. */
  readBytes: number
  awaited: Awaited
  /** For how long, since the check that noticed it. */
  waitedMs: number
  /** The request whose body is arriving. */
  request?: ArrivingRequest
  /** Responses that have not ended, as far as the last request or check knows. */
  responses: ServerResponse[]
}

interface ArrivingRequest {
  message: IncomingMessage
  response: ServerResponse
  /** How long its body has been arriving, since the first check. */
  waitedMs?: number
  slow: AbortController
}

/**
 * Limits how long a caller may take to send a request. Node's own limits count from timers, which fire before input
 * that arrived during a pause of the process is read; these count only the time in which the process ran.
 */
export class RequestTimeGuard {
  readonly #opts: RequestTimeGuardOptions
  readonly #connections = new Map<Socket, Connection>()
  readonly #requests = new WeakMap<IncomingMessage, ArrivingRequest>()
  #checking = false

  constructor (server: Server, opts: RequestTimeGuardOptions) {
    this.#opts = opts
    server.requestTimeout = 0
    server.headersTimeout = 0
    server.on('connection', (socket) => this.#onConnection(socket))
    server.on('timeout', (socket) => { void this.#closeIfIdle(socket) })
    server.prependListener('request', (message, response) => this.#onRequest(message, response))
  }

  /** Returns the signal that is aborted with `ERR_REELSPAN_REQUEST_TOO_SLOW` when the request's body takes too long. */
  signalOf (message: IncomingMessage): AbortSignal {
    // A head that was completed after its refusal must not be served.
    return this.#requests.get(message)?.slow.signal ?? AbortSignal.abort(requestTooSlow())
  }

  #onConnection (socket: Socket): void {
    this.#connections.set(socket, { socket, readBytes: 0, awaited: Awaited.NextRequest, waitedMs: 0, responses: [] })
    socket.once('close', () => this.#connections.delete(socket))
    if (!this.#checking) void this.#checkRegularly()
  }

  /** Closes a connection whose idle timeout has passed, unless a request is pending that arrived before. */
  async #closeIfIdle (socket: Socket): Promise<void> {
    const { bytesRead } = socket
    await this.#opts.clock.awaitPendingInput()
    if (socket.bytesRead === bytesRead) socket.destroy()
  }

  #onRequest (message: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.get(message.socket)
    if (!connection || message.socket.destroyed) return
    const request: ArrivingRequest = { message, response, slow: new AbortController() }
    this.#requests.set(message, request)
    connection.request = request
    connection.awaited = Awaited.NextRequest
    // Those that have ended would stay in memory until the next check.
    connection.responses = [...openResponses(connection), response]
    message.once('close', () => this.#onRequestRead(connection, request))
  }

  #onRequestRead (connection: Connection, request: ArrivingRequest): void {
    if (connection.request !== request) return
    connection.request = undefined
    connection.readBytes = connection.socket.bytesRead
  }

  /** Ends when there is no connection. */
  async #checkRegularly (): Promise<void> {
    const { clock, headReadMs, bodyReadMs, idleMs } = this.#opts
    this.#checking = true
    while (this.#connections.size > 0) {
      const checkMs = Math.max(MIN_CHECK_MS, Math.min(MAX_CHECK_MS, CHECK_SHARE * Math.min(headReadMs(), bodyReadMs(), idleMs())))
      const time = new RunningTime(checkMs, clock.nowMs())
      await clock.sleep(checkMs)
      await clock.awaitPendingInput()
      const elapsedMs = time.advance(clock.nowMs());
      [...this.#connections.values()].forEach((connection) => this.#check(connection, elapsedMs))
    }
    this.#checking = false
  }

  #check (connection: Connection, elapsedMs: number): void {
    const { socket, request } = connection
    connection.responses = openResponses(connection)
    if (request?.message.complete) this.#onRequestRead(connection, request)
    if (connection.request) return this.#checkBody(connection.request, elapsedMs)
    // A head that arrives while an earlier response is being sent waits for it.
    if (connection.responses.length > 0) return
    const awaited = awaitedBy(connection)
    connection.waitedMs = awaited === connection.awaited ? connection.waitedMs + elapsedMs : 0
    connection.awaited = awaited
    if (awaited === Awaited.FirstByte && connection.waitedMs >= this.#opts.idleMs()) socket.destroy()
    if (awaited === Awaited.RestOfHead && connection.waitedMs >= this.#opts.headReadMs()) this.#refuseHead(socket)
  }

  #checkBody (request: ArrivingRequest, elapsedMs: number): void {
    const { message, response, slow } = request
    request.waitedMs = request.waitedMs === undefined ? 0 : request.waitedMs + elapsedMs
    if (request.waitedMs < this.#opts.bodyReadMs()) return
    // Without an unfinished response the rest of the body is being dropped, and nobody waits for it.
    if (response.writableFinished) message.socket.destroy()
    else if (!slow.signal.aborted) {
      this.#opts.onSlowRequest?.(RequestPart.Body)
      slow.abort(requestTooSlow())
    }
  }

  #refuseHead (socket: Socket): void {
    this.#connections.delete(socket)
    this.#opts.onSlowRequest?.(RequestPart.Head)
    socket.end(this.#opts.slowHeadResponse)
    socket.destroySoon()
  }
}

function openResponses ({ responses }: Connection): ServerResponse[] {
  return responses.filter(({ closed }) => !closed)
}

function requestTooSlow (): ReelspanError {
  return new ReelspanError(ErrorCode.RequestTooSlow, 'the request took too long to arrive')
}

function awaitedBy ({ socket: { bytesRead }, readBytes }: Connection): Awaited {
  if (bytesRead === 0) return Awaited.FirstByte
  return bytesRead - readBytes > LINE_END_BYTES ? Awaited.RestOfHead : Awaited.NextRequest
}
