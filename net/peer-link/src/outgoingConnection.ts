import { type Socket } from 'node:net'
import { AsyncQueue, type Clock, raceTimeout, STOPPED, TimedOut } from '@reelspan/core.env'
import { type PeerCallOptions, PeerLinkError, type PeerMessage } from '@reelspan/core.messages'
import { WebSocket } from 'ws'
import { decodeFrame, encodeFrame, FrameKind } from './frame.js'
import { type LinkTraffic } from './linkTraffic.js'
import { COMPRESSION_THRESHOLD_BYTES, MESSAGE_COMPRESSION } from './messageCompression.js'

export interface OutgoingConnectionOptions {
  clock: Clock
  address: string
  maxMessageBytes: number
  idleCloseMs: number
  traffic: LinkTraffic
  onClosed: () => void
  /** Opens another connection to the same peer, to check whether the peer answers on it. */
  openReplacement: () => OutgoingConnection
  /** This connection has received nothing since `idleSinceMs`, but the peer answers on the replacement, which is used from now on. */
  onUnresponsive: (replacement: OutgoingConnection, idleSinceMs: number) => void
}

/** The WebSocket close code of a side that received a message above its maximum size. */
const MESSAGE_TOO_BIG = 1009
/** The `ws` error code for a received message above the maximum size. */
const TOO_LARGE_ERROR_CODE = 'WS_ERR_UNSUPPORTED_MESSAGE_LENGTH'
/** A connection with a pending exchange that receives nothing for this long is pinged. Peers answer a ping within some milliseconds. */
const PING_AFTER_IDLE_MS = 80
/** Many times the round trip between availability zones, with a margin for a busy box. Together with `PING_AFTER_IDLE_MS` well under a heartbeat's timeout. */
const PONG_TIMEOUT_MS = 120
/** Once a peer answers on one connection, pending data on its other connections arrives within this time. */
const RECOVERY_GRACE_MS = 50
/** A peer decompresses and reads at least this many bytes of uncompressed message per millisecond, even with a third of a core. */
const MIN_PEER_READ_BYTES_PER_MS = 10_000
/**
 * A compressed message may wait for a decompression thread while the peer answers on other connections.
 * With twice as many busy processes as cores, a message of 360 KB took over 250 ms in one of seven runs.
 */
const MAX_PEER_DECOMPRESSION_MS = 1000
/** Bounds the check whether the peer answers on a new connection. A lost SYN is retransmitted only after a second. */
const CONNECT_TIMEOUT_MS = 400

/** The error with which pending exchanges fail when the connection closes. */
interface CloseReason {
  text: string
  silent?: boolean
}

/** The result of opening a replacement for a connection on which nothing is received. */
enum ConnectOutcome {
  Connected,
  Refused,
  Failed,
}

interface Exchange {
  answers: AsyncQueue<PeerMessage>
  failsIfUnresponsive: () => boolean
}

/**
 * One connection to one peer, which carries any number of concurrent exchanges. If
 * nothing is received while an exchange is pending, the peer is pinged. If it does not
 * answer the ping, a second connection is opened: if the peer accepts that, this
 * connection is unresponsive and is closed. If the peer does not accept the second one
 * either, it may just be busy, and exchanges keep waiting until their timeout.
 */
export class OutgoingConnection {
  readonly #opts: OutgoingConnectionOptions
  readonly #webSocket: WebSocket
  readonly #opened: Promise<void>
  readonly #exchanges = new Map<number, Exchange>()
  readonly #closed = new AbortController()
  #nextId = 1
  /** A message above the maximum size was received, as sent or once decompressed. */
  #receivedTooLarge = false
  #lastUsedAtMs: number
  #tcpSocket?: Socket
  /** Exchanges in progress, including those that wait for the connection to open. */
  #activeExchanges = 0
  #monitoring = false
  /** Frames passed to `ws` that have not been written to the socket yet. */
  #unsentFrames = 0
  /** The time by which the peer should have processed everything sent so far. */
  #peerProcessingUntilMs = 0
  #closeReason: CloseReason

  constructor (opts: OutgoingConnectionOptions) {
    this.#opts = opts
    this.#lastUsedAtMs = opts.clock.nowMs()
    this.#closeReason = { text: `the connection to ${opts.address} was closed` }
    this.#webSocket = new WebSocket(`ws://${opts.address}`, { maxPayload: opts.maxMessageBytes, perMessageDeflate: MESSAGE_COMPRESSION })
    opts.traffic.connectionsOpened++
    this.#opened = new Promise((resolve, reject) => {
      this.#webSocket.once('open', () => resolve())
      let refused = false
      this.#webSocket.on('error', ({ code }: NodeJS.ErrnoException) => { refused ||= code === 'ECONNREFUSED' })
      this.#webSocket.once('close', () => reject(new PeerLinkError(`${opts.address} cannot be reached`, { mayHaveArrived: false, refused })))
    })
    this.#opened.catch(() => {})
    this.#webSocket.once('upgrade', ({ socket }) => {
      opts.traffic.count(socket)
      this.#tcpSocket = socket
    })
    this.#webSocket.on('message', (data) => this.#receive(data as Buffer))
    this.#webSocket.on('error', ({ code }: NodeJS.ErrnoException) => { this.#receivedTooLarge ||= code === TOO_LARGE_ERROR_CODE })
    this.#webSocket.on('close', (code) => this.#onClose(code))
    this.#closeWhenIdle()
  }

  /** Whether an exchange is in progress. */
  get busy (): boolean {
    return this.#activeExchanges > 0
  }

  get lastUsedAtMs (): number {
    return this.#lastUsedAtMs
  }

  /** Resolves once the peer has accepted the connection. Throws `PeerLinkError`. */
  opened (): Promise<void> {
    return this.#opened
  }

  close (): void {
    this.#webSocket.terminate()
  }

  /** Sends a message and yields the answers until the exchange ends. */
  async * exchange (message: PeerMessage, isStream: boolean, opts: PeerCallOptions): AsyncGenerator<PeerMessage> {
    this.#activeExchanges++
    try {
      yield * this.#exchange(message, isStream, opts)
    } finally {
      this.#activeExchanges--
    }
  }

  async * #exchange (message: PeerMessage, isStream: boolean, opts: PeerCallOptions): AsyncGenerator<PeerMessage> {
    const { clock, address } = this.#opts
    const { failIfUnresponsive = false } = opts
    const failsIfUnresponsive = typeof failIfUnresponsive === 'function' ? failIfUnresponsive : () => failIfUnresponsive
    const openTimeoutMs = failIfUnresponsive !== false ? Math.min(opts.timeoutMs, CONNECT_TIMEOUT_MS) : opts.timeoutMs
    // Most exchanges start on an open connection, so this avoids a timer for them.
    const opened = this.#webSocket.readyState === WebSocket.OPEN ? undefined : await raceTimeout(clock, this.#opened, openTimeoutMs)
    if (opened === TimedOut) {
      // The peer may be unreachable; the next exchange opens a new connection.
      this.close()
      throw new PeerLinkError(`${address} did not accept a connection in time`, { mayHaveArrived: false })
    }
    const id = this.#nextId++
    const answers = new AsyncQueue<PeerMessage>()
    const fail = (reason: string) => answers.fail(new PeerLinkError(reason, { mayHaveArrived: true }))
    const abort = () => fail('the exchange was cancelled')
    const finished = new AbortController()
    this.#exchanges.set(id, { answers, failsIfUnresponsive })
    opts.signal?.addEventListener('abort', abort, { once: true })
    let completed = false
    try {
      if (opts.signal?.aborted) abort()
      this.#send(id, isStream ? FrameKind.Stream : FrameKind.Call, message)
      void this.#monitorWhileActive()
      void failOnTimeout(clock, answers, { timeoutMs: opts.timeoutMs, finished: finished.signal, fail: () => fail(`${address} did not answer in time`) })
      yield * answers
      completed = true
    } finally {
      finished.abort(STOPPED)
      opts.signal?.removeEventListener('abort', abort)
      this.#exchanges.delete(id)
      if (!completed && isStream) this.#send(id, FrameKind.Abort)
    }
  }

  #send (id: number, kind: FrameKind, message?: PeerMessage): void {
    if (this.#webSocket.readyState !== WebSocket.OPEN) {
      if (message) throw new PeerLinkError(`the connection to ${this.#opts.address} is closed`, { mayHaveArrived: false })
      return
    }
    this.#lastUsedAtMs = this.#opts.clock.nowMs()
    const frame = encodeFrame(id, kind, message)
    this.#unsentFrames++
    // If a frame cannot be sent, the connection closes, and its exchanges fail then.
    this.#webSocket.send(frame, () => this.#recordSent(frame.byteLength))
  }

  #recordSent (bytes: number): void {
    this.#unsentFrames--
    const processingMs = bytes / MIN_PEER_READ_BYTES_PER_MS + (bytes >= COMPRESSION_THRESHOLD_BYTES ? MAX_PEER_DECOMPRESSION_MS : 0)
    this.#peerProcessingUntilMs = Math.max(this.#peerProcessingUntilMs, this.#opts.clock.nowMs() + processingMs)
  }

  /** Whether the peer may still be processing what was sent, so that no answer is expected yet. */
  get #peerMayBeProcessing (): boolean {
    return this.#isCompressing || this.#opts.clock.nowMs() < this.#peerProcessingUntilMs
  }

  /**
   * Whether a frame is being compressed outside the event loop, so that the peer cannot have received it.
   * Frames in the socket's write buffer are already compressed, and may wait there because the connection is unresponsive.
   */
  get #isCompressing (): boolean {
    return this.#unsentFrames > 0 && this.#tcpSocket?.writableLength === 0
  }

  #receive (bytes: Buffer): void {
    this.#lastUsedAtMs = this.#opts.clock.nowMs()
    try {
      const { id, kind, message } = decodeFrame(bytes)
      const answers = this.#exchanges.get(id)?.answers
      if (kind === FrameKind.Answer && message) answers?.push(message)
      if (kind === FrameKind.End) answers?.end()
    } catch {
      this.close()
    }
  }

  #onClose (closeCode: number): void {
    this.#closed.abort()
    const { silent } = this.#closeReason
    const reason = this.#closeErrorMessage(closeCode)
    this.#exchanges.forEach(({ answers }) => answers.fail(new PeerLinkError(reason, { mayHaveArrived: true, silent })))
    this.#opts.onClosed()
  }

  #closeErrorMessage (closeCode: number): string {
    const { address, maxMessageBytes } = this.#opts
    if (this.#receivedTooLarge) return `a message from ${address} is larger than ${maxMessageBytes} bytes`
    if (closeCode === MESSAGE_TOO_BIG) return `a message to ${address} is larger than the peer accepts`
    return this.#closeReason.text
  }

  /** Monitors the connection while exchanges are pending. Does nothing if it is being monitored already. */
  async #monitorWhileActive (): Promise<void> {
    if (this.#monitoring) return
    this.#monitoring = true
    while (this.#exchanges.size > 0 && !this.#closed.signal.aborted) {
      if (await this.#isIdleFor(PING_AFTER_IDLE_MS)) await this.#probe()
    }
    this.#monitoring = false
  }

  /** Whether nothing is received for this long while exchanges are pending and the peer should be able to answer. */
  async #isIdleFor (durationMs: number): Promise<boolean> {
    const { clock } = this.#opts
    const bytesReadBefore = this.#tcpSocket?.bytesRead
    await clock.sleep(durationMs, { signal: this.#closed.signal })
    if (this.#exchanges.size === 0) return false
    // After a pause of this process, data that arrived in time may not have been read yet.
    await clock.awaitPendingInput()
    return this.#tcpSocket?.bytesRead === bytesReadBefore && !this.#closed.signal.aborted && !this.#peerMayBeProcessing
  }

  /** Checks by a ping, and then by a second connection, whether the peer or only this connection is unresponsive. */
  async #probe (): Promise<void> {
    const { clock, address, openReplacement, onUnresponsive } = this.#opts
    const idleSinceMs = clock.nowMs() - PING_AFTER_IDLE_MS
    const bytesReadBefore = this.#tcpSocket?.bytesRead
    this.#webSocket.ping()
    if (!await this.#isIdleFor(PONG_TIMEOUT_MS)) return
    const replacement = openReplacement()
    const outcome = await raceTimeout(clock, connectOutcomeOf(replacement), CONNECT_TIMEOUT_MS)
    // A peer that was only busy answers on both connections once it continues, in any order.
    if (outcome === ConnectOutcome.Connected) await this.#isIdleFor(RECOVERY_GRACE_MS)
    await clock.awaitPendingInput()
    const recovered = this.#tcpSocket?.bytesRead !== bytesReadBefore || this.#closed.signal.aborted || this.#peerMayBeProcessing
    if (recovered || outcome !== ConnectOutcome.Connected) replacement.close()
    if (recovered) return
    if (outcome === ConnectOutcome.Connected) {
      this.#closeReason = { text: `the connection to ${address} became unresponsive`, silent: true }
      onUnresponsive(replacement, idleSinceMs)
    }
    // The process at the other end has exited, or can be reached on the replacement.
    if (outcome === ConnectOutcome.Connected || outcome === ConnectOutcome.Refused) this.close()
    else this.#onPeerUnresponsive()
  }

  /** Fails the exchanges whose callers do not wait for an unresponsive peer. */
  #onPeerUnresponsive (): void {
    const createError = () => new PeerLinkError(`${this.#opts.address} is unresponsive`, { mayHaveArrived: true });
    [...this.#exchanges.values()].filter(({ failsIfUnresponsive }) => failsIfUnresponsive()).forEach(({ answers }) => answers.fail(createError()))
  }

  async #closeWhenIdle (): Promise<void> {
    const { clock, idleCloseMs } = this.#opts
    while (!this.#closed.signal.aborted) {
      await clock.sleep(idleCloseMs, { signal: this.#closed.signal })
      const idle = this.#exchanges.size === 0 && clock.nowMs() - this.#lastUsedAtMs >= idleCloseMs
      if (idle) this.#webSocket.close()
    }
  }
}

async function connectOutcomeOf (replacement: OutgoingConnection): Promise<ConnectOutcome> {
  try {
    await replacement.opened()
    return ConnectOutcome.Connected
  } catch (thrown) {
    return thrown instanceof PeerLinkError && thrown.refused ? ConnectOutcome.Refused : ConnectOutcome.Failed
  }
}

interface ResponseTimeoutOptions {
  timeoutMs: number
  finished: AbortSignal
  fail: () => void
}

/** Fails an exchange that has received nothing for too long. Uses one timer per exchange, no matter how many messages it receives. */
async function failOnTimeout (clock: Clock, answers: AsyncQueue<PeerMessage>, { timeoutMs, finished, fail }: ResponseTimeoutOptions): Promise<void> {
  for (let receivedBefore = -1; !finished.aborted && receivedBefore !== answers.received;) {
    receivedBefore = answers.received
    await clock.sleep(timeoutMs, { signal: finished })
  }
  if (!finished.aborted) fail()
}
