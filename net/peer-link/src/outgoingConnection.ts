import { type Socket } from 'node:net'
import { AsyncQueue, type Clock, raceTimeout, STOPPED, TimedOut } from '@reelspan/core.env'
import { type PeerCallOptions, PeerLinkError, type PeerMessage } from '@reelspan/core.messages'
import { WebSocket } from 'ws'
import { decodeFrame, encodeFrame, FrameKind } from './frame.js'
import { type LinkTraffic } from './linkTraffic.js'
import { COMPRESS_FROM_BYTES, MESSAGE_COMPRESSION } from './messageCompression.js'

export interface OutgoingConnectionOptions {
  clock: Clock
  address: string
  maxMessageBytes: number
  idleCloseMs: number
  traffic: LinkTraffic
  onClosed: () => void
  /** Opens another connection to the same peer, to see whether the peer answers there. */
  openAnother: () => OutgoingConnection
  /** Nothing came on this connection since then, while the peer answers on the other one, which takes its place. */
  onSilent: (other: OutgoingConnection, sinceMs: number) => void
}

/** The WebSocket close code of a side that got a message larger than it takes. */
const MESSAGE_TOO_BIG = 1009
/** What the library says of such a message when it comes. */
const OVERSIZE_ERROR = 'WS_ERR_UNSUPPORTED_MESSAGE_LENGTH'
/** Peers answer a ping within some milliseconds; what is outstanding for longer makes a connection worth looking at. */
const QUIET_MS = 80
/** Many times the way between availability zones, with room for a busy box. Together with the above well under a heartbeat's time-out. */
const PONG_MS = 120
/** What a peer that answers has to say on its other connections comes within this time. */
const BOTH_MS = 50
/** A peer decompresses and reads what it got at least as fast, in bytes of the message, also where it has a third of a core. */
const PEER_READS_BYTES_PER_MS = 10_000
/**
 * A compressed message may wait for a thread that decompresses it, while the peer answers on other connections:
 * on a machine with twice as many busy processes as cores one of 360 KB took over 250 ms in one of seven runs.
 */
const PEER_UNPACKS_MS = 1000
/** Whether the peer answers on a new connection is known by then; an opening packet that was lost is sent again only after a second. */
const CONNECT_TIMEOUT_MS = 400

/** What is thrown at the exchanges of a connection that ends. */
interface EndReason {
  text: string
  silent?: boolean
}

/** What became of a connection that was opened beside one on which nothing comes. */
enum Beside {
  Answers,
  Refuses,
  Silent,
}

interface Exchange {
  answers: AsyncQueue<PeerMessage>
  endIfSilent: boolean
}

/**
 * One connection to one peer, with any number of exchanges on it. While one is
 * outstanding and nothing comes, the peer is pinged. If nothing comes then either,
 * another connection is opened: when the peer answers there, this one is dead.
 * A peer that answers nowhere may only be busy, and is waited for.
 */
export class OutgoingConnection {
  readonly #opts: OutgoingConnectionOptions
  readonly #socket: WebSocket
  readonly #opened: Promise<void>
  readonly #exchanges = new Map<number, Exchange>()
  readonly #closed = new AbortController()
  #nextId = 1
  /** An answer was larger than this side takes, as it came or inflated. */
  #tooLarge = false
  #lastUseMs: number
  #stream?: Socket
  /** Exchanges under way, those included that wait for the connection to open. */
  #users = 0
  #watching = false
  /** Frames that are not on their way yet. */
  #unsentFrames = 0
  /** When the peer should have read what was sent. */
  #peerReadsUntilMs = 0
  #endReason: EndReason

  constructor (opts: OutgoingConnectionOptions) {
    this.#opts = opts
    this.#lastUseMs = opts.clock.nowMs()
    this.#endReason = { text: `the connection to ${opts.address} broke` }
    this.#socket = new WebSocket(`ws://${opts.address}`, { maxPayload: opts.maxMessageBytes, perMessageDeflate: MESSAGE_COMPRESSION })
    opts.traffic.connectionsOpened++
    this.#opened = new Promise((resolve, reject) => {
      this.#socket.once('open', () => resolve())
      let refused = false
      this.#socket.on('error', ({ code }: NodeJS.ErrnoException) => { refused ||= code === 'ECONNREFUSED' })
      this.#socket.once('close', () => reject(new PeerLinkError(`${opts.address} cannot be reached`, { mayHaveArrived: false, refused })))
    })
    this.#opened.catch(() => {})
    this.#socket.once('upgrade', ({ socket }) => {
      opts.traffic.count(socket)
      this.#stream = socket
    })
    this.#socket.on('message', (data) => this.#receive(data as Buffer))
    this.#socket.on('error', ({ code }: NodeJS.ErrnoException) => { this.#tooLarge ||= code === OVERSIZE_ERROR })
    this.#socket.on('close', (code) => this.#fail(code))
    this.#closeWhenIdle()
  }

  /** Whether anyone waits for something on it. */
  get busy (): boolean {
    return this.#users > 0
  }

  get lastUseMs (): number {
    return this.#lastUseMs
  }

  /** Resolves once the peer has accepted the connection. Throws `PeerLinkError`. */
  opened (): Promise<void> {
    return this.#opened
  }

  close (): void {
    this.#socket.terminate()
  }

  /** Sends a message and yields what comes back, until its end. */
  async * exchange (message: PeerMessage, isStream: boolean, opts: PeerCallOptions): AsyncGenerator<PeerMessage> {
    this.#users++
    try {
      yield * this.#exchange(message, isStream, opts)
    } finally {
      this.#users--
    }
  }

  async * #exchange (message: PeerMessage, isStream: boolean, opts: PeerCallOptions): AsyncGenerator<PeerMessage> {
    const { clock, address } = this.#opts
    const { endIfSilent = false } = opts
    const openMs = endIfSilent ? Math.min(opts.timeoutMs, CONNECT_TIMEOUT_MS) : opts.timeoutMs
    // Nearly all exchanges find it open, and need no timer for that.
    const opened = this.#socket.readyState === WebSocket.OPEN ? undefined : await raceTimeout(clock, this.#opened, openMs)
    if (opened === TimedOut) {
      // The peer may be cut off; a later exchange starts with a new connection.
      this.close()
      throw new PeerLinkError(`${address} did not accept a connection in time`, { mayHaveArrived: false })
    }
    const id = this.#nextId++
    const answers = new AsyncQueue<PeerMessage>()
    const fail = (reason: string) => answers.fail(new PeerLinkError(reason, { mayHaveArrived: true }))
    const abort = () => fail('the exchange was given up')
    const over = new AbortController()
    this.#exchanges.set(id, { answers, endIfSilent })
    opts.signal?.addEventListener('abort', abort, { once: true })
    let ended = false
    try {
      if (opts.signal?.aborted) abort()
      this.#send(id, isStream ? FrameKind.Stream : FrameKind.Call, message)
      void this.#watchWhileUsed()
      void failWhenSilent(clock, answers, { timeoutMs: opts.timeoutMs, over: over.signal, fail: () => fail(`${address} did not answer in time`) })
      yield * answers
      ended = true
    } finally {
      over.abort(STOPPED)
      opts.signal?.removeEventListener('abort', abort)
      this.#exchanges.delete(id)
      if (!ended && isStream) this.#send(id, FrameKind.Abort)
    }
  }

  #send (id: number, kind: FrameKind, message?: PeerMessage): void {
    if (this.#socket.readyState !== WebSocket.OPEN) {
      if (message) throw new PeerLinkError(`the connection to ${this.#opts.address} is closed`, { mayHaveArrived: false })
      return
    }
    this.#lastUseMs = this.#opts.clock.nowMs()
    const frame = encodeFrame(id, kind, message)
    this.#unsentFrames++
    // A frame that cannot be sent any more ends with its connection, which tells whoever waits.
    this.#socket.send(frame, () => this.#noteSent(frame.byteLength))
  }

  #noteSent (bytes: number): void {
    this.#unsentFrames--
    const readMs = bytes / PEER_READS_BYTES_PER_MS + (bytes >= COMPRESS_FROM_BYTES ? PEER_UNPACKS_MS : 0)
    this.#peerReadsUntilMs = Math.max(this.#peerReadsUntilMs, this.#opts.clock.nowMs() + readMs)
  }

  /** Whether the peer may be at work on what was sent, so that nothing is to be expected of it yet. */
  get #mayBeReading (): boolean {
    return this.#isCompressing || this.#opts.clock.nowMs() < this.#peerReadsUntilMs
  }

  /**
   * Whether a frame is being compressed, beside the event loop, before it goes: the peer cannot answer
   * it yet. What waits to be written has been compressed, and may wait on a connection that is silent.
   */
  get #isCompressing (): boolean {
    return this.#unsentFrames > 0 && this.#stream?.writableLength === 0
  }

  #receive (bytes: Buffer): void {
    this.#lastUseMs = this.#opts.clock.nowMs()
    try {
      const { id, kind, message } = decodeFrame(bytes)
      const answers = this.#exchanges.get(id)?.answers
      if (kind === FrameKind.Answer && message) answers?.push(message)
      if (kind === FrameKind.End) answers?.end()
    } catch {
      this.close()
    }
  }

  #fail (closeCode: number): void {
    this.#closed.abort()
    const { silent } = this.#endReason
    const reason = this.#whyClosed(closeCode)
    this.#exchanges.forEach(({ answers }) => answers.fail(new PeerLinkError(reason, { mayHaveArrived: true, silent })))
    this.#opts.onClosed()
  }

  #whyClosed (closeCode: number): string {
    const { address, maxMessageBytes } = this.#opts
    if (this.#tooLarge) return `a message from ${address} is larger than ${maxMessageBytes} bytes`
    if (closeCode === MESSAGE_TOO_BIG) return `a message to ${address} is larger than the peer takes`
    return this.#endReason.text
  }

  /** One task while something is outstanding. */
  async #watchWhileUsed (): Promise<void> {
    if (this.#watching) return
    this.#watching = true
    while (this.#exchanges.size > 0 && !this.#closed.signal.aborted) {
      if (await this.#staysQuiet(QUIET_MS)) await this.#examine()
    }
    this.#watching = false
  }

  /** Whether nothing comes for a while. */
  async #staysQuiet (forMs: number): Promise<boolean> {
    const { clock } = this.#opts
    const seen = this.#stream?.bytesRead
    await clock.sleep(forMs, { signal: this.#closed.signal })
    if (this.#exchanges.size === 0) return false
    // After a pause of this process, what came in time may still be waiting to be read.
    await clock.settle()
    return this.#stream?.bytesRead === seen && !this.#closed.signal.aborted && !this.#mayBeReading
  }

  /** Finds out why nothing comes. */
  async #examine (): Promise<void> {
    const { clock, address, openAnother, onSilent } = this.#opts
    const sinceMs = clock.nowMs() - QUIET_MS
    const seen = this.#stream?.bytesRead
    this.#socket.ping()
    if (!await this.#staysQuiet(PONG_MS)) return
    const other = openAnother()
    const outcome = await raceTimeout(clock, besideOf(other), CONNECT_TIMEOUT_MS)
    // A peer that was busy for some time answers on both when it is done, in any order.
    if (outcome === Beside.Answers) await this.#staysQuiet(BOTH_MS)
    await clock.settle()
    const cameBack = this.#stream?.bytesRead !== seen || this.#closed.signal.aborted || this.#mayBeReading
    if (cameBack || outcome !== Beside.Answers) other.close()
    if (cameBack) return
    if (outcome === Beside.Answers) {
      this.#endReason = { text: `the connection to ${address} went silent`, silent: true }
      onSilent(other, sinceMs)
    }
    // Whoever had this connection is gone, or lives on another one.
    if (outcome === Beside.Answers || outcome === Beside.Refuses) this.close()
    else this.#endIfSilent()
  }

  #endIfSilent (): void {
    const error = () => new PeerLinkError(`${this.#opts.address} gives no sign of life`, { mayHaveArrived: true });
    [...this.#exchanges.values()].filter(({ endIfSilent }) => endIfSilent).forEach(({ answers }) => answers.fail(error()))
  }

  async #closeWhenIdle (): Promise<void> {
    const { clock, idleCloseMs } = this.#opts
    while (!this.#closed.signal.aborted) {
      await clock.sleep(idleCloseMs, { signal: this.#closed.signal })
      const idle = this.#exchanges.size === 0 && clock.nowMs() - this.#lastUseMs >= idleCloseMs
      if (idle) this.#socket.close()
    }
  }
}

async function besideOf (other: OutgoingConnection): Promise<Beside> {
  try {
    await other.opened()
    return Beside.Answers
  } catch (thrown) {
    return thrown instanceof PeerLinkError && thrown.refused ? Beside.Refuses : Beside.Silent
  }
}

interface SilenceOptions {
  timeoutMs: number
  over: AbortSignal
  fail: () => void
}

/** Fails an exchange that nothing came in on for too long. One timer an exchange, however many parts it has. */
async function failWhenSilent (clock: Clock, answers: AsyncQueue<PeerMessage>, { timeoutMs, over, fail }: SilenceOptions): Promise<void> {
  for (let seen = -1; !over.aborted && seen !== answers.received;) {
    seen = answers.received
    await clock.sleep(timeoutMs, { signal: over })
  }
  if (!over.aborted) fail()
}
