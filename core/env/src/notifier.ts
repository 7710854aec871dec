/** Notifies all tasks that wait for a change. */
export class Notifier {
  readonly #waiting = new Set<() => void>()

  /** Resolves at the next `notify`, or as soon as the signal is aborted. */
  wait (signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve()
    return new Promise((resolve) => {
      const done = () => {
        this.#waiting.delete(done)
        signal?.removeEventListener('abort', done)
        resolve()
      }
      this.#waiting.add(done)
      signal?.addEventListener('abort', done, { once: true })
    })
  }

  notify (): void {
    [...this.#waiting].forEach((wake) => wake())
  }
}
