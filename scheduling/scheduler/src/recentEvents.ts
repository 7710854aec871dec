/** Times of the events of the last while. */
export class RecentEvents {
  readonly windowMs: number
  #atMs: number[] = []

  constructor (windowMs: number) {
    this.windowMs = windowMs
  }

  note (nowMs: number): void {
    this.#forget(nowMs)
    this.#atMs.push(nowMs)
  }

  /** Events after a time, as far back as the window reaches. */
  countSince (sinceMs: number, nowMs: number): number {
    this.#forget(nowMs)
    return this.#atMs.filter((atMs) => atMs > sinceMs).length
  }

  #forget (nowMs: number): void {
    this.#atMs = this.#atMs.filter((atMs) => atMs > nowMs - this.windowMs)
  }
}
