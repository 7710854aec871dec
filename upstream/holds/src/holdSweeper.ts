import { type Clock } from '@reelspan/core.env'
import { type HoldLabel, holdLabelKey, isOwnLabel, MessageType, type PeerLink } from '@reelspan/core.messages'
import { type EngineClient, type EngineHold } from '@reelspan/upstream.client'

export interface HoldSweeperOptions {
  clock: Clock
  link: PeerLink
  engines: EngineClient
  /** Whether an incarnation is known to be gone for good. */
  isGone: (incarnation: string) => boolean
  /** Whether a hold belongs to a reservation that still counts, so that its owner need not be asked. */
  isAccounted: (label: HoldLabel) => boolean
  /** Answers for requests of this box's own incarnations. Nothing when the incarnation is another's. */
  vouchHere: (incarnation: string, requestIds: readonly string[]) => string[] | undefined
  vouchTimeoutMs: number
  releaseTimeoutMs: number
  onRelease?: (engine: string, hold: EngineHold, reason: ReleaseReason) => void
}

export enum ReleaseReason {
  /** The owner's process is gone. */
  OwnerGone = 'ownerGone',
  /** The owner lives and says that the request is over. */
  NotVouched = 'notVouched',
  /** The owner cannot be asked, and the longest duration of the label has passed. */
  Lapsed = 'lapsed',
}

interface Judgement {
  release: boolean
  reason: ReleaseReason
}

/** Compares an engine's own list of holds with what owners vouch for, and releases the rest. */
export class HoldSweeper {
  readonly #opts: HoldSweeperOptions
  /** When each hold was first seen, on this box's clock. */
  readonly #firstSeenMs = new Map<string, number>()

  constructor (opts: HoldSweeperOptions) {
    this.#opts = opts
  }

  /** Checks one engine's holds. Resolves once those to release were released or could not be. */
  async sweep (engine: { name: string, address: string }, allHolds: readonly EngineHold[]): Promise<void> {
    // Old scripts may use the engine beside reelspan: what they hold is theirs.
    const holds = allHolds.filter(({ label }) => isOwnLabel(label))
    this.#noteSeen(engine.name, holds)
    const byOwner = new Map<string, EngineHold[]>()
    holds.forEach((hold) => byOwner.set(hold.label.ownerIncarnation, [...byOwner.get(hold.label.ownerIncarnation) ?? [], hold]))
    await Promise.all([...byOwner.values()].map(async (ofOwner) => {
      const judgements = await this.#judge(engine.name, ofOwner)
      await Promise.all(ofOwner.map(async (hold, i) => {
        if (judgements[i].release) await this.#release(engine, hold, judgements[i].reason)
      }))
    }))
  }

  async #judge (engineName: string, ofOwner: readonly EngineHold[]): Promise<Judgement[]> {
    const { ownerIncarnation, ownerAddress } = ofOwner[0].label
    if (this.#opts.isGone(ownerIncarnation)) return ofOwner.map(() => ({ release: true, reason: ReleaseReason.OwnerGone }))
    const doubtful = ofOwner.filter(({ label }) => !this.#opts.isAccounted(label))
    if (doubtful.length === 0) return ofOwner.map(() => ({ release: false, reason: ReleaseReason.NotVouched }))
    const vouched = await this.#askOwner(ownerAddress, ownerIncarnation, ofOwner.map(({ label }) => label.requestId))
    if (vouched) return ofOwner.map(({ label }) => ({ release: !vouched.has(label.requestId), reason: ReleaseReason.NotVouched }))
    return ofOwner.map(({ label }) => ({ release: this.#hasLapsed(engineName, label), reason: ReleaseReason.Lapsed }))
  }

  /** Answers nothing when the owner could not be asked. */
  async #askOwner (address: string, ownerIncarnation: string, requestIds: string[]): Promise<Set<string> | undefined> {
    const { link, vouchHere, vouchTimeoutMs } = this.#opts
    const here = vouchHere(ownerIncarnation, requestIds)
    if (here) return new Set(here)
    // The link tells of a failure; the hold is then left until its label lapses.
    const answer = await link.call(address, { type: MessageType.Vouch, ownerIncarnation, requestIds }, { timeoutMs: vouchTimeoutMs, repeatable: true }).catch(() => undefined)
    // Another incarnation at the address cannot speak for this one.
    const speaks = answer?.type === MessageType.Vouched && answer.ownerIncarnation === ownerIncarnation
    return speaks ? new Set(answer.requestIds) : undefined
  }

  #hasLapsed (engineName: string, label: HoldLabel): boolean {
    const firstSeenMs = this.#firstSeenMs.get(seenKey(engineName, label))
    return firstSeenMs !== undefined && this.#opts.clock.nowMs() - firstSeenMs >= label.maxHoldMs
  }

  #noteSeen (engineName: string, holds: readonly EngineHold[]): void {
    const nowMs = this.#opts.clock.nowMs()
    const present = new Set(holds.map(({ label }) => seenKey(engineName, label)))
    this.#firstSeenMs.forEach((_, key) => {
      if (key.startsWith(`${engineName} `) && !present.has(key)) this.#firstSeenMs.delete(key)
    })
    present.forEach((key) => {
      if (!this.#firstSeenMs.has(key)) this.#firstSeenMs.set(key, nowMs)
    })
  }

  async #release (engine: { name: string, address: string }, hold: EngineHold, reason: ReleaseReason): Promise<void> {
    const { engines, releaseTimeoutMs, onRelease } = this.#opts
    await engines.release(engine.address, hold.label, { timeoutMs: releaseTimeoutMs }).then(
      () => onRelease?.(engine.name, hold, reason),
      // The client tells of a failure; the engine's next report has the hold again.
      () => {}
    )
  }
}

function seenKey (engineName: string, label: HoldLabel): string {
  return `${engineName} ${holdLabelKey(label)}`
}
