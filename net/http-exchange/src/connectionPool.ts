import { type Clock, raceTimeout, TimedOut } from '@reelspan/core.env'
import { type AnswerBuffer, type ConnectionUse } from '@reelspan/upstream.client'
import { type AnswerHead, type ExchangeAnswer, type ExchangeRequest, type RequestIdentity } from './exchange.js'
import { ExchangeError } from './exchangeError.js'
import { type AcceptHead, type ExceededBound } from './connectionExchange.js'
import { UpstreamConnection } from './upstreamConnection.js'

export interface ConnectionPoolOptions {
  clock: Clock
  /** The timeout for opening a connection. */
  connectTimeoutMs: number
  /** The maximum number of open connections to all upstreams together. */
  maxConnections?: number
  /** This box's share of the connections that an upstream accepts from all boxes together. No more than these are kept open. */
  connectionShareOf?: (address: string) => number | undefined
  /** Identifies the start of the upstream's process that is known to be at an address. A connection to an earlier start is not reused: a request sent on it may be lost undetected. */
  startIdAt?: (address: string) => string | undefined
  onOpened?: (address: string) => void
  /** Called when an upstream has sent something. */
  onReceived?: (address: string) => void
  /** Called when an upstream has refused a connection, or has not accepted it in time. */
  onConnectFailed?: (address: string) => void
  /** Called when an exchange was ended since its answer exceeds a bound. */
  onBoundExceeded?: (address: string, exceeded: ExceededBound) => void
  /** Called when an answer that belongs to another request than the one sent is skipped. */
  onForeignAnswer?: (address: string, use: ConnectionUse, head: AnswerHead) => void
}

export interface ExchangeOptions {
  /** Cancels the exchange and closes its connection. */
  signal: AbortSignal
  /** Identifies the request, which may be sent again. The answers to two sends with one id cannot be distinguished, so each goes out on a connection of its own. */
  identity?: RequestIdentity
  /** Whether an answer belongs to this request and not to another one. */
  accept?: AcceptHead
  /** Accounts for the bytes of the answer that are received and not read yet, and pauses the connection when there are too many. Without it they are not limited. */
  buffer?: AnswerBuffer
  /** The maximum size of the answer's body, for answers that are read to their end. Without it any is accepted. */
  maxBodyBytes?: number
  /** Called just before the request is sent. From then on the upstream may run it. */
  onSend?: () => void
  /** Opens a new connection instead of reusing an idle one. */
  forceNewConnection?: boolean
}

/** An idle connection is not reused this close to its keep-alive timeout, since the upstream may already be closing it. */
const KEEP_ALIVE_MARGIN_MS = 500
/** If an exchange on a reused connection is cancelled after it received nothing for this long, several times a typical response time, the upstream's other idle connections may be unresponsive too. */
const UNRESPONSIVE_AFTER_MS = 250
/** The maximum number of idle connections kept to one upstream; more are needed only in bursts. */
const MAX_IDLE_PER_UPSTREAM = 32

/** Pools connections to upstreams, each used for one exchange at a time. Sends a request once for each call, and never twice on one connection. */
export class ConnectionPool {
  readonly #opts: ConnectionPoolOptions
  readonly #idleConnections = new Map<string, UpstreamConnection[]>()
  readonly #openConnections = new Set<UpstreamConnection>()
  /** The number of open connections to each upstream. */
  readonly #openCounts = new Map<string, number>()
  #openedCount = 0

  constructor (opts: ConnectionPoolOptions) {
    this.#opts = opts
  }

  /** Sends a request once and resolves when the head of its answer has arrived. Throws `ExchangeError`. */
  async exchange (address: string, request: ExchangeRequest, opts: ExchangeOptions): Promise<ExchangeAnswer> {
    const { signal, identity, accept = () => true, buffer, maxBodyBytes, onSend, forceNewConnection = false } = opts
    if (signal.aborted) throw new ExchangeError('the exchange was cancelled', { mayHaveRun: false })
    const idleConnection = forceNewConnection ? undefined : this.#acquireIdle(address, identity)
    const connection = idleConnection ?? await this.#connect(address, signal)
    if (signal.aborted) {
      this.#keepIdleOrClose(connection)
      throw new ExchangeError('the exchange was cancelled', { mayHaveRun: false })
    }
    const token = Symbol('exchange')
    const cancel = () => {
      const sentAtMs = connection.lastSentAtMs
      const unresponsive = idleConnection !== undefined && connection.unansweredForMs(token) >= UNRESPONSIVE_AFTER_MS
      connection.cancel(token)
      if (unresponsive) this.closeIdleInactiveSince(sentAtMs, address)
    }
    signal.addEventListener('abort', cancel, { once: true })
    const finish = () => {
      signal.removeEventListener('abort', cancel)
      cancel()
    }
    onSend?.()
    try {
      const answer = await connection.send(request, { token, identity, accept, buffer, maxBodyBytes })
      return { ...answer, body: finishAfterReading(answer.body, finish) }
    } catch (thrown) {
      finish()
      throw thrown
    }
  }

  /** Whether the next exchange with an upstream would reuse an idle connection. */
  hasIdle (address: string): boolean {
    return (this.#idleConnections.get(address) ?? []).some((connection) => this.#isReusable(connection))
  }

  close (): void {
    this.#openConnections.forEach((connection) => connection.close())
  }

  /** Closes idle connections that have received nothing since `sinceMs`. */
  closeIdleInactiveSince (sinceMs: number, address?: string): void {
    const candidates = address === undefined ? [...this.#idleConnections.values()] : [this.#idleConnections.get(address) ?? []]
    candidates.flat().filter(({ lastReceivedAtMs }) => lastReceivedAtMs < sinceMs).forEach((connection) => connection.close())
  }

  /** Closes idle connections that are close to their keep-alive timeout or lead to an earlier start of their upstream. */
  closeStale (): void {
    this.#idleConnections.forEach((connections, address) => {
      connections.filter((connection) => !this.#isReusable(connection)).forEach((connection) => connection.close())
      if (this.#idleConnections.get(address)?.length === 0) this.#idleConnections.delete(address)
    })
  }

  /** Returns the connection that became idle last, of those that can carry the request. */
  #acquireIdle (address: string, identity?: RequestIdentity): UpstreamConnection | undefined {
    const candidates = this.#idleConnections.get(address) ?? []
    candidates.filter((connection) => !this.#isReusable(connection)).forEach((connection) => connection.close())
    const idle = this.#idleConnections.get(address) ?? []
    const acquired = idle.findLast((connection) => connection.canCarry(identity))
    if (acquired) this.#idleConnections.set(address, idle.filter((connection) => connection !== acquired))
    return acquired
  }

  #isReusable (connection: UpstreamConnection): boolean {
    return this.#isWithinKeepAlive(connection) && this.#isToCurrentStart(connection)
  }

  #isWithinKeepAlive ({ idleSinceMs, keepAliveMs }: UpstreamConnection): boolean {
    return this.#opts.clock.nowMs() - idleSinceMs < keepAliveMs - KEEP_ALIVE_MARGIN_MS
  }

  #isToCurrentStart ({ address, upstreamStartId }: UpstreamConnection): boolean {
    const currentStartId = this.#opts.startIdAt?.(address)
    return upstreamStartId === undefined || currentStartId === undefined || upstreamStartId === currentStartId
  }

  async #connect (address: string, signal: AbortSignal): Promise<UpstreamConnection> {
    const { clock, connectTimeoutMs, onOpened, onReceived, onBoundExceeded, onForeignAnswer } = this.#opts
    this.#evictIdleIfFull()
    const connection = new UpstreamConnection({
      address,
      number: ++this.#openedCount,
      upstreamStartId: this.#opts.startIdAt?.(address),
      clock,
      onReceived: () => onReceived?.(address),
      onBoundExceeded: (exceeded) => onBoundExceeded?.(address, exceeded),
      onForeignAnswer: (use, head) => onForeignAnswer?.(address, use, head),
      onIdle: (idle) => this.#keepIdleOrClose(idle),
      onClosed: (closed) => this.#remove(closed),
    })
    this.#openConnections.add(connection)
    this.#openCounts.set(address, (this.#openCounts.get(address) ?? 0) + 1)
    onOpened?.(address)
    const abort = () => connection.close()
    signal.addEventListener('abort', abort, { once: true })
    try {
      const opened = await raceTimeout(clock, connection.opened(), connectTimeoutMs)
      if (opened !== TimedOut) return connection
    } catch (thrown) {
      if (!signal.aborted) this.#opts.onConnectFailed?.(address)
      throw thrown
    } finally {
      signal.removeEventListener('abort', abort)
    }
    this.#opts.onConnectFailed?.(address)
    connection.close()
    throw new ExchangeError(`${address} did not accept a connection in time`, { mayHaveRun: false, unreachable: true })
  }

  /** At the limit, closes the connection that has been idle longest. Throws `ExchangeError` if none is idle. */
  #evictIdleIfFull (): void {
    const { maxConnections = Number.POSITIVE_INFINITY } = this.#opts
    if (this.#openConnections.size < maxConnections) return
    const idle = [...this.#idleConnections.values()].flat()
    if (idle.length === 0) throw new ExchangeError(`all ${maxConnections} connections to upstreams are in use`, { mayHaveRun: false, refused: true })
    idle.reduce((oldest, one) => one.idleSinceMs < oldest.idleSinceMs ? one : oldest).close()
  }

  #keepIdleOrClose (connection: UpstreamConnection): void {
    const { address } = connection
    const idle = this.#idleConnections.get(address) ?? []
    this.#idleConnections.set(address, idle)
    connection.idleSinceMs = this.#opts.clock.nowMs()
    const open = this.#openCounts.get(address) ?? 0
    const withinShare = open <= 1 || open <= (this.#opts.connectionShareOf?.(address) ?? Number.POSITIVE_INFINITY)
    if (withinShare && idle.length < MAX_IDLE_PER_UPSTREAM && !connection.isExhausted) idle.push(connection)
    else connection.close()
  }

  #remove (connection: UpstreamConnection): void {
    this.#openConnections.delete(connection)
    const remaining = (this.#openCounts.get(connection.address) ?? 0) - 1
    if (remaining > 0) this.#openCounts.set(connection.address, remaining)
    else this.#openCounts.delete(connection.address)
    const idle = this.#idleConnections.get(connection.address)
    if (idle?.includes(connection)) this.#idleConnections.set(connection.address, idle.filter((one) => one !== connection))
  }
}

/** Yields a body's chunks, then calls `finish`. A reader that stops early thereby cancels the exchange. */
async function * finishAfterReading (body: AsyncIterable<Uint8Array>, finish: () => void): AsyncGenerator<Uint8Array> {
  try {
    yield * body
  } finally {
    finish()
  }
}
