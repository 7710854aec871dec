import { connect, type Socket } from 'node:net'
import { type Clock, STOPPED } from '@reelspan/core.env'
import { splitAddress } from '@reelspan/net.system-env'
import { AnswerBound, AnswerBoundExceeded, type ConnectionUse, type PausableSource } from '@reelspan/upstream.client'
import { AnswerBody } from './answerBody.js'
import { checkWhilePaused } from './checkWhilePaused.js'
import { type ConnectionExchange, type ExceededBound, type Exchange } from './connectionExchange.js'
import { type AnswerHead, type ExchangeAnswer, type ExchangeRequest, type RequestIdentity } from './exchange.js'
import { ExchangeError } from './exchangeError.js'
import { headerValue } from './rawHeaders.js'
import { requestHeadText } from './requestHeadText.js'
import { type ParsedHead, ResponseParser } from './responseParser.js'
import { SentRequests } from './sentRequests.js'

export interface UpstreamConnectionOptions {
  address: string
  /** Number of the connection among those of its pool. */
  number: number
  /** The start of the upstream's process that was known to be at the address when the connection was opened. */
  upstreamStartId?: string
  clock: Clock
  /** Called when something was received. */
  onReceived?: () => void
  /** Called when an exchange has ended and the connection can be reused. */
  onIdle: (connection: UpstreamConnection) => void
  onBoundExceeded?: (exceeded: ExceededBound) => void
  /** Called when an answer that belongs to another request is skipped. */
  onForeignAnswer?: (use: ConnectionUse, head: AnswerHead) => void
  onClosed: (connection: UpstreamConnection) => void
}

/** The assumed keep-alive timeout of upstreams that send none. Common servers close idle connections after 5 s or more. */
const DEFAULT_KEEP_ALIVE_MS = 4000
/** A connection that has been idle longer is not reused even if its upstream would keep it: it may have become unresponsive undetected. */
const MAX_KEEP_ALIVE_MS = 10_000
/** The operating system probes an unresponsive upstream from then on. With Node's fixed ten probes, one per second, it closes the connection after 11 s. */
const TCP_KEEP_ALIVE_DELAY_MS = 1000
const MS_PER_SECOND = 1000
const HEAD_METHOD = 'HEAD'
/** Bytes that an upstream may send before the answer to the request. Late answers to other requests are among them. */
const MAX_FOREIGN_BYTES = 1_048_576
const EMPTY_BYTES = new Uint8Array()

/** One connection to an upstream, with at most one exchange at a time. It is closed if bytes arrive while no exchange runs. */
export class UpstreamConnection {
  readonly address: string
  readonly upstreamStartId?: string
  readonly #opts: UpstreamConnectionOptions
  readonly #socket: Socket
  readonly #parser: ResponseParser
  readonly #opened: Promise<void>
  #exchange?: Exchange
  #exchangeCount = 0
  readonly #sentRequests = new SentRequests()
  /** The answer of the last read, which may also have ended in it. */
  #body?: AnswerBody
  #closed = false
  /** Aborted when the connection is no longer paused. */
  #pause?: AbortController
  #keepAliveMs = DEFAULT_KEEP_ALIVE_MS
  /** Set by the pool, on its clock. */
  idleSinceMs = 0
  #lastSentAtMs = 0
  #lastReceivedAtMs: number

  constructor (opts: UpstreamConnectionOptions) {
    this.#lastReceivedAtMs = opts.clock.nowMs()
    this.address = opts.address
    this.upstreamStartId = opts.upstreamStartId
    this.#opts = opts
    this.#socket = connect({ ...splitAddress(opts.address), noDelay: true, allowHalfOpen: true, keepAlive: true, keepAliveInitialDelay: TCP_KEEP_ALIVE_DELAY_MS })
    this.#parser = new ResponseParser({
      onHead: (head) => this.#receiveHead(head),
      onBody: (bytes) => this.#receiveBody(bytes),
      onComplete: () => this.#complete(),
    })
    this.#opened = new Promise((resolve, reject) => {
      this.#socket.once('connect', () => resolve())
      this.#socket.once('close', () => reject(new ExchangeError(`${this.address} cannot be reached`, { mayHaveRun: false, unreachable: true })))
    })
    this.#opened.catch(() => {})
    this.#socket.on('data', (bytes) => this.#receive(bytes))
    this.#socket.on('end', () => this.#onEnd())
    // Node emits 'close' after every error, and that is handled below.
    this.#socket.on('error', () => {})
    this.#socket.on('close', () => this.#fail('closed the connection'))
  }

  get closed (): boolean {
    return this.#closed
  }

  /** The keep-alive timeout of the connection. */
  get keepAliveMs (): number {
    return this.#keepAliveMs
  }

  /** When the last request was sent. */
  get lastSentAtMs (): number {
    return this.#lastSentAtMs
  }

  /** When something was last received, or else when the connection was created. */
  get lastReceivedAtMs (): number {
    return this.#lastReceivedAtMs
  }

  /** How long ago the exchange's request was sent, if the exchange still runs and nothing has been received since; otherwise 0. */
  unansweredForMs (token: symbol): number {
    const isWaiting = this.#exchange?.token === token && this.#lastReceivedAtMs <= this.#lastSentAtMs
    return isWaiting ? this.#opts.clock.nowMs() - this.#lastSentAtMs : 0
  }

  /** The exchange that runs, or ran last. */
  get use (): ConnectionUse {
    return { connection: this.#opts.number, exchange: this.#exchangeCount }
  }

  /**
   * Whether the connection has not carried the request. An upstream in trouble may send an answer a second time,
   * ahead of a later one, and the id does not distinguish it from the answer to another send of the same request.
   */
  canCarry (identity?: RequestIdentity): boolean {
    return !identity || !this.#sentRequests.has(identity.id, this.#opts.clock.nowMs())
  }

  /** Whether it cannot remember another request, and so must not carry one. */
  get isExhausted (): boolean {
    this.#sentRequests.removeEnded(this.#opts.clock.nowMs())
    return this.#sentRequests.isFull
  }

  /** Resolves once the connection is open. */
  opened (): Promise<void> {
    return this.#opened
  }

  /** Sends a request and resolves when the head of its answer has arrived. */
  send (request: ExchangeRequest, exchange: ConnectionExchange): Promise<ExchangeAnswer> {
    return new Promise((resolve, reject) => {
      this.#exchange = { ...exchange, headOnly: request.method === HEAD_METHOD, resolve, reject, skipping: false, reusable: false, readBytes: 0, bodyBytes: 0 }
      this.#exchangeCount++
      if (exchange.identity) this.#sentRequests.add(exchange.identity)
      this.#lastSentAtMs = this.#opts.clock.nowMs()
      this.#socket.cork()
      this.#socket.write(requestHeadText(request), 'latin1')
      if (request.body.byteLength > 0) this.#socket.write(request.body)
      this.#socket.uncork()
    })
  }

  /** Closes the connection if the exchange still runs on it. */
  cancel (token: symbol): void {
    if (this.#exchange?.token === token) this.#fail('had not completed its answer when the exchange was cancelled')
  }

  /** Closes the connection. An exchange that runs on it fails. */
  close (reason = 'had not completed its answer when the connection was closed'): void {
    this.#fail(reason)
  }

  #receive (bytes: Buffer): void {
    this.#lastReceivedAtMs = this.#opts.clock.nowMs()
    this.#opts.onReceived?.()
    const exchange = this.#exchange
    if (!exchange) return this.#fail('sent data without a request')
    exchange.readBytes += bytes.byteLength
    try {
      this.#parser.push(bytes)
      if (this.#exchange === exchange && !exchange.body && exchange.readBytes > MAX_FOREIGN_BYTES) throw new AnswerBoundExceeded(AnswerBound.Foreign, MAX_FOREIGN_BYTES)
    } catch (cause) {
      this.#failInvalid(exchange, cause)
    }
    this.#body?.endRead(bytes.byteLength)
    if (!this.#exchange) this.#body = undefined
  }

  /** Returns whether no body follows. */
  #receiveHead (head: ParsedHead): boolean {
    const exchange = this.#exchange
    // A second answer follows a complete one, so the connection cannot be reused.
    if (!exchange || exchange.body) throw new Error('an answer without a request')
    exchange.skipping = !exchange.accept(head, this.use)
    if (exchange.skipping) {
      this.#opts.onForeignAnswer?.(this.use, head)
      return false
    }
    exchange.reusable = head.reusable && !this.#closed
    this.#readKeepAlive(head.headers)
    exchange.body = new AnswerBody(this.#pausableSource(), exchange.buffer)
    this.#body = exchange.body
    exchange.resolve({ status: head.status, headers: head.headers, framing: head.framing, use: this.use, body: exchange.body })
    return exchange.headOnly
  }

  #receiveBody (bytes: Uint8Array): void {
    const exchange = this.#exchange
    if (!exchange?.body || exchange.skipping) return
    const { maxBodyBytes = Number.POSITIVE_INFINITY } = exchange
    exchange.bodyBytes += bytes.byteLength
    if (exchange.bodyBytes > maxBodyBytes) throw new AnswerBoundExceeded(AnswerBound.Body, maxBodyBytes)
    exchange.body.push(bytes)
  }

  #complete (): void {
    const exchange = this.#exchange
    if (!exchange) return
    if (exchange.skipping) {
      exchange.skipping = false
      return
    }
    this.#exchange = undefined
    exchange.body?.end()
    this.#resume()
    // If the request has not been sent completely, the upstream would read the next one as the rest of this one.
    const sent = this.#socket.writableLength === 0
    // Bytes after the answer in the same read are parsed before the connection is reused.
    queueMicrotask(() => this.#releaseOrClose(exchange.reusable && sent && this.#parser.isBetweenAnswers))
  }

  #releaseOrClose (reusable: boolean): void {
    if (this.#closed) return
    if (reusable) this.#opts.onIdle(this)
    else this.close('closes the connection after its answer')
  }

  #readKeepAlive (headers: readonly string[]): void {
    const seconds = /timeout=(\d+)/.exec(headerValue(headers, 'keep-alive') ?? '')?.[1]
    if (seconds !== undefined) this.#keepAliveMs = Math.min(MAX_KEEP_ALIVE_MS, Number(seconds) * MS_PER_SECOND)
  }

  #pausableSource (): PausableSource {
    return {
      pause: () => {
        if (this.#pause || this.#closed) return
        this.#pause = new AbortController()
        this.#socket.pause()
        void checkWhilePaused(this.#socket, this.#opts.clock, this.#pause.signal)
      },
      resume: () => this.#resume(),
    }
  }

  #resume (): void {
    if (!this.#pause) return
    this.#pause.abort(STOPPED)
    this.#pause = undefined
    this.#socket.resume()
  }

  /**
   * The upstream will send no more. Node also emits 'end' if a reset arrives together
   * with the last bytes. Only a write, here an empty one, distinguishes the two: an
   * answer without a length is complete only if the connection was not reset.
   */
  #onEnd (): void {
    if (!this.#exchange?.body) return this.#fail('ended the connection')
    this.#socket.write(EMPTY_BYTES, (error) => {
      if (!error && !this.#closed) this.#parser.end()
      this.#fail(error ? 'reset the connection' : 'ended the connection')
    })
  }

  #failInvalid ({ readBytes }: Exchange, cause: unknown): void {
    if (!(cause instanceof AnswerBoundExceeded)) return this.#fail('sent an invalid HTTP answer', cause)
    if (!this.#closed) this.#opts.onBoundExceeded?.({ bound: cause.bound, limit: cause.limit, readBytes })
    this.#fail(`sent ${readBytes} bytes: ${cause.message}`, cause)
  }

  #fail (reason: string, cause?: unknown): void {
    if (this.#closed) return
    this.#closed = true
    const exchange = this.#exchange
    this.#exchange = undefined
    this.#pause?.abort(STOPPED)
    this.#socket.destroy()
    this.#opts.onClosed(this)
    if (!exchange) return
    const error = new ExchangeError(`${this.address} ${reason}`, { mayHaveRun: true, unreachable: cause === undefined, cause })
    if (exchange.body) exchange.body.fail(error)
    else exchange.reject(error)
  }
}
