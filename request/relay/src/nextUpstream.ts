import { PoolCallOutcome } from '@reelspan/core.messages'
import { type PermittedUpstream } from './pickPermittedUpstream.js'

/** The upstream of the next attempt at a call, picked in advance. */
export class NextUpstream {
  readonly #pick: () => Promise<PermittedUpstream | undefined>
  #picked?: PermittedUpstream
  #pending?: Promise<boolean>
  #closed = false

  constructor (pick: () => Promise<PermittedUpstream | undefined>) {
    this.#pick = pick
  }

  /** Picks an upstream unless one is picked already. Returns whether there is one. */
  async find (): Promise<boolean> {
    if (this.#picked) return true
    // Several attempts can look for it at once. A second pick would leave the slot and the permit of the first one unreleased.
    this.#pending ??= this.#pickOnce().finally(() => { this.#pending = undefined })
    return this.#pending
  }

  /** Returns the picked upstream, which the caller has to release from then on. */
  take (): PermittedUpstream | undefined {
    const picked = this.#picked
    this.#picked = undefined
    return picked
  }

  /** Releases an upstream that is not needed any more, now or when it is picked. */
  close (): void {
    this.#closed = true
    const picked = this.take()
    picked?.permit.release()
    picked?.slot.release(PoolCallOutcome.NotSent)
  }

  async #pickOnce (): Promise<boolean> {
    this.#picked = await this.#pick()
    if (this.#closed) this.close()
    return this.#picked !== undefined
  }
}
