import { ByteAccount } from './byteAccount.js'

export interface ByteBudgetOptions {
  totalBytes: number
  /** Called when the budget becomes short, and when it no longer is. */
  onShortChanged?: (short: boolean, usedBytes: number) => void
}

/** What Node reads from a socket at once. It also reads this much ahead of a paused socket. */
export const READ_BYTES = 65_536
/**
 * Answers of one client account together may buffer twice what is free, two thirds of the budget
 * at most, so that an account with many slow callers leaves room for the answers of others.
 */
const ACCOUNT_FACTOR = 2
/**
 * Part of the budget that incomplete events may take together, beyond one read each. Unlike other bytes they do not become
 * fewer when callers read.
 */
const HELD_SHARE = 0.25
/** Four equal answers that nobody reads settle at four fifths of the budget. */
const SHORT_SHARE = 0.75
/** Well below the other share, so that the state does not alternate with each answer. */
const AVAILABLE_SHARE = 0.5
const NO_BYTES = 0

/**
 * Divides a budget of bytes among answers by a dynamic threshold: an answer may buffer as much as is still
 * free. One alone gets half of the budget, n equal ones get one part in n + 1 each, and a new one always finds
 * some free. An answer above its allowance has its sources paused.
 */
export class ByteBudget {
  readonly #opts: ByteBudgetOptions
  readonly #paused = new Set<ByteAccount>()
  readonly #bytesByClient = new Map<string, number>()
  #usedBytes = NO_BYTES
  /** Bytes of incomplete events. */
  #heldBytes = NO_BYTES
  #short = false
  /** The fewest free bytes since paused answers were last checked. */
  #checkedFreeBytes: number

  constructor (opts: ByteBudgetOptions) {
    this.#opts = opts
    this.#checkedFreeBytes = opts.totalBytes
  }

  get totalBytes (): number {
    return this.#opts.totalBytes
  }

  get usedBytes (): number {
    return this.#usedBytes
  }

  get pausedCount (): number {
    return this.#paused.size
  }

  get short (): boolean {
    return this.#short
  }

  open (): ByteAccount {
    return new ByteAccount({
      onChanged: (account, deltaBytes) => this.#adjust(account, deltaBytes),
      mayHold: ({ heldBytes }) => heldBytes <= READ_BYTES || this.#heldBytes <= HELD_SHARE * this.totalBytes,
      onHeld: (deltaBytes) => { this.#heldBytes += deltaBytes },
      onAssigned: (account, clientAccount) => this.#assign(account, clientAccount),
      onAttached: (account) => this.#pauseIfOver(account),
      onDetached: (account) => this.#resume(account),
    })
  }

  /** How many bytes of an answer may be buffered before its sources are paused. One read is always allowed, so that every answer proceeds at the pace of its caller. */
  allowanceOf (account: ByteAccount): number {
    const freeBytes = this.#freeBytes
    const { clientAccount, usedBytes } = account
    const othersBytes = clientAccount === undefined ? NO_BYTES : this.#bytesOf(clientAccount) - usedBytes
    return Math.max(READ_BYTES, Math.min(freeBytes, ACCOUNT_FACTOR * freeBytes - othersBytes))
  }

  get #freeBytes (): number {
    return this.totalBytes - this.#usedBytes
  }

  #bytesOf (clientAccount: string): number {
    return this.#bytesByClient.get(clientAccount) ?? NO_BYTES
  }

  #adjust (account: ByteAccount, deltaBytes: number): void {
    this.#usedBytes += deltaBytes
    this.#adjustClient(account.clientAccount, deltaBytes)
    if (deltaBytes > 0) this.#pauseIfOver(account)
    else this.#resumeWithinAllowance(account)
    this.#checkedFreeBytes = Math.min(this.#checkedFreeBytes, this.#freeBytes)
    this.#updateShort()
  }

  #adjustClient (clientAccount: string | undefined, deltaBytes: number): void {
    if (clientAccount === undefined) return
    const bytes = this.#bytesOf(clientAccount) + deltaBytes
    if (bytes > 0) this.#bytesByClient.set(clientAccount, bytes)
    else this.#bytesByClient.delete(clientAccount)
  }

  #assign (account: ByteAccount, clientAccount: string): void {
    this.#adjustClient(account.clientAccount, -account.usedBytes)
    this.#adjustClient(clientAccount, account.usedBytes)
  }

  #pauseIfOver (account: ByteAccount): void {
    if (account.paused || !account.hasSource || account.pausableBytes <= this.allowanceOf(account)) return
    this.#paused.add(account)
    this.#usedBytes += READ_BYTES
    account.pause()
  }

  /** Checks the other paused answers only after a read's worth of bytes has become free, since each check visits all of them. */
  #resumeWithinAllowance (account: ByteAccount): void {
    this.#resumeIfWithin(account)
    if (this.#freeBytes < this.#checkedFreeBytes + READ_BYTES) return
    this.#checkedFreeBytes = this.#freeBytes;
    [...this.#paused].forEach((paused) => this.#resumeIfWithin(paused))
  }

  /** Resumes one read below the allowance. Upstreams are thereby read often, even for slow callers: they cut off answers that are left unread. */
  #resumeIfWithin (account: ByteAccount): void {
    const allowance = this.allowanceOf(account)
    if (account.paused && account.pausableBytes <= Math.max(allowance - READ_BYTES, allowance / 2)) this.#resume(account)
  }

  #resume (account: ByteAccount): void {
    if (!this.#paused.delete(account)) return
    this.#usedBytes -= READ_BYTES
    account.resume()
    this.#updateShort()
  }

  #updateShort (): void {
    const short = this.#usedBytes >= (this.#short ? AVAILABLE_SHARE : SHORT_SHARE) * this.totalBytes
    if (short === this.#short) return
    this.#short = short
    this.#opts.onShortChanged?.(short, this.#usedBytes)
  }
}
