import { type PeerCallOptions, type PeerHandler, PeerLink, type PeerMessage } from '@reelspan/core.messages'
import { LogEvent } from '@reelspan/telemetry.log'
import { type FailureLog } from './failureLog.js'

export interface LoggedPeerLinkOptions {
  link: PeerLink
  failures: FailureLog
  /** The name of the box at an address, if it is known. */
  nameAt: (address: string) => string | undefined
}

/** A peer link that logs failed calls, so that callers can recover from them without logging. */
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
      // A call that this box aborted is not a failure.
      if (!opts.signal?.aborted) failures.recordCall({ event: LogEvent.PeerCallFailed, call: message.type, target: { peer: nameAt(address), address } }, thrown)
      throw thrown
    }
  }

  /** Failures are not logged here: streams carry requests, and the owner or the relay logs how each request ended. */
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
