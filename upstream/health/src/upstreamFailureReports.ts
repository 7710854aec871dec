import { type Clock } from '@reelspan/core.env'
import { AnnouncementLimiter } from '@reelspan/membership.prober'

/** Report of a box that an upstream closed the connection without answering a request. */
export interface UpstreamFailureReport {
  /** ID of the report, the same at all boxes. */
  id: string
  upstream: string
  /** The box that reports it. */
  box: string
  ageMs: number
}

interface LastReport {
  box: string
  atMs: number
}

/**
 * Reports of different boxes within this time agree. At 28 calls per second, an upstream that loses one answer in twenty
 * has two such reports in one of five windows; an upstream that is down has them at once.
 */
const AGREEMENT_WINDOW_MS = 150
/** An upstream is avoided for this time after the last report that agreed with another. Flapping upstreams are down for about a second at a time. */
const AVOID_MS = 1000
/** Longer than a report needs to reach all boxes. */
const REPORT_TTL_MS = 5000
const MAX_REPORTS = 500

/**
 * Reports that boxes exchange about upstreams that close connections without an answer. If each box calls an upstream
 * only every few seconds, each box would otherwise detect the failure by losing a call of its own. The report of a
 * single box is not sufficient, since only its own network path may be broken.
 */
export class UpstreamFailureReports {
  readonly #clock: Clock
  /** When each report was received, by ID, oldest first. */
  readonly #receivedAtMs = new Map<string, number>()
  readonly #lastReports = new Map<string, LastReport>()
  readonly #avoidUntilMs = new Map<string, number>()
  /** Limits broadcasts: two reports that agree are sufficient for one upstream. */
  readonly #broadcastRate = new AnnouncementLimiter()

  constructor ({ clock }: { clock: Clock }) {
    this.#clock = clock
  }

  /** Adds a report. Returns whether it should be broadcast: it is new here, and the boxes do not agree on the upstream yet. */
  add ({ id, upstream, box, ageMs }: UpstreamFailureReport): boolean {
    const nowMs = this.#clock.nowMs()
    this.#expire(nowMs)
    if (this.#receivedAtMs.has(id) || ageMs > REPORT_TTL_MS) return false
    this.#receivedAtMs.set(id, nowMs)
    const mayBroadcast = !this.isFailing(upstream) && this.#broadcastRate.tryAcquire(upstream, nowMs)
    const atMs = nowMs - ageMs
    const last = this.#lastReports.get(upstream)
    if (last && last.box !== box && Math.abs(atMs - last.atMs) <= AGREEMENT_WINDOW_MS) this.#avoidUntilMs.set(upstream, Math.max(atMs, last.atMs) + AVOID_MS)
    if (!last || atMs >= last.atMs) this.#lastReports.set(upstream, { box, atMs })
    return mayBroadcast
  }

  /** Whether boxes agree that an upstream fails. This is a reason to prefer other upstreams; it does not prove a failure. */
  isFailing (upstream: string): boolean {
    return (this.#avoidUntilMs.get(upstream) ?? 0) > this.#clock.nowMs()
  }

  #expire (nowMs: number): void {
    const old = [...this.#receivedAtMs].filter(([, receivedAtMs], i) => nowMs - receivedAtMs > 2 * REPORT_TTL_MS || i < this.#receivedAtMs.size - MAX_REPORTS)
    old.forEach(([id]) => this.#receivedAtMs.delete(id));
    [...this.#lastReports].filter(([, { atMs }]) => nowMs - atMs > REPORT_TTL_MS).forEach(([upstream]) => {
      this.#lastReports.delete(upstream)
      this.#avoidUntilMs.delete(upstream)
      this.#broadcastRate.forget(upstream)
    })
  }
}
