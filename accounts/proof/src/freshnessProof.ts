import { type Clock } from '@reelspan/core.env'

/** States that this revision or a higher one was the newest at some time within the last `ageMs`. */
export interface AdvertisedProof {
  revision: number
  ageMs: number
}

export interface FreshnessProofOptions {
  clock: Clock
  /** Revision of the configuration in force here. */
  revision: () => number
  /** Maximum age of a valid proof. If undefined, no proof is required. */
  maxAgeMs?: number
}

/** Maximum number of stored proofs for revisions that are not in force here yet. Such revisions come into force within seconds. */
const MAX_REVISIONS_AHEAD = 8

/**
 * Proof of when, by this box's clock, the configuration in force here was last known to be the newest. Anything that was
 * revoked before that time is no longer in force here.
 */
export class FreshnessProof {
  readonly #opts: FreshnessProofOptions
  /** When each revision was last known to be the newest, by revision. */
  readonly #provedAtMs = new Map<number, number>()
  /** Answers to requests that were sent before this time are ignored. */
  #validFromMs = Number.NEGATIVE_INFINITY

  constructor (opts: FreshnessProofOptions) {
    this.#opts = opts
  }

  /** Whether a proof is required at all. */
  get isRequired (): boolean {
    return this.#opts.maxAgeMs !== undefined
  }

  /** Age of the proof; infinite if there is none. */
  get ageMs (): number {
    return this.#opts.clock.nowMs() - this.#latestMs()
  }

  /** Whether the configuration in force here is recent enough. */
  isFresh (): boolean {
    const { maxAgeMs } = this.#opts
    return maxAgeMs === undefined || this.ageMs < maxAgeMs
  }

  /** The proof that this box sends to peers on request. */
  get advertised (): AdvertisedProof | undefined {
    const { ageMs } = this
    return this.isRequired && Number.isFinite(ageMs) ? { revision: this.#opts.revision(), ageMs } : undefined
  }

  /** Records that the platform reported this revision as the newest. The age counts from the time of the request, since the answer may have been delayed. */
  recordRead (revision: number, askedAtMs: number): void {
    if (askedAtMs < this.#validFromMs) return
    this.#provedAtMs.set(revision, Math.max(askedAtMs, this.#provedAtMs.get(revision) ?? askedAtMs))
    this.#discardUnused()
  }

  /** Records the proof of a peer that answered a request sent at `askedAtMs`. The age counts from the time of the request, so it is never underestimated. */
  receive ({ revision, ageMs }: AdvertisedProof, askedAtMs: number): void {
    this.recordRead(revision, askedAtMs - ageMs)
  }

  /** Discards all proofs. Called when this box's clock may have stopped for a time: earlier proofs may be older than they seem. */
  invalidate (): void {
    this.#validFromMs = this.#opts.clock.nowMs()
    this.#provedAtMs.clear()
  }

  #latestMs (): number {
    const inForce = this.#opts.revision()
    const usable = [...this.#provedAtMs].filter(([revision]) => revision <= inForce).map(([, atMs]) => atMs)
    return Math.max(Number.NEGATIVE_INFINITY, ...usable)
  }

  /** Keeps the latest proof of the revisions in force or behind, and those of the highest revisions ahead. */
  #discardUnused (): void {
    const inForce = this.#opts.revision()
    const latestMs = this.#latestMs();
    [...this.#provedAtMs].forEach(([revision, atMs]) => {
      if (revision <= inForce && atMs < latestMs) this.#provedAtMs.delete(revision)
    });
    [...this.#provedAtMs.keys()].filter((revision) => revision > inForce).sort((a, b) => b - a).slice(MAX_REVISIONS_AHEAD).forEach((revision) => this.#provedAtMs.delete(revision))
  }
}
