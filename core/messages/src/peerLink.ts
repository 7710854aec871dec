import { ErrorCode, ReelspanError, Verdict } from '@reelspan/core.error'
import { type PeerMessage } from './peerMessage.js'

export interface PeerCallOptions {
  timeoutMs: number
  signal?: AbortSignal
  /** The message is idempotent: if its connection becomes unresponsive, it is sent again on a new one with the full timeout. */
  repeatable?: boolean
  /** Fails as soon as the peer is found unresponsive on a new connection as well. A function decides once the message was sent. */
  failIfUnresponsive?: boolean | (() => boolean)
}

/** Handles the messages of peers. */
export interface PeerHandler {
  onCall: (message: PeerMessage) => Promise<PeerMessage>
  /** Answers with a stream of messages. The signal is aborted when the asking side disconnects. */
  onStream: (message: PeerMessage, signal: AbortSignal) => AsyncIterable<PeerMessage>
}

/** Carries messages between boxes. Addresses are `ip:port`. */
export abstract class PeerLink {
  /** Sends a message and waits for the answer. Throws `PeerLinkError`, or the `ReelspanError` that the peer returned. */
  abstract call (address: string, message: PeerMessage, opts: PeerCallOptions): Promise<PeerMessage>

  /** Requests a stream. `timeoutMs` is the maximum time without a message. Throws like `call`. */
  abstract stream (address: string, message: PeerMessage, opts: PeerCallOptions): AsyncIterable<PeerMessage>

  abstract serve (handler: PeerHandler): void

  abstract close (): Promise<void>
}

/** The peer did not answer. */
export class PeerLinkError extends ReelspanError {
  /** Whether the peer may have received the message. */
  readonly mayHaveArrived: boolean
  /** The machine refused the connection because no process listens there: the peer's process has exited. */
  readonly refused: boolean
  /** The connection was unresponsive, but the peer answers on a new one. */
  readonly silent: boolean

  constructor (message: string, opts: { mayHaveArrived: boolean, refused?: boolean, silent?: boolean, cause?: unknown }) {
    super(ErrorCode.PeerUnreachable, message, {
      verdict: opts.mayHaveArrived ? Verdict.MayHaveRun : Verdict.NotRun,
      cause: opts.cause,
    })
    this.mayHaveArrived = opts.mayHaveArrived
    this.refused = opts.refused ?? false
    this.silent = opts.silent ?? false
  }
}
