import { ErrorCode, ReelspanError, Verdict } from '@reelspan/core.error'
import { type PeerMessage } from './peerMessage.js'

export interface PeerCallOptions {
  timeoutMs: number
  signal?: AbortSignal
  /** The message does no harm when it arrives twice: it is sent once more, with its whole time, if the connection it was sent on went silent. */
  repeatable?: boolean
  /** Fails as soon as the peer gives no sign of life, on a new connection either. */
  endIfSilent?: boolean
}

/** What a box does with messages of its peers. */
export interface PeerHandler {
  onCall: (message: PeerMessage) => Promise<PeerMessage>
  /** Answers with a stream of messages. The signal is aborted when the asking side goes. */
  onStream: (message: PeerMessage, signal: AbortSignal) => AsyncIterable<PeerMessage>
}

/** Carries messages between boxes. Addresses are `ip:port`. */
export abstract class PeerLink {
  /** Asks a peer and waits for its answer. Throws `PeerLinkError`, or the `ReelspanError` that the peer answered. */
  abstract call (address: string, message: PeerMessage, opts: PeerCallOptions): Promise<PeerMessage>

  /** Asks a peer for a stream. `timeoutMs` is the longest silence. Throws like `call`. */
  abstract stream (address: string, message: PeerMessage, opts: PeerCallOptions): AsyncIterable<PeerMessage>

  abstract serve (handler: PeerHandler): void

  abstract close (): Promise<void>
}

/** The peer did not answer. */
export class PeerLinkError extends ReelspanError {
  /** Whether the peer may have received the message. */
  readonly mayHaveArrived: boolean
  /** The machine answered that no process listens there: the one that did is gone. */
  readonly refused: boolean
  /** The connection went silent, and the peer answers on a new one. */
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
