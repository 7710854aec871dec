/** Announcements about one subject that one box sends per second. */
const MAX_ANNOUNCEMENTS = 2
const WINDOW_MS = 1000

/** Limits the rate of announcements about each subject, since each one costs every box some messages. */
export class AnnouncementLimiter {
  /** Times of the recent announcements of each subject. */
  readonly #announcedAtMs = new Map<string, readonly number[]>()

  /** Returns whether a subject may be announced now, and if so counts the announcement. */
  tryAcquire (subject: string, nowMs: number): boolean {
    const recent = (this.#announcedAtMs.get(subject) ?? []).filter((atMs) => nowMs - atMs < WINDOW_MS)
    const allowed = recent.length < MAX_ANNOUNCEMENTS
    this.#announcedAtMs.set(subject, allowed ? [...recent, nowMs] : recent)
    return allowed
  }

  forget (subject: string): void {
    this.#announcedAtMs.delete(subject)
  }
}
