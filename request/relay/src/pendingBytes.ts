const EMPTY = Buffer.alloc(0)

/** Bytes that are kept until more of them arrive. Its storage doubles, so that adding small parts does not copy what is there each time. */
export class PendingBytes {
  #storage = EMPTY
  #byteLength = 0

  get byteLength (): number {
    return this.#byteLength
  }

  append (bytes: Uint8Array): void {
    const end = this.#byteLength + bytes.byteLength
    if (end > this.#storage.byteLength) {
      const storage = Buffer.allocUnsafeSlow(Math.max(end, 2 * this.#storage.byteLength))
      storage.set(this.#storage.subarray(0, this.#byteLength))
      this.#storage = storage
    }
    this.#storage.set(bytes, this.#byteLength)
    this.#byteLength = end
  }

  /** Returns the bytes and keeps none of them. */
  take (): Uint8Array {
    const bytes = this.#storage.subarray(0, this.#byteLength)
    this.#storage = EMPTY
    this.#byteLength = 0
    return bytes
  }
}
