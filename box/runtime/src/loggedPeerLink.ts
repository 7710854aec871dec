import { type PeerCallOptions, type PeerHandler, PeerLink, type PeerMessage } from '@reelspan/core.messages'
import { LogEvent } from '@reelspan/telemetry.log'
import { type FailureLog } from './failureLog.js'

export interface LoggedPeerLinkOptions {
  link: PeerLink
  failures: FailureLog
  /** The name of the box at an address, if it is known. */
  nameAt: (address: string) => string | undefined
}

/** A link whose failed calls are told of in the log. Callers may get over them without a line of their own. */
export class LoggedPeerLink extends PeerLink {
  readonly #opts: LoggedPeerLinkOptions

  constructor (opts: LoggedPeerLinkOptions) {
    super()
    this.#opts = opts
  }

  async call (address: string, message: PeerMessage, opts: PeerCallOptions): Promise<PeerMessage> {
    const { link, failures, nameAt } = this.#opts
    try {
      return await link.call(address, message, opts)
    } catch (thrown) {
      // A call that this box has ended itself has not failed.
      if (!opts.signal?.aborted) failures.note({ event: LogEvent.PeerCallFailed, call: message.type, target: { peer: nameAt(address), address } }, thrown)
      throw thrown
    }
  }

  /** Streams carry requests, whose own lines tell how they ended. */
  stream (address: string, message: PeerMessage, opts: PeerCallOptions): AsyncIterable<PeerMessage> {
    return this.#opts.link.stream(address, message, opts)
  }

  serve (handler: PeerHandler): void {
    this.#opts.link.serve(handler)
  }

  async close (): Promise<void> {
    await this.#opts.link.close()
  }
}
