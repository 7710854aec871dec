import { connect, type Socket } from 'node:net'
import { AsyncQueue, type Clock } from '@reelspan/core.env'
import { splitAddress } from '@reelspan/net.system-env'
import { type AnswerHead, type ExchangeAnswer, type ExchangeRequest } from './exchange.js'
import { ExchangeError } from './exchangeError.js'
import { headerValue } from './rawHeaders.js'
import { ResponseParser } from './responseParser.js'

/** Whether a head belongs to the request that was sent on the connection. */
export type AcceptHead = (head: AnswerHead) => boolean

interface Exchange {
  token: symbol
  /** The answer has a head alone. */
  headOnly: boolean
  accept: AcceptHead
  resolve: (answer: ExchangeAnswer) => void
  reject: (error: ExchangeError) => void
  /** Set once the head has arrived. */
  body?: AsyncQueue<Uint8Array>
  /** The answer at the front belongs to another request and is passed over. */
  skipping: boolean
  reusable: boolean
}

export interface UpstreamConnectionOptions {
  address: string
  /** Which start of the upstream was known to be there when the connection was opened. */
  upstreamStart?: string
  clock: Clock
  /** Nothing runs on the connection any more. Called once an exchange; the connection may be used again if it is `reusable`. */
  onIdle: (connection: UpstreamConnection) => void
  onClosed: (connection: UpstreamConnection) => void
}

/** Where `Keep-Alive` gives no time, idle connections are taken to live this long; commonly used servers close after 5 s or more. */
const DEFAULT_KEEP_ALIVE_MS = 4000
/** A connection that stays idle longer is not used again, whatever its upstream says: nothing would tell that it went silent meanwhile. */
const LONGEST_KEEP_ALIVE_MS = 10_000
/** The operating system asks a silent upstream for a sign of life from then on; with Node's fixed ten probes, one a second, it ends the connection after 11 s. */
const PROBE_AFTER_MS = 1000
const MS_PER_SECOND = 1000
const HEAD = 'HEAD'
const NO_BYTES = new Uint8Array()

/** One connection to an upstream, with at most one exchange at a time. Bytes that no request asked for end it. */
export class UpstreamConnection {
  readonly address: string
  readonly upstreamStart?: string
  readonly #opts: UpstreamConnectionOptions
  readonly #socket: Socket
  readonly #parser: ResponseParser
  readonly #opened: Promise<void>
  #exchange?: Exchange
  #closed = false
  #keepAliveMs = DEFAULT_KEEP_ALIVE_MS
  /** On the clock of whoever uses the connection. */
  idleSinceMs = 0
  #lastSentAtMs = 0
  #heardAtMs: number

  constructor (opts: UpstreamConnectionOptions) {
    this.#heardAtMs = opts.clock.nowMs()
    this.address = opts.address
    this.upstreamStart = opts.upstreamStart
    this.#opts = opts
    this.#socket = connect({ ...splitAddress(opts.address), noDelay: true, allowHalfOpen: true, keepAlive: true, keepAliveInitialDelay: PROBE_AFTER_MS })
    this.#parser = new ResponseParser({
      onHead: (head) => this.#takeHead(head),
      onBody: (bytes) => this.#takeBody(bytes),
      onComplete: () => this.#complete(),
    })
    this.#opened = new Promise((resolve, reject) => {
      this.#socket.once('connect', () => resolve())
      this.#socket.once('close', () => reject(new ExchangeError(`${this.address} cannot be reached`, { mayHaveRun: false, unreachable: true })))
    })
    this.#opened.catch(() => {})
    this.#socket.on('data', (bytes) => this.#receive(bytes))
    this.#socket.on('end', () => this.#finish())
    // Node tells of every error by 'close' too, which is what acts on it.
    this.#socket.on('error', () => {})
    this.#socket.on('close', () => this.#fail('closed the connection'))
  }

  get closed (): boolean {
    return this.#closed
  }

  /** How long the upstream keeps the connection while it is idle. */
  get keepAliveMs (): number {
    return this.#keepAliveMs
  }

  /** When the last request was sent. */
  get lastSentAtMs (): number {
    return this.#lastSentAtMs
  }

  /** When the connection was opened, or something came on it last. */
  get heardAtMs (): number {
    return this.#heardAtMs
  }

  /** How long nothing has come since the request of an exchange that still runs was sent. */
  silentForMs (token: symbol): number {
    const waits = this.#exchange?.token === token && this.#heardAtMs <= this.#lastSentAtMs
    return waits ? this.#opts.clock.nowMs() - this.#lastSentAtMs : 0
  }

  /** Resolves once the connection is open. */
  opened (): Promise<void> {
    return this.#opened
  }

  /** Sends a request and resolves with its answer's head. The token names the exchange, to cancel it by. */
  send (request: ExchangeRequest, accept: AcceptHead, token: symbol): Promise<ExchangeAnswer> {
    return new Promise((resolve, reject) => {
      this.#exchange = { token, headOnly: request.method === HEAD, accept, resolve, reject, skipping: false, reusable: false }
      this.#lastSentAtMs = this.#opts.clock.nowMs()
      this.#socket.cork()
      this.#socket.write(headText(request), 'latin1')
      if (request.body.byteLength > 0) this.#socket.write(request.body)
      this.#socket.uncork()
    })
  }

  /** Ends the connection if the exchange still runs on it. */
  cancel (token: symbol): void {
    if (this.#exchange?.token === token) this.#fail('was given up')
  }

  /** Ends the connection and whatever runs on it. */
  close (reason = 'was given up'): void {
    this.#fail(reason)
  }

  #receive (bytes: Buffer): void {
    this.#heardAtMs = this.#opts.clock.nowMs()
    if (!this.#exchange) return this.#fail('sent bytes that nothing asked for')
    try {
      this.#parser.push(bytes)
    } catch (cause) {
      this.#fail('sent bytes that are not an answer', cause)
    }
  }

  /** Answers whether no body follows. */
  #takeHead (head: { status: number, headers: readonly string[], reusable: boolean }): boolean {
    const exchange = this.#exchange
    // A second answer behind a whole one: the connection is of no more use.
    if (!exchange || exchange.body) throw new Error('an answer that nothing asked for')
    exchange.skipping = !exchange.accept(head)
    if (exchange.skipping) return false
    exchange.reusable = head.reusable && !this.#closed
    this.#noteKeepAlive(head.headers)
    exchange.body = new AsyncQueue()
    exchange.resolve({ status: head.status, headers: head.headers, body: exchange.body })
    return exchange.headOnly
  }

  #takeBody (bytes: Uint8Array): void {
    if (!this.#exchange?.skipping) this.#exchange?.body?.push(bytes)
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
    // Until the whole request is sent, the upstream would take what comes next for the rest of it.
    const sent = this.#socket.writableLength === 0
    // Whatever stands behind the answer in the same read is found before the connection is used again.
    queueMicrotask(() => this.#rest(exchange.reusable && sent))
  }

  #rest (reusable: boolean): void {
    if (this.#closed) return
    if (reusable) this.#opts.onIdle(this)
    else this.close('closes the connection after its answer')
  }

  #noteKeepAlive (headers: readonly string[]): void {
    const seconds = /timeout=(\d+)/.exec(headerValue(headers, 'keep-alive') ?? '')?.[1]
    if (seconds !== undefined) this.#keepAliveMs = Math.min(LONGEST_KEEP_ALIVE_MS, Number(seconds) * MS_PER_SECOND)
  }

  /**
   * No more bytes follow. Node says so too when a reset arrives together with
   * the last bytes; only a write tells the two apart, and one of no bytes does
   * no harm. It matters to an answer that has no length.
   */
  #finish (): void {
    if (!this.#exchange?.body) return this.#fail('ended the connection')
    this.#socket.write(NO_BYTES, (error) => {
      if (!error && !this.#closed) this.#parser.end()
      this.#fail(error ? 'reset the connection' : 'ended the connection')
    })
  }

  #fail (reason: string, cause?: unknown): void {
    if (this.#closed) return
    this.#closed = true
    const exchange = this.#exchange
    this.#exchange = undefined
    this.#socket.destroy()
    this.#opts.onClosed(this)
    if (!exchange) return
    const error = new ExchangeError(`${this.address} ${reason}`, { mayHaveRun: true, unreachable: cause === undefined, cause })
    if (exchange.body) exchange.body.fail(error)
    else exchange.reject(error)
  }
}

function headText ({ method, target, headers, body }: ExchangeRequest): string {
  const lines = headers.reduce((text, part, i) => text + part + (i % 2 === 0 ? ': ' : '\r\n'), '')
  const needsLength = body.byteLength > 0 || method === 'POST' || method === 'PUT' || method === 'PATCH'
  return `${method} ${target} HTTP/1.1\r\n${lines}${needsLength ? `Content-Length: ${body.byteLength}\r\n` : ''}\r\n`
}
