import { AnswerBuffer, type PausableSource } from '@reelspan/upstream.client'

/** Pauses the sources of one answer while more than a window of its bytes has not been read by the delegating box. */
export class WindowBuffer extends AnswerBuffer {
  readonly #windowBytes: number
  readonly #sources = new Set<PausableSource>()
  #queuedBytes = 0
  #unreadBytes = 0
  #paused = false

  constructor (windowBytes: number) {
    super()
    this.#windowBytes = windowBytes
  }

  get full (): boolean {
    return this.#queuedBytes + this.#unreadBytes >= this.#windowBytes
  }

  attach (source: PausableSource): void {
    this.#sources.add(source)
    if (this.#paused) source.pause()
  }

  detach (source: PausableSource): void {
    this.#sources.delete(source)
  }

  charge (bytes: number): void {
    this.#queuedBytes += bytes
    this.#update()
  }

  release (bytes: number): void {
    this.#queuedBytes -= bytes
    this.#update()
  }

  /** Sets the bytes that were sent to the delegating box and not passed on there yet. */
  setUnread (bytes: number): void {
    this.#unreadBytes = bytes
    this.#update()
  }

  /** What is not kept here is kept, and accounted for, by the delegating box. */
  hold (bytes: number): boolean {
    return bytes <= this.#windowBytes
  }

  assignTo (): void {}

  #update (): void {
    if (this.full === this.#paused) return
    this.#paused = this.full
    this.#sources.forEach((source) => this.#paused ? source.pause() : source.resume())
  }
}
