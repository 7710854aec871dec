import { type FinalAnswer } from '@reelspan/core.messages'
import { RelayCaller } from '@reelspan/request.relay'

/** A caller of a relayed request that keeps what it gets. */
export class KeepingCaller extends RelayCaller {
  readonly left = new AbortController()
  status?: number
  body = ''
  /** The answer came to its end. */
  whole = false
  /** The connection was cut in the middle of the answer. */
  wasCut = false
  refused?: FinalAnswer

  get signal (): AbortSignal {
    return this.left.signal
  }

  get begun (): boolean {
    return this.status !== undefined
  }

  begin (status: number): void {
    this.status = status
  }

  async write (bytes: Uint8Array): Promise<void> {
    this.body += Buffer.from(bytes).toString()
  }

  finish (): void {
    this.whole = true
  }

  cut (): void {
    this.wasCut = true
  }

  refuse (final: FinalAnswer): void {
    this.refused = final
  }
}
