/** Things that happen to one subject are told of at most so often in a second by one box. */
const MOST_TOLD = 2
const WITHIN_MS = 1000

/** Bounds how often a box tells of one subject: each telling costs every box some messages. */
export class TellRate {
  /** When each subject was told of lately. */
  readonly #toldAtMs = new Map<string, readonly number[]>()

  /** Whether a subject may be told of now, which counts. */
  take (subject: string, nowMs: number): boolean {
    const lately = (this.#toldAtMs.get(subject) ?? []).filter((atMs) => nowMs - atMs < WITHIN_MS)
    const may = lately.length < MOST_TOLD
    this.#toldAtMs.set(subject, may ? [...lately, nowMs] : lately)
    return may
  }

  forget (subject: string): void {
    this.#toldAtMs.delete(subject)
  }
}
