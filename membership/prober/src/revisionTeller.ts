import { type Clock } from '@reelspan/core.env'
import { Collection, type Member } from '@reelspan/core.messages'

export type Revisions = Record<Collection, number>

export interface RevisionTellerOptions {
  clock: Clock
  probePeriodMs: number
  /** Those in force here. */
  revisions: () => Revisions
  watched: () => readonly Member[]
  tell: (member: Member) => Promise<unknown>
  signal: AbortSignal
}

/**
 * Revisions that follow each other are told of together, this part of a probe period apart: where engines
 * go up and down some ten revisions come in a second, and each made every box send four messages. One that
 * comes after a quiet time is told of at once.
 */
const TELL_PERIOD_SHARE = 0.5

/** Tells the watched members of new revisions between the rounds, those that are not known to have them. */
export class RevisionTeller {
  readonly #opts: RevisionTellerOptions
  /** Revisions that members last named. */
  readonly #named = new Map<string, Revisions>()
  #toldAtMs = Number.NEGATIVE_INFINITY
  #isTellingSoon = false

  constructor (opts: RevisionTellerOptions) {
    this.#opts = opts
  }

  noteNamed (incarnation: string, revisions: Revisions): void {
    this.#named.set(incarnation, revisions)
  }

  forget (incarnation: string): void {
    this.#named.delete(incarnation)
  }

  /** At once, or together with others that follow soon. */
  async tellSoon (): Promise<void> {
    if (this.#isTellingSoon) return
    const { clock, probePeriodMs, watched, tell, signal } = this.#opts
    this.#isTellingSoon = true
    const waitMs = this.#toldAtMs + TELL_PERIOD_SHARE * probePeriodMs - clock.nowMs()
    if (waitMs > 0) await clock.sleep(waitMs, { signal })
    this.#isTellingSoon = false
    if (signal.aborted) return
    this.#toldAtMs = clock.nowMs()
    await Promise.all(watched().filter((member) => this.#isBehind(member)).map(tell))
  }

  /** Whether a member has not named the revisions that are in force here. */
  #isBehind ({ incarnation }: Member): boolean {
    const here = this.#opts.revisions()
    const there = this.#named.get(incarnation)
    return there === undefined || Object.values(Collection).some((collection) => there[collection] < here[collection])
  }
}
