import { type Clock } from '@reelspan/core.env'
import { Collection, type Member } from '@reelspan/core.messages'

export type Revisions = Record<Collection, number>

export interface RevisionAnnouncerOptions {
  clock: Clock
  probePeriodMs: number
  /** The revisions in force at this box. */
  revisions: () => Revisions
  watched: () => readonly Member[]
  announce: (member: Member) => Promise<unknown>
  signal: AbortSignal
}

/** Minimum time between two announcements, as a share of the probe period: revisions arrive in bursts. */
const ANNOUNCE_PERIOD_SHARE = 0.5

/** Announces new revisions between probe rounds to the watched members that have not reported them yet. */
export class RevisionAnnouncer {
  readonly #opts: RevisionAnnouncerOptions
  /** Last reported revisions of each member, by incarnation. */
  readonly #reported = new Map<string, Revisions>()
  #announcedAtMs = Number.NEGATIVE_INFINITY
  #announcementPending = false

  constructor (opts: RevisionAnnouncerOptions) {
    this.#opts = opts
  }

  recordReported (incarnation: string, revisions: Revisions): void {
    this.#reported.set(incarnation, revisions)
  }

  forget (incarnation: string): void {
    this.#reported.delete(incarnation)
  }

  /** Announces immediately, or after the minimum interval together with revisions that follow. */
  async announceSoon (): Promise<void> {
    if (this.#announcementPending) return
    const { clock, probePeriodMs, watched, announce, signal } = this.#opts
    this.#announcementPending = true
    const waitMs = this.#announcedAtMs + ANNOUNCE_PERIOD_SHARE * probePeriodMs - clock.nowMs()
    if (waitMs > 0) await clock.sleep(waitMs, { signal })
    this.#announcementPending = false
    if (signal.aborted) return
    this.#announcedAtMs = clock.nowMs()
    await Promise.all(watched().filter((member) => this.#isBehind(member)).map(announce))
  }

  /** Whether a member has not yet reported the revisions in force here. */
  #isBehind ({ incarnation }: Member): boolean {
    const here = this.#opts.revisions()
    const there = this.#reported.get(incarnation)
    return there === undefined || Object.values(Collection).some((collection) => there[collection] < here[collection])
  }
}
