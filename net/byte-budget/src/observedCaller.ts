import { type ByteAccount } from './byteAccount.js'
import { type CallerReader } from './callerReader.js'
import { type CallerProgress } from './findSlowCallers.js'

/** A caller's pace is taken over one to two windows of this length, since its system acknowledges in steps. */
const RATE_WINDOW_MS = 5000

interface RateWindow {
  bytes: number
  durationMs: number
}

/** Follows how fast a caller takes its answer. */
export class ObservedCaller implements CallerProgress {
  readonly account: ByteAccount
  readonly reader: CallerReader
  /** Identifies the request in the log. */
  readonly request?: string
  #takenBytes?: number
  /** What the operating system has not delivered to the caller, if it was asked since bytes were last taken. */
  #undeliveredBytes?: number
  #undeliveredAgeMs = Number.POSITIVE_INFINITY
  #stalledMs = 0
  /** Whether nothing was written that the caller had not taken at the last check. */
  #idle = true
  #window: RateWindow = { bytes: 0, durationMs: 0 }
  #previousWindow?: RateWindow

  constructor (account: ByteAccount, reader: CallerReader, request?: string) {
    this.account = account
    this.reader = reader
    this.request = request
    this.#takenBytes = reader.takenBytes
  }

  get bufferedBytes (): number {
    return this.account.usedBytes
  }

  get paused (): boolean {
    return this.account.paused
  }

  get stalledMs (): number {
    return this.#stalledMs
  }

  /** For how long the operating system was not asked what it has not delivered. */
  get undeliveredAgeMs (): number {
    return this.#undeliveredAgeMs
  }

  get bytesPerMs (): number | undefined {
    if (!this.#previousWindow) return undefined
    const { bytes, durationMs } = this.#previousWindow
    return (bytes + this.#window.bytes) / (durationMs + this.#window.durationMs)
  }

  /** Reads the caller's progress `elapsedMs` after the last time. */
  refresh (elapsedMs: number): void {
    const { account, reader } = this
    account.setUnsent(reader.unsentBytes)
    const takenBytes = reader.takenBytes
    const newBytes = takenBytes === undefined ? 0 : takenBytes - (this.#takenBytes ?? takenBytes)
    this.#takenBytes = takenBytes
    this.#undeliveredAgeMs += elapsedMs
    const wasIdle = this.#idle
    // Bytes that wait for this box, or that the upstream has not sent, are not the caller's delay.
    this.#idle = takenBytes === undefined || reader.unsentBytes === 0
    if (newBytes > 0) this.#undeliveredBytes = undefined
    if (this.#idle || wasIdle || newBytes > 0) this.#stalledMs = 0
    else this.#stalledMs += elapsedMs
    if (this.#idle) this.#restartRate()
    else this.#recordRate(newBytes, elapsedMs)
  }

  /**
   * Records what the operating system has not delivered to the caller. If it is less than before, the caller has read.
   * If it is more, the operating system has taken a part of a write that is not complete, for which it had space
   * only because the caller has read.
   */
  recordUndelivered (bytes: number): void {
    const changedBytes = Math.abs((this.#undeliveredBytes ?? bytes) - bytes)
    this.#undeliveredBytes = bytes
    this.#undeliveredAgeMs = 0
    if (changedBytes === 0) return
    this.#stalledMs = 0
    this.#window.bytes += changedBytes
  }

  #recordRate (bytes: number, elapsedMs: number): void {
    this.#window.bytes += bytes
    this.#window.durationMs += elapsedMs
    if (this.#window.durationMs < RATE_WINDOW_MS) return
    this.#previousWindow = this.#window
    this.#window = { bytes: 0, durationMs: 0 }
  }

  #restartRate (): void {
    this.#previousWindow = undefined
    this.#window = { bytes: 0, durationMs: 0 }
  }
}
