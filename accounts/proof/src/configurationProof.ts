import { type Clock } from '@reelspan/core.env'

/** A configuration of this revision, or a higher one, was the newest at some moment that is at most so long ago. */
export interface ToldProof {
  revision: number
  ageMs: number
}

export interface ConfigurationProofOptions {
  clock: Clock
  /** Of the configuration in force here. */
  revision: () => number
  /** A proof that is older is worth nothing. Without it none is needed. */
  boundMs?: number
}

/** Proofs of revisions that are not in force here yet; they follow each other within seconds, if at all. */
const MAX_AHEAD = 8

/**
 * Proof that the configuration in force here was the newest at some moment, and how long ago that was on this box's
 * clock. Whoever acts on it knows that what was taken away before then is not in force here any more.
 */
export class ConfigurationProof {
  readonly #opts: ConfigurationProofOptions
  /** When each revision was last known to be the newest. */
  readonly #provedAtMs = new Map<number, number>()
  /** What was asked before then proves nothing. */
  #validFromMs = Number.NEGATIVE_INFINITY

  constructor (opts: ConfigurationProofOptions) {
    this.#opts = opts
  }

  /** Whether proof is asked for at all. */
  get isNeeded (): boolean {
    return this.#opts.boundMs !== undefined
  }

  /** How old the proof is; infinite without one. */
  get ageMs (): number {
    return this.#opts.clock.nowMs() - this.#atMs()
  }

  /** Whether the configuration in force here is new enough. */
  holds (): boolean {
    const { boundMs } = this.#opts
    return boundMs === undefined || this.ageMs < boundMs
  }

  /** What this box can tell a peer that asks. */
  get told (): ToldProof | undefined {
    const { ageMs } = this
    return this.isNeeded && Number.isFinite(ageMs) ? { revision: this.#opts.revision(), ageMs } : undefined
  }

  /** The platform said that this is the newest revision. It counts from when it was asked, since its answer may have been under way for long. */
  noteRead (revision: number, askedAtMs: number): void {
    if (askedAtMs < this.#validFromMs) return
    this.#provedAtMs.set(revision, Math.max(askedAtMs, this.#provedAtMs.get(revision) ?? askedAtMs))
    this.#forgetNeedless()
  }

  /** A peer answered a question that was sent at `askedAtMs`: its proof was that old then, or older. */
  hear ({ revision, ageMs }: ToldProof, askedAtMs: number): void {
    this.noteRead(revision, askedAtMs - ageMs)
  }

  /** Time may have passed that this box's clock left out: whatever was proved before may be older than it seems. */
  forget (): void {
    this.#validFromMs = this.#opts.clock.nowMs()
    this.#provedAtMs.clear()
  }

  #atMs (): number {
    const inForce = this.#opts.revision()
    const usable = [...this.#provedAtMs].filter(([revision]) => revision <= inForce).map(([, atMs]) => atMs)
    return Math.max(Number.NEGATIVE_INFINITY, ...usable)
  }

  /** Of the revisions in force or behind, the latest proof serves; of those ahead, the highest are of use. */
  #forgetNeedless (): void {
    const inForce = this.#opts.revision()
    const latestMs = this.#atMs();
    [...this.#provedAtMs].forEach(([revision, atMs]) => {
      if (revision <= inForce && atMs < latestMs) this.#provedAtMs.delete(revision)
    });
    [...this.#provedAtMs.keys()].filter((revision) => revision > inForce).sort((a, b) => b - a).slice(MAX_AHEAD).forEach((revision) => this.#provedAtMs.delete(revision))
  }
}
