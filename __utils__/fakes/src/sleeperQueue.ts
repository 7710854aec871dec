/** Somebody who sleeps on a virtual clock. */
export interface Sleeper {
  atMs: number
  /** Of those that wake at one moment, who fell asleep first wakes first. */
  order: number
  awake: boolean
  wake: () => void
}

/** Sleepers by the time at which they wake, as a binary heap: where hundreds of boxes run on one clock, thousands sleep at a time. */
export class SleeperQueue {
  readonly #heap: Sleeper[] = []

  put (sleeper: Sleeper): void {
    this.#heap.push(sleeper)
    this.#raise(this.#heap.length - 1)
  }

  /** Who wakes next. */
  first (): Sleeper | undefined {
    while (this.#heap[0]?.awake) this.#removeFirst()
    return this.#heap[0]
  }

  #removeFirst (): void {
    const last = this.#heap.pop() as Sleeper
    if (this.#heap.length === 0) return
    this.#heap[0] = last
    this.#lower(0)
  }

  #raise (at: number): void {
    for (let i = at, parent = (i - 1) >> 1; i > 0 && this.#isBefore(i, parent); i = parent, parent = (i - 1) >> 1) this.#swap(i, parent)
  }

  #lower (at: number): void {
    for (let i = at, child = this.#earlierChild(i); child < this.#heap.length && this.#isBefore(child, i); i = child, child = this.#earlierChild(i)) this.#swap(i, child)
  }

  #earlierChild (i: number): number {
    const left = 2 * i + 1
    return left + 1 < this.#heap.length && this.#isBefore(left + 1, left) ? left + 1 : left
  }

  #isBefore (a: number, b: number): boolean {
    const one = this.#heap[a]
    const other = this.#heap[b]
    return one.atMs < other.atMs || (one.atMs === other.atMs && one.order < other.order)
  }

  #swap (a: number, b: number): void {
    const one = this.#heap[a]
    this.#heap[a] = this.#heap[b]
    this.#heap[b] = one
  }
}
