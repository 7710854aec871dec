/** A pending timer of a virtual clock. */
export interface Timer {
  atMs: number
  /** Timers with the same time fire in the order in which they were set. */
  order: number
  fired: boolean
  fire: () => void
}

/** Timers by the time at which they fire, as a binary heap, since hundreds of boxes on one clock have thousands of timers at a time. */
export class TimerQueue {
  readonly #heap: Timer[] = []

  add (timer: Timer): void {
    this.#heap.push(timer)
    this.#siftUp(this.#heap.length - 1)
  }

  /** The timer that fires next. */
  first (): Timer | undefined {
    while (this.#heap[0]?.fired) this.#removeFirst()
    return this.#heap[0]
  }

  #removeFirst (): void {
    const last = this.#heap.pop() as Timer
    if (this.#heap.length === 0) return
    this.#heap[0] = last
    this.#siftDown(0)
  }

  #siftUp (at: number): void {
    for (let i = at, parent = (i - 1) >> 1; i > 0 && this.#isBefore(i, parent); i = parent, parent = (i - 1) >> 1) this.#swap(i, parent)
  }

  #siftDown (at: number): void {
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
