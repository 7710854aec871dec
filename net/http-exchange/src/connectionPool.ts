import { type Clock, raceTimeout, TimedOut } from '@reelspan/core.env'
import { type ExchangeAnswer, type ExchangeRequest } from './exchange.js'
import { ExchangeError } from './exchangeError.js'
import { type AcceptHead, UpstreamConnection } from './upstreamConnection.js'

export interface ConnectionPoolOptions {
  clock: Clock
  /** A connection must have come up within this time. */
  connectTimeoutMs: number
  /** Open ones, to all upstreams together. */
  maxConnections?: number
  /** How many of an upstream's connections are this box's. No more are kept, since it takes a number of all boxes together. */
  shareOf?: (address: string) => number | undefined
  /** Which start of an upstream is known to be at an address. A connection from before another one came is not used again: what is sent on it may be lost, and nobody could tell. */
  startAt?: (address: string) => string | undefined
  onOpened?: (address: string) => void
}

export interface ExchangeOptions {
  /** Ends the exchange and its connection. */
  signal: AbortSignal
  /** Tells an answer to this request from one to another. */
  accept?: AcceptHead
  /** The request is about to be sent: from here on the upstream may act on it. */
  onSend?: () => void
  /** Opens a new connection for it. */
  fresh?: boolean
}

/** An idle connection is not used in the last part of its life, since the upstream may be closing it. */
const KEEP_ALIVE_MARGIN_MS = 500
/** A kept connection that says nothing to a request for this long, and is given up, may have gone silent, and others with it: several times a usual answer's time. */
const SILENT_AFTER_MS = 250
/** Idle connections kept to one upstream; more were needed only in a burst. */
const MAX_IDLE_PER_UPSTREAM = 32

/** Connections to upstreams, each used for one exchange at a time. Nothing is sent twice. */
export class ConnectionPool {
  readonly #opts: ConnectionPoolOptions
  readonly #idle = new Map<string, UpstreamConnection[]>()
  readonly #open = new Set<UpstreamConnection>()
  /** Open ones to each upstream. */
  readonly #counts = new Map<string, number>()

  constructor (opts: ConnectionPoolOptions) {
    this.#opts = opts
  }

  /** Sends a request once and resolves with its answer's head. Throws `ExchangeError`. */
  async exchange (address: string, request: ExchangeRequest, opts: ExchangeOptions): Promise<ExchangeAnswer> {
    const { signal, accept = () => true, onSend, fresh = false } = opts
    if (signal.aborted) throw new ExchangeError('the exchange was given up', { mayHaveRun: false })
    const kept = fresh ? undefined : this.#takeIdle(address)
    const connection = kept ?? await this.#connect(address, signal)
    if (signal.aborted) {
      this.#keep(connection)
      throw new ExchangeError('the exchange was given up', { mayHaveRun: false })
    }
    const token = Symbol('exchange')
    const cancel = () => {
      const sentAtMs = connection.lastSentAtMs
      const silent = kept !== undefined && connection.silentForMs(token) >= SILENT_AFTER_MS
      connection.cancel(token)
      if (silent) this.distrustKept(sentAtMs, address)
    }
    signal.addEventListener('abort', cancel, { once: true })
    const settle = () => {
      signal.removeEventListener('abort', cancel)
      cancel()
    }
    onSend?.()
    try {
      const answer = await connection.send(request, accept, token)
      return { ...answer, body: settling(answer.body, settle) }
    } catch (thrown) {
      settle()
      throw thrown
    }
  }

  /** Whether the next exchange with an upstream would be on a kept connection. */
  hasKept (address: string): boolean {
    return (this.#idle.get(address) ?? []).some((connection) => this.#isFresh(connection) && this.#leadsToPresentStart(connection))
  }

  close (): void {
    this.#open.forEach((connection) => connection.close())
  }

  /** Closes kept connections on which nothing came since then. */
  distrustKept (sinceMs: number, address?: string): void {
    const known = address === undefined ? [...this.#idle.values()] : [this.#idle.get(address) ?? []]
    known.flat().filter(({ heardAtMs }) => heardAtMs < sinceMs).forEach((connection) => connection.close())
  }

  /** Closes idle connections whose upstream is about to close them, or is not used any more. */
  closeStale (): void {
    this.#idle.forEach((connections, address) => {
      connections.filter((connection) => !this.#isFresh(connection) || !this.#leadsToPresentStart(connection)).forEach((connection) => connection.close())
      if (this.#idle.get(address)?.length === 0) this.#idle.delete(address)
    })
  }

  #takeIdle (address: string): UpstreamConnection | undefined {
    const idle = this.#idle.get(address)
    for (let connection = idle?.pop(); connection; connection = idle?.pop()) {
      if (!connection.closed && this.#isFresh(connection) && this.#leadsToPresentStart(connection)) return connection
      connection.close()
    }
    return undefined
  }

  #isFresh ({ idleSinceMs, keepAliveMs }: UpstreamConnection): boolean {
    return this.#opts.clock.nowMs() - idleSinceMs < keepAliveMs - KEEP_ALIVE_MARGIN_MS
  }

  #leadsToPresentStart ({ address, upstreamStart }: UpstreamConnection): boolean {
    const present = this.#opts.startAt?.(address)
    return upstreamStart === undefined || present === undefined || upstreamStart === present
  }

  async #connect (address: string, signal: AbortSignal): Promise<UpstreamConnection> {
    const { clock, connectTimeoutMs, onOpened } = this.#opts
    this.#makeRoom()
    const connection = new UpstreamConnection({
      address,
      upstreamStart: this.#opts.startAt?.(address),
      clock,
      onIdle: (idle) => this.#keep(idle),
      onClosed: (closed) => this.#forget(closed),
    })
    this.#open.add(connection)
    this.#counts.set(address, (this.#counts.get(address) ?? 0) + 1)
    onOpened?.(address)
    const abort = () => connection.close()
    signal.addEventListener('abort', abort, { once: true })
    try {
      const opened = await raceTimeout(clock, connection.opened(), connectTimeoutMs)
      if (opened !== TimedOut) return connection
    } finally {
      signal.removeEventListener('abort', abort)
    }
    connection.close()
    throw new ExchangeError(`${address} did not accept a connection in time`, { mayHaveRun: false, unreachable: true })
  }

  /** At the limit, the connection that was idle longest gives way. */
  #makeRoom (): void {
    const { maxConnections = Number.POSITIVE_INFINITY } = this.#opts
    if (this.#open.size < maxConnections) return
    const idle = [...this.#idle.values()].flat()
    if (idle.length === 0) throw new ExchangeError(`all ${maxConnections} connections to upstreams are in use`, { mayHaveRun: false, refused: true })
    idle.reduce((oldest, one) => one.idleSinceMs < oldest.idleSinceMs ? one : oldest).close()
  }

  #keep (connection: UpstreamConnection): void {
    const { address } = connection
    const idle = this.#idle.get(address) ?? []
    this.#idle.set(address, idle)
    connection.idleSinceMs = this.#opts.clock.nowMs()
    const open = this.#counts.get(address) ?? 0
    const withinShare = open <= 1 || open <= (this.#opts.shareOf?.(address) ?? Number.POSITIVE_INFINITY)
    if (withinShare && idle.length < MAX_IDLE_PER_UPSTREAM) idle.push(connection)
    else connection.close()
  }

  #forget (connection: UpstreamConnection): void {
    this.#open.delete(connection)
    const left = (this.#counts.get(connection.address) ?? 0) - 1
    if (left > 0) this.#counts.set(connection.address, left)
    else this.#counts.delete(connection.address)
    const idle = this.#idle.get(connection.address)
    if (idle?.includes(connection)) this.#idle.set(connection.address, idle.filter((one) => one !== connection))
  }
}

/** Passes a body on. Whoever stops reading early gives up the exchange. */
async function * settling (body: AsyncIterable<Uint8Array>, settle: () => void): AsyncGenerator<Uint8Array> {
  try {
    yield * body
  } finally {
    settle()
  }
}
