import { type Clock } from '@reelspan/core.env'
import { TellRate } from '@reelspan/membership.prober'

/** A box was sent no answer by an upstream that it had sent a request, which closed the connection. */
export interface UpstreamReport {
  /** Names the report at all boxes. */
  id: string
  upstream: string
  /** The box that reports it. */
  box: string
  ageMs: number
}

interface Kept {
  box: string
  atMs: number
}

/** Reports of different boxes within this time agree. An upstream that loses one answer in twenty has two of them in one of five such spans, at 28 calls a second; one that is down has them at once. */
const AGREE_MS = 150
/** For so long after the last report that agreed with another one it is passed over: upstreams that go up and down are down for about a second. */
const PASSED_OVER_MS = 1000
/** Reports are remembered for longer than it takes them to reach all boxes. */
const MEMORY_MS = 5000
const MOST_REMEMBERED = 500

/**
 * What boxes tell each other of upstreams that close connections without an answer. Where each box sends an upstream a
 * call every few seconds, each would learn of it by losing one. One box alone may be wrong: its way there may be cut.
 */
export class UpstreamReports {
  readonly #clock: Clock
  /** When each report was heard of, by id, the oldest first. */
  readonly #heard = new Map<string, number>()
  readonly #last = new Map<string, Kept>()
  readonly #passedOverUntilMs = new Map<string, number>()
  /** Two reports that agree are all that is needed of one upstream. */
  readonly #toldOn = new TellRate()

  constructor ({ clock }: { clock: Clock }) {
    this.#clock = clock
  }

  /** Takes a report in. Answers whether others are to be told: it is new here, and they do not know enough yet. */
  add ({ id, upstream, box, ageMs }: UpstreamReport): boolean {
    const nowMs = this.#clock.nowMs()
    this.#forgetOld(nowMs)
    if (this.#heard.has(id) || ageMs > MEMORY_MS) return false
    this.#heard.set(id, nowMs)
    const isNeeded = !this.isFailing(upstream) && this.#toldOn.take(upstream, nowMs)
    const atMs = nowMs - ageMs
    const last = this.#last.get(upstream)
    if (last && last.box !== box && Math.abs(atMs - last.atMs) <= AGREE_MS) this.#passedOverUntilMs.set(upstream, Math.max(atMs, last.atMs) + PASSED_OVER_MS)
    if (!last || atMs >= last.atMs) this.#last.set(upstream, { box, atMs })
    return isNeeded
  }

  /** Whether boxes agree that an upstream fails. A reason to go elsewhere, not a proof. */
  isFailing (upstream: string): boolean {
    return (this.#passedOverUntilMs.get(upstream) ?? 0) > this.#clock.nowMs()
  }

  #forgetOld (nowMs: number): void {
    const old = [...this.#heard].filter(([, heardAtMs], i) => nowMs - heardAtMs > 2 * MEMORY_MS || i < this.#heard.size - MOST_REMEMBERED)
    old.forEach(([id]) => this.#heard.delete(id));
    [...this.#last].filter(([, { atMs }]) => nowMs - atMs > MEMORY_MS).forEach(([upstream]) => {
      this.#last.delete(upstream)
      this.#passedOverUntilMs.delete(upstream)
      this.#toldOn.forget(upstream)
    })
  }
}
