import { AsyncQueue, type Clock, raceTimeout, STOPPED, TimedOut } from '@reelspan/core.env'
import { type PeerCallOptions, PeerLinkError, type PeerMessage } from '@reelspan/core.messages'
import { WebSocket } from 'ws'
import { decodeFrame, encodeFrame, FrameKind } from './frame.js'
import { type LinkTraffic } from './wsPeerLink.js'

export interface OutgoingConnectionOptions {
  clock: Clock
  address: string
  maxMessageBytes: number
  idleCloseMs: number
  traffic: LinkTraffic
  onClosed: () => void
}

/** One connection to one peer, with any number of exchanges on it. */
export class OutgoingConnection {
  readonly #opts: OutgoingConnectionOptions
  readonly #socket: WebSocket
  readonly #opened: Promise<void>
  readonly #exchanges = new Map<number, AsyncQueue<PeerMessage>>()
  readonly #closed = new AbortController()
  #nextId = 1
  #lastUseMs: number

  constructor (opts: OutgoingConnectionOptions) {
    this.#opts = opts
    this.#lastUseMs = opts.clock.nowMs()
    this.#socket = new WebSocket(`ws://${opts.address}`, { maxPayload: opts.maxMessageBytes, perMessageDeflate: false })
    opts.traffic.connectionsOpened++
    this.#opened = new Promise((resolve, reject) => {
      this.#socket.once('open', () => resolve())
      let refused = false
      this.#socket.on('error', ({ code }: NodeJS.ErrnoException) => { refused ||= code === 'ECONNREFUSED' })
      this.#socket.once('close', () => reject(new PeerLinkError(`${opts.address} cannot be reached`, { mayHaveArrived: false, refused })))
    })
    this.#opened.catch(() => {})
    this.#socket.on('message', (data) => this.#receive(data as Buffer))
    this.#socket.on('close', () => this.#fail())
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
    const bytes = encodeFrame(id, kind, message)
    this.#opts.traffic.sentBytes += bytes.byteLength
    this.#lastUseMs = this.#opts.clock.nowMs()
    this.#socket.send(bytes)
  }

  #receive (bytes: Buffer): void {
    this.#opts.traffic.receivedBytes += bytes.byteLength
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

  #fail (): void {
    this.#closed.abort()
    this.#exchanges.forEach((answers) => answers.fail(new PeerLinkError(`the connection to ${this.#opts.address} broke`, { mayHaveArrived: true })))
    this.#opts.onClosed()
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
