export interface PromisedRetry {
  client: string
  priority: number
  dueAtMs: number
}

/** Due times of the retries that were promised a slot, by client: a client is not delayed by promises to one over its share. */
export class PromisedRetries {
  readonly #retries = new Map<string, PromisedRetry>()

  record (returnKey: string, retry: PromisedRetry): void {
    this.#retries.set(returnKey, retry)
  }

  remove (returnKey: string): void {
    this.#retries.delete(returnKey)
  }

  /** Due times of some of the outstanding retries, sorted. */
  dueAtMs (isCounted: (retry: PromisedRetry) => boolean, nowMs: number): number[] {
    return [...this.#retries.values()]
      .filter((retry) => retry.dueAtMs > nowMs && isCounted(retry))
      .map(({ dueAtMs }) => dueAtMs)
      .sort((a, b) => a - b)
  }

  expire (nowMs: number): void {
    this.#retries.forEach(({ dueAtMs }, returnKey) => {
      if (dueAtMs <= nowMs) this.#retries.delete(returnKey)
    })
  }
}
