const BLOCK_BYTES = 65_536

/** Bytes that are kept until more of them arrive, in blocks, so that adding small parts does not copy what is there each time. */
export class PendingBytes {
  #blocks: Buffer[] = []
  #byteLength = 0
  /** Bytes used of the last block. */
  #lastUsedBytes = 0

  get byteLength (): number {
    return this.#byteLength
  }

  /** Bytes that its blocks take. */
  get capacity (): number {
    return this.#blocks.reduce((sum, { byteLength }) => sum + byteLength, 0)
  }

  append (bytes: Uint8Array): void {
    for (let at = 0; at < bytes.byteLength;) {
      const block = this.#blockFor(bytes.byteLength - at)
      const part = bytes.subarray(at, at + block.byteLength - this.#lastUsedBytes)
      block.set(part, this.#lastUsedBytes)
      this.#lastUsedBytes += part.byteLength
      this.#byteLength += part.byteLength
      at += part.byteLength
    }
  }

  /** Returns the bytes and keeps none of them. */
  take (): Uint8Array {
    const parts = this.#blocks.map((block, i) => i === this.#blocks.length - 1 ? block.subarray(0, this.#lastUsedBytes) : block)
    this.#blocks = []
    this.#byteLength = 0
    this.#lastUsedBytes = 0
    return parts.length === 1 ? parts[0] : Buffer.concat(parts)
  }

  /** The last block if it has room. The first one grows, since most events are small. */
  #blockFor (neededBytes: number): Buffer {
    const last = this.#blocks.at(-1)
    if (last && this.#lastUsedBytes < last.byteLength) return last
    if (last && last.byteLength < BLOCK_BYTES) return this.#growFirst(last, neededBytes)
    const block = Buffer.allocUnsafeSlow(last ? BLOCK_BYTES : Math.min(neededBytes, BLOCK_BYTES))
    this.#blocks.push(block)
    this.#lastUsedBytes = 0
    return block
  }

  #growFirst (first: Buffer, neededBytes: number): Buffer {
    const block = Buffer.allocUnsafeSlow(Math.min(BLOCK_BYTES, Math.max(2 * first.byteLength, first.byteLength + neededBytes)))
    block.set(first)
    this.#blocks = [block]
    return block
  }
}
