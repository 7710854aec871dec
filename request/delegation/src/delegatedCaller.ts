import { AsyncQueue, Notifier } from '@reelspan/core.env'
import { type DelegatedEvent, DelegatedEventKind, type FinalAnswer } from '@reelspan/core.messages'
import { RelayCaller } from '@reelspan/request.caller'
import { WindowBuffer } from './windowBuffer.js'

/** Bytes of one answer that may be on their way to the delegating box. */
export const WINDOW_BYTES = 65_536

/** The caller of a request that this box runs for another one: sends the answer there as events. */
export class DelegatedCaller extends RelayCaller {
  readonly events = new AsyncQueue<DelegatedEvent>()
  readonly #disconnected = new AbortController()
  readonly #buffer = new WindowBuffer(WINDOW_BYTES)
  readonly #readNotifier = new Notifier()
  #begun = false
  #sentBytes = 0
  #readBytes = 0

  override get buffer (): WindowBuffer {
    return this.#buffer
  }

  get signal (): AbortSignal {
    return this.#disconnected.signal
  }

  get begun (): boolean {
    return this.#begun
  }

  begin (status: number, headers: readonly string[]): void {
    this.#begun = true
    this.events.push({ kind: DelegatedEventKind.Head, status, headers: [...headers] })
  }

  async write (bytes: Uint8Array): Promise<void> {
    this.#sentBytes += bytes.byteLength
    this.events.push({ kind: DelegatedEventKind.Data, bytes })
    this.#updateUnread()
    while (this.#unreadBytes >= WINDOW_BYTES && !this.signal.aborted) await this.#readNotifier.wait(this.signal)
  }

  finish (): void {
    this.events.push({ kind: DelegatedEventKind.Finished })
  }

  abort (): void {
    this.events.push({ kind: DelegatedEventKind.Aborted, reason: 'the answer was interrupted' })
  }

  refuse (final: FinalAnswer): void {
    this.events.push({ kind: DelegatedEventKind.Refused, final })
  }

  /** Tells the delegating box that the request was sent to an upstream. */
  recordSent (upstream: string, softwareVersion: string): void {
    this.events.push({ kind: DelegatedEventKind.Sent, upstream, softwareVersion })
  }

  /** Called when the delegating box has passed on so many bytes in total. */
  recordRead (totalBytes: number): void {
    this.#readBytes = Math.max(this.#readBytes, totalBytes)
    this.#updateUnread()
    this.#readNotifier.notify()
  }

  /** Called when the delegating box no longer waits for the answer. */
  disconnect (): void {
    this.#disconnected.abort()
  }

  get #unreadBytes (): number {
    return this.#sentBytes - this.#readBytes
  }

  #updateUnread (): void {
    this.#buffer.setUnread(this.#unreadBytes)
  }
}
