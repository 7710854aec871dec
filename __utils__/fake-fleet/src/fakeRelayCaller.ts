import { type FinalAnswer } from '@reelspan/core.messages'
import { RelayCaller } from '@reelspan/request.relay'

/** A caller of a relayed request that records its answer. */
export class FakeRelayCaller extends RelayCaller {
  /** Aborted to simulate that the caller disconnects. */
  readonly left = new AbortController()
  status?: number
  body = ''
  /** Whether the answer was received completely. */
  complete = false
  /** Whether the answer was aborted before its end. */
  wasAborted = false
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
    this.complete = true
  }

  abort (): void {
    this.wasAborted = true
  }

  refuse (final: FinalAnswer): void {
    this.refused = final
  }
}
