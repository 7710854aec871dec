export interface PromisedRetry {
  client: string
  priority: number
  dueAtMs: number
  /** From this time on it precedes requests that can be in time. */
  precedesAtMs: number
}

/** Retries that were promised a slot, by client: a client is not delayed by promises to one over its share. */
export class PromisedRetries {
  readonly #retries = new Map<string, PromisedRetry>()

  record (returnKey: string, retry: PromisedRetry): void {
    this.#retries.set(returnKey, retry)
  }

  remove (returnKey: string): void {
    this.#retries.delete(returnKey)
  }

  /** Times at which some of the outstanding retries precede requests that can be in time, sorted. */
  precedeAtMs (isCounted: (retry: PromisedRetry) => boolean, nowMs: number): number[] {
    return [...this.#retries.values()]
      .filter((retry) => retry.dueAtMs > nowMs && isCounted(retry))
      .map(({ precedesAtMs }) => precedesAtMs)
      .sort((a, b) => a - b)
  }

  expire (nowMs: number): void {
    this.#retries.forEach(({ dueAtMs }, returnKey) => {
      if (dueAtMs <= nowMs) this.#retries.delete(returnKey)
    })
  }
}
