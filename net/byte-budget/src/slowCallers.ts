import { type Clock } from '@reelspan/core.env'
import { ByteBudget } from './byteBudget.js'
import { type CallerReader } from './callerReader.js'
import { findSlowCallers, type SlowCaller, type SlowCallerReason } from './findSlowCallers.js'
import { ObservedCaller } from './observedCaller.js'
import { RunningTime } from './runningTime.js'

export interface SlowCallersOptions {
  clock: Clock
  answerBytes: number
  slowCallerMs: number
  /** Returns how many bytes the operating system has taken for each of these callers and not delivered yet, where that is known. */
  readUndelivered?: (readers: readonly CallerReader[]) => Promise<ReadonlyMap<CallerReader, number>>
  onShortChanged?: (short: boolean, usedBytes: number) => void
  onDisconnected?: (caller: DisconnectedCaller) => void
}

export interface DisconnectedCaller {
  request?: string
  reason: SlowCallerReason
  bufferedBytes: number
  stalledMs: number
  budgetUsedBytes: number
}

/** Short against the seconds after which a caller counts as stalled. */
const CHECK_MS = 250
/** The operating system is asked once a second, and only about callers that have taken nothing for a second. */
const SUSPECT_MS = 1000

/** The answers that a box is sending, the budget for what it buffers of them, and the callers that it disconnects for reading too slowly. */
export class SlowCallers {
  readonly budget: ByteBudget
  readonly #opts: SlowCallersOptions
  readonly #callers = new Set<ObservedCaller>()
  readonly #suspectMs: number
  #checking = false
  #disconnectedCount = 0

  constructor (opts: SlowCallersOptions) {
    this.#opts = opts
    this.#suspectMs = Math.min(SUSPECT_MS, opts.slowCallerMs / 2)
    this.budget = new ByteBudget({ totalBytes: opts.answerBytes, onShortChanged: opts.onShortChanged })
  }

  get disconnectedCount (): number {
    return this.#disconnectedCount
  }

  /** Opens the account of an answer. It must be closed with `close`. */
  open (reader: CallerReader, request?: string): ObservedCaller {
    const caller = new ObservedCaller(this.budget.open(), reader, request)
    this.#callers.add(caller)
    if (!this.#checking) void this.#checkRegularly()
    return caller
  }

  close (caller: ObservedCaller): void {
    this.#callers.delete(caller)
    caller.account.close()
  }

  /** Ends when no answer is open. */
  async #checkRegularly (): Promise<void> {
    const { clock } = this.#opts
    const time = new RunningTime(CHECK_MS, clock.nowMs())
    this.#checking = true
    while (this.#callers.size > 0) {
      await clock.sleep(CHECK_MS)
      // After a pause of this process, callers may have read what it has not noticed yet.
      await clock.awaitPendingInput()
      await this.#check(time.advance(clock.nowMs()))
    }
    this.#checking = false
  }

  async #check (elapsedMs: number): Promise<void> {
    const { slowCallerMs } = this.#opts
    this.#callers.forEach((caller) => caller.refresh(elapsedMs))
    await this.#readUndelivered()
    findSlowCallers([...this.#callers], { short: this.budget.short, slowCallerMs }).forEach((slow) => this.#disconnect(slow))
  }

  async #readUndelivered (): Promise<void> {
    const suspects = [...this.#callers].filter(({ stalledMs, undeliveredAgeMs }) => stalledMs >= this.#suspectMs && undeliveredAgeMs >= this.#suspectMs)
    if (suspects.length === 0) return
    const bytesByReader = await this.#opts.readUndelivered?.(suspects.map(({ reader }) => reader))
    suspects.forEach((caller) => {
      const bytes = bytesByReader?.get(caller.reader)
      if (bytes !== undefined) caller.recordUndelivered(bytes)
    })
    // Some may have read meanwhile.
    this.#callers.forEach((caller) => caller.refresh(0))
  }

  #disconnect ({ caller, reason }: SlowCaller<ObservedCaller>): void {
    const { request, bufferedBytes, stalledMs, reader } = caller
    this.#disconnectedCount++
    this.#opts.onDisconnected?.({ request, reason, bufferedBytes, stalledMs, budgetUsedBytes: this.budget.usedBytes })
    reader.disconnect()
    this.close(caller)
  }
}
