import { type Clock, type Random, type TaskErrorListener, TaskGroup } from '@reelspan/core.env'
import { type FreshnessProof } from './freshnessProof.js'
import { decideRenewal, type ProofRole } from './decideRenewal.js'

export interface ProofRenewerOptions {
  clock: Clock
  random: Random
  proof: FreshnessProof
  maxAgeMs: number
  /** Whether any request needs the proof now. */
  isInUse: () => boolean
  role: () => ProofRole
  /** Reads the newest configuration from the platform and records the proof. */
  askPlatform: () => Promise<unknown>
  /** Requests the proof of a peer and records it. */
  askPeer: () => Promise<unknown>
  /** Called when the proof becomes valid or expires. */
  onChange: (isFresh: boolean, ageMs: number) => void
  onTaskError?: TaskErrorListener
}

/** Number of checks per maximum age of the proof. */
const CHECKS_PER_MAX_AGE = 20
/** Maximum backoff after failed calls to the platform, as a share of the maximum age of the proof. */
const MAX_BACKOFF_SHARE = 0.2
const INITIAL_BACKOFF_SHARE = 0.02

/** Renews the freshness proof with as few calls to the platform as possible. */
export class ProofRenewer {
  readonly #opts: ProofRenewerOptions
  readonly #tasks: TaskGroup
  #wasFresh = false
  #backoffShare = INITIAL_BACKOFF_SHARE
  #backoffUntilMs = Number.NEGATIVE_INFINITY

  constructor (opts: ProofRenewerOptions) {
    this.#opts = opts
    this.#tasks = new TaskGroup(opts.clock, opts.onTaskError)
  }

  start (): void {
    const { clock, random, maxAgeMs } = this.#opts
    const periodMs = maxAgeMs / CHECKS_PER_MAX_AGE
    // Spreads the requests of boxes that start at the same time.
    this.#tasks.run(async () => {
      await clock.sleep(random.nextFloat() * periodMs, { signal: this.#tasks.signal })
      this.#tasks.repeat(() => this.#check(), { periodMs })
    })
  }

  async stop (): Promise<void> {
    await this.#tasks.stop()
  }

  async #check (): Promise<void> {
    const { proof, maxAgeMs, isInUse, role } = this.#opts
    if (!isInUse()) return
    this.#reportChange()
    const { askPlatform, askPeer } = decideRenewal(proof.ageMs, maxAgeMs, role())
    // Concurrently, since a platform that does not answer this box may answer its peers.
    await Promise.all([askPlatform && this.#askPlatform(), askPeer && this.#askPeer()])
    this.#reportChange()
  }

  async #askPeer (): Promise<void> {
    // The link logs a peer that does not answer. Another one is asked at the next check.
    await this.#opts.askPeer().catch(() => {})
  }

  async #askPlatform (): Promise<void> {
    const { clock, random, maxAgeMs, askPlatform } = this.#opts
    if (clock.nowMs() < this.#backoffUntilMs) return
    try {
      await askPlatform()
      this.#backoffShare = INITIAL_BACKOFF_SHARE
    } catch {
      // The reader of the platform logs the failure.
      this.#backoffUntilMs = clock.nowMs() + this.#backoffShare * maxAgeMs * (0.5 + random.nextFloat())
      this.#backoffShare = Math.min(MAX_BACKOFF_SHARE, 2 * this.#backoffShare)
    }
  }

  #reportChange (): void {
    const { proof, onChange } = this.#opts
    const isFresh = proof.isFresh()
    if (isFresh !== this.#wasFresh) onChange(isFresh, proof.ageMs)
    this.#wasFresh = isFresh
  }
}
