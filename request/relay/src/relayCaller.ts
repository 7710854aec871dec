import { type FinalAnswer } from '@reelspan/core.messages'

/** The caller's side of a relayed request. */
export abstract class RelayCaller {
  /** Aborted when the caller has left. */
  abstract get signal (): AbortSignal

  /** Whether a part of an answer was passed on. */
  abstract get begun (): boolean

  /** Passes the head of an upstream's answer on. */
  abstract begin (status: number, headers: readonly string[]): void

  /** Passes a part of the body on. Resolves when more may follow. */
  abstract write (bytes: Uint8Array): Promise<void>

  /** The answer is whole. */
  abstract finish (): void

  /** The answer has begun and will not be whole. The caller must be able to tell. */
  abstract cut (): void

  /** Gives reelspan's own final answer, when nothing of an upstream's was passed on. */
  abstract refuse (final: FinalAnswer): void
}
