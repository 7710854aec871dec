import { AnswerBuffer, type PausableSource } from '@reelspan/upstream.client'

/** The budget's side of an account. */
export interface ByteAccountEvents {
  onChanged: (account: ByteAccount, deltaBytes: number) => void
  onAssigned: (account: ByteAccount, clientAccount: string) => void
  /** The account holds so many bytes more. */
  onHeld: (deltaBytes: number) => void
  /** Whether the account may hold what it does. */
  mayHold: (account: ByteAccount) => boolean
  onAttached: (account: ByteAccount) => void
  /** The account has no source any more. */
  onDetached: (account: ByteAccount) => void
}

/** The bytes of one answer that its caller has not taken yet. */
export class ByteAccount extends AnswerBuffer {
  readonly #events: ByteAccountEvents
  readonly #sources = new Set<PausableSource>()
  #queuedBytes = 0
  #unsentBytes = 0
  #heldBytes = 0
  #paused = false
  #closed = false
  #clientAccount?: string

  constructor (events: ByteAccountEvents) {
    super()
    this.#events = events
  }

  get clientAccount (): string | undefined {
    return this.#clientAccount
  }

  get usedBytes (): number {
    return this.pausableBytes + this.#heldBytes
  }

  /** The bytes that become fewer when the caller reads. */
  get pausableBytes (): number {
    return this.#queuedBytes + this.#unsentBytes
  }

  /** The bytes of an incomplete event. */
  get heldBytes (): number {
    return this.#heldBytes
  }

  get paused (): boolean {
    return this.#paused
  }

  get hasSource (): boolean {
    return this.#sources.size > 0
  }

  attach (source: PausableSource): void {
    if (this.#closed) return
    this.#sources.add(source)
    if (this.#paused) source.pause()
    else this.#events.onAttached(this)
  }

  detach (source: PausableSource): void {
    if (this.#sources.delete(source) && !this.hasSource) this.#events.onDetached(this)
  }

  charge (bytes: number): void {
    if (this.#closed) return
    this.#queuedBytes += bytes
    this.#events.onChanged(this, bytes)
  }

  release (bytes: number): void {
    if (this.#closed) return
    this.#queuedBytes -= bytes
    this.#events.onChanged(this, -bytes)
  }

  hold (bytes: number): boolean {
    if (this.#closed || bytes === this.#heldBytes) return true
    const deltaBytes = bytes - this.#heldBytes
    this.#heldBytes = bytes
    this.#events.onHeld(deltaBytes)
    this.#events.onChanged(this, deltaBytes)
    return this.#events.mayHold(this)
  }

  /** Sets the bytes that were written for the caller and that the operating system has not taken. */
  setUnsent (bytes: number): void {
    if (this.#closed || bytes === this.#unsentBytes) return
    const deltaBytes = bytes - this.#unsentBytes
    this.#unsentBytes = bytes
    this.#events.onChanged(this, deltaBytes)
  }

  assignTo (clientAccount: string): void {
    if (this.#closed || clientAccount === this.#clientAccount) return
    this.#events.onAssigned(this, clientAccount)
    this.#clientAccount = clientAccount
  }

  /** Frees all bytes, since the answer was taken completely or its caller has disconnected. */
  close (): void {
    if (this.#closed) return
    const { usedBytes } = this
    this.#events.onHeld(-this.#heldBytes)
    this.#queuedBytes = 0
    this.#unsentBytes = 0
    this.#heldBytes = 0
    this.#events.onChanged(this, -usedBytes)
    this.#closed = true
    this.#sources.clear()
    this.#events.onDetached(this)
  }

  /** Called by the budget. */
  pause (): void {
    this.#paused = true
    this.#sources.forEach((source) => source.pause())
  }

  /** Called by the budget. */
  resume (): void {
    this.#paused = false
    this.#sources.forEach((source) => source.resume())
  }
}
