/** Timestamps of events within a sliding window. */
export class RecentEvents {
  readonly windowMs: number
  #atMs: number[] = []

  constructor (windowMs: number) {
    this.windowMs = windowMs
  }

  record (nowMs: number): void {
    this.#expire(nowMs)
    this.#atMs.push(nowMs)
  }

  /** Number of events after a time, limited to the window. */
  countSince (sinceMs: number, nowMs: number): number {
    this.#expire(nowMs)
    return this.#atMs.filter((atMs) => atMs > sinceMs).length
  }

  #expire (nowMs: number): void {
    this.#atMs = this.#atMs.filter((atMs) => atMs > nowMs - this.windowMs)
  }
}
