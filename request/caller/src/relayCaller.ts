import { type FinalAnswer } from '@reelspan/core.messages'
import { type AnswerBuffer } from '@reelspan/upstream.client'

/** The caller side of a relayed request. */
export abstract class RelayCaller {
  /** Aborted when the caller disconnects. */
  abstract get signal (): AbortSignal

  /** Accounts for the part of the answer that the caller has not taken, if it is limited. */
  get buffer (): AnswerBuffer | undefined {
    return undefined
  }

  /** Whether a part of an answer was passed on. */
  abstract get begun (): boolean

  /** Passes on the status and headers of an upstream's answer. */
  abstract begin (status: number, headers: readonly string[]): void

  /** Passes on a part of the body. Resolves when the caller can take more. */
  abstract write (bytes: Uint8Array): Promise<void>

  /** Ends a complete answer. */
  abstract finish (): void

  /** Ends an answer that has begun and is incomplete. The caller must be able to detect this. */
  abstract abort (): void

  /** Sends reelspan's own final answer. Only called when no part of an upstream's answer was passed on. */
  abstract refuse (final: FinalAnswer): void
}
