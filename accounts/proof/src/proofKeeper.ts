import { type Clock, type Random, type TaskErrorListener, TaskGroup } from '@reelspan/core.env'
import { type ConfigurationProof } from './configurationProof.js'
import { decideRenewal, type ProofRole } from './decideRenewal.js'

export interface ProofKeeperOptions {
  clock: Clock
  random: Random
  proof: ConfigurationProof
  boundMs: number
  /** Whether any request needs the proof now. */
  isInUse: () => boolean
  role: () => ProofRole
  /** Reads the platform's newest configuration and notes what that proves. */
  askPlatform: () => Promise<unknown>
  /** Has a peer tell its proof. */
  askPeer: () => Promise<unknown>
  /** The proof holds again, or no longer. */
  onChange: (holds: boolean, ageMs: number) => void
  onTaskError?: TaskErrorListener
}

/** Looks this many times in a bound. */
const LOOKS = 20
/** After a failed call to the platform the next one waits up to this part of the bound. */
const LONGEST_WAIT = 0.2
const FIRST_WAIT = 0.02

/** Keeps the proof young, with as few calls to the platform as that takes. */
export class ProofKeeper {
  readonly #opts: ProofKeeperOptions
  readonly #tasks: TaskGroup
  #held = false
  #waitShare = FIRST_WAIT
  #notBeforeMs = Number.NEGATIVE_INFINITY

  constructor (opts: ProofKeeperOptions) {
    this.#opts = opts
    this.#tasks = new TaskGroup(opts.clock, opts.onTaskError)
  }

  start (): void {
    const { clock, random, boundMs } = this.#opts
    const periodMs = boundMs / LOOKS
    // Boxes that start together do not ask together.
    this.#tasks.run(async () => {
      await clock.sleep(random.nextFloat() * periodMs, { signal: this.#tasks.signal })
      this.#tasks.repeat(() => this.#look(), { periodMs })
    })
  }

  async stop (): Promise<void> {
    await this.#tasks.stop()
  }

  async #look (): Promise<void> {
    const { proof, boundMs, isInUse, role } = this.#opts
    if (!isInUse()) return
    this.#tell()
    const { askPlatform, askPeer } = decideRenewal(proof.ageMs, boundMs, role())
    // Side by side: a platform that does not answer this box may answer its peers.
    await Promise.all([askPlatform && this.#askPlatform(), askPeer && this.#askPeer()])
    this.#tell()
  }

  async #askPeer (): Promise<void> {
    // The link tells of a peer that does not answer; another one is asked at the next look.
    await this.#opts.askPeer().catch(() => {})
  }

  async #askPlatform (): Promise<void> {
    const { clock, random, boundMs, askPlatform } = this.#opts
    if (clock.nowMs() < this.#notBeforeMs) return
    try {
      await askPlatform()
      this.#waitShare = FIRST_WAIT
    } catch {
      // Whoever reads the platform tells of its failure.
      this.#notBeforeMs = clock.nowMs() + this.#waitShare * boundMs * (0.5 + random.nextFloat())
      this.#waitShare = Math.min(LONGEST_WAIT, 2 * this.#waitShare)
    }
  }

  #tell (): void {
    const { proof, onChange } = this.#opts
    const holds = proof.holds()
    if (holds !== this.#held) onChange(holds, proof.ageMs)
    this.#held = holds
  }
}
