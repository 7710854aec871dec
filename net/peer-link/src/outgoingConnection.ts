import { AsyncQueue, type Clock, raceTimeout, STOPPED, TimedOut } from '@reelspan/core.env'
import { type PeerCallOptions, PeerLinkError, type PeerMessage } from '@reelspan/core.messages'
import { WebSocket } from 'ws'
import { decodeFrame, encodeFrame, FrameKind } from './frame.js'
import { type LinkTraffic } from './linkTraffic.js'
import { MESSAGE_COMPRESSION } from './messageCompression.js'

export interface OutgoingConnectionOptions {
  clock: Clock
  address: string
  maxMessageBytes: number
  idleCloseMs: number
  traffic: LinkTraffic
  onClosed: () => void
}

/** The WebSocket close code of a side that got a message larger than it takes. */
const MESSAGE_TOO_BIG = 1009
/** What the library says of such a message when it comes. */
const OVERSIZE_ERROR = 'WS_ERR_UNSUPPORTED_MESSAGE_LENGTH'

/** One connection to one peer, with any number of exchanges on it. */
export class OutgoingConnection {
  readonly #opts: OutgoingConnectionOptions
  readonly #socket: WebSocket
  readonly #opened: Promise<void>
  readonly #exchanges = new Map<number, AsyncQueue<PeerMessage>>()
  readonly #closed = new AbortController()
  #nextId = 1
  /** An answer was larger than this side takes, as it came or inflated. */
  #tooLarge = false
  #lastUseMs: number

  constructor (opts: OutgoingConnectionOptions) {
    this.#opts = opts
    this.#lastUseMs = opts.clock.nowMs()
    this.#socket = new WebSocket(`ws://${opts.address}`, { maxPayload: opts.maxMessageBytes, perMessageDeflate: MESSAGE_COMPRESSION })
    opts.traffic.connectionsOpened++
    this.#socket.once('upgrade', ({ socket }) => opts.traffic.count(socket))
    this.#opened = new Promise((resolve, reject) => {
      this.#socket.once('open', () => resolve())
      let refused = false
      this.#socket.on('error', ({ code }: NodeJS.ErrnoException) => { refused ||= code === 'ECONNREFUSED' })
      this.#socket.once('close', () => reject(new PeerLinkError(`${opts.address} cannot be reached`, { mayHaveArrived: false, refused })))
    })
    this.#opened.catch(() => {})
    this.#socket.on('message', (data) => this.#receive(data as Buffer))
    this.#socket.on('error', ({ code }: NodeJS.ErrnoException) => { this.#tooLarge ||= code === OVERSIZE_ERROR })
    this.#socket.on('close', (code) => this.#fail(code))
    this.#closeWhenIdle()
  }

  close (): void {
    this.#socket.terminate()
  }

  /** Sends a message and yields what comes back, until its end. */
  async * exchange (message: PeerMessage, isStream: boolean, opts: PeerCallOptions): AsyncGenerator<PeerMessage> {
    const { clock, address } = this.#opts
    const opened = await raceTimeout(clock, this.#opened, opts.timeoutMs)
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
    this.#exchanges.set(id, answers)
    opts.signal?.addEventListener('abort', abort, { once: true })
    let ended = false
    try {
      if (opts.signal?.aborted) abort()
      this.#send(id, isStream ? FrameKind.Stream : FrameKind.Call, message)
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
    this.#socket.send(encodeFrame(id, kind, message))
  }

  #receive (bytes: Buffer): void {
    this.#lastUseMs = this.#opts.clock.nowMs()
    try {
      const { id, kind, message } = decodeFrame(bytes)
      const answers = this.#exchanges.get(id)
      if (kind === FrameKind.Answer && message) answers?.push(message)
      if (kind === FrameKind.End) answers?.end()
    } catch {
      this.close()
    }
  }

  #fail (closeCode: number): void {
    this.#closed.abort()
    const reason = this.#whyClosed(closeCode)
    this.#exchanges.forEach((answers) => answers.fail(new PeerLinkError(reason, { mayHaveArrived: true })))
    this.#opts.onClosed()
  }

  #whyClosed (closeCode: number): string {
    const { address, maxMessageBytes } = this.#opts
    if (this.#tooLarge) return `a message from ${address} is larger than ${maxMessageBytes} bytes`
    if (closeCode === MESSAGE_TOO_BIG) return `a message to ${address} is larger than the peer takes`
    return `the connection to ${address} broke`
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
