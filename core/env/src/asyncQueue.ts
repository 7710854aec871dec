/** An unbounded queue between one producer and one consumer. Ends with `end` or `fail`. */
export class AsyncQueue<T> implements AsyncIterable<T> {
  readonly #items: T[] = []
  #wake?: () => void
  #ended = false
  #received = 0
  #failure?: unknown

  /** Items pushed so far. */
  get received (): number {
    return this.#received
  }

  push (item: T): void {
    if (this.#ended) return
    this.#items.push(item)
    this.#received++
    this.#notify()
  }

  end (): void {
    this.#ended = true
    this.#notify()
  }

  fail (failure: unknown): void {
    if (this.#ended) return
    this.#failure = failure
    this.end()
  }

  async * [Symbol.asyncIterator] (): AsyncGenerator<T> {
    while (true) {
      while (this.#items.length > 0) yield this.#items.shift() as T
      if (this.#failure !== undefined) throw this.#failure
      if (this.#ended) return
      await new Promise<void>((resolve) => { this.#wake = resolve })
    }
  }

  #notify (): void {
    this.#wake?.()
    this.#wake = undefined
  }
}
