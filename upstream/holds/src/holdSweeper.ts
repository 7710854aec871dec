import { type Clock } from '@reelspan/core.env'
import { type HoldLabel, holdLabelKey, isOwnLabel, MessageType, type PeerLink } from '@reelspan/core.messages'
import { type EngineClient, type EngineHold } from '@reelspan/upstream.client'

export interface HoldSweeperOptions {
  clock: Clock
  link: PeerLink
  engines: EngineClient
  /** Whether an incarnation is known to be gone permanently. */
  isGone: (incarnation: string) => boolean
  /** Whether a hold belongs to an active reservation, so that its owner need not be asked. */
  isReserved: (label: HoldLabel) => boolean
  /** Returns which requests of an incarnation of this box still run; undefined for incarnations of other boxes. */
  confirmRunningHere: (incarnation: string, requestIds: readonly string[]) => string[] | undefined
  confirmTimeoutMs: number
  releaseTimeoutMs: number
  onRelease?: (engine: string, hold: EngineHold, reason: ReleaseReason) => void
}

export enum ReleaseReason {
  /** The owner's process has exited. */
  OwnerGone = 'ownerGone',
  /** The owner is alive and does not confirm that the request still runs. */
  NotConfirmed = 'notVouched',
  /** The owner cannot be reached, and the maximum hold time of the label has passed. */
  Expired = 'lapsed',
}

interface ReleaseDecision {
  release: boolean
  reason: ReleaseReason
}

/** Releases the holds reported by an engine that their owners do not confirm. */
export class HoldSweeper {
  readonly #opts: HoldSweeperOptions
  /** When each hold was first seen, by this box's clock. */
  readonly #firstSeenMs = new Map<string, number>()

  constructor (opts: HoldSweeperOptions) {
    this.#opts = opts
  }

  /** Checks the holds of one engine. Resolves once each release has succeeded or failed. */
  async sweep (engine: { name: string, address: string }, allHolds: readonly EngineHold[]): Promise<void> {
    // Other clients, such as scripts, may use the engine directly; their holds are left alone.
    const holds = allHolds.filter(({ label }) => isOwnLabel(label))
    this.#recordSeen(engine.name, holds)
    const byOwner = new Map<string, EngineHold[]>()
    holds.forEach((hold) => byOwner.set(hold.label.ownerIncarnation, [...byOwner.get(hold.label.ownerIncarnation) ?? [], hold]))
    await Promise.all([...byOwner.values()].map(async (ownerHolds) => {
      const decisions = await this.#decide(engine.name, ownerHolds)
      await Promise.all(ownerHolds.map(async (hold, i) => {
        if (decisions[i].release) await this.#release(engine, hold, decisions[i].reason)
      }))
    }))
  }

  async #decide (engineName: string, ownerHolds: readonly EngineHold[]): Promise<ReleaseDecision[]> {
    const { ownerIncarnation, ownerAddress } = ownerHolds[0].label
    if (this.#opts.isGone(ownerIncarnation)) return ownerHolds.map(() => ({ release: true, reason: ReleaseReason.OwnerGone }))
    const unreserved = ownerHolds.filter(({ label }) => !this.#opts.isReserved(label))
    if (unreserved.length === 0) return ownerHolds.map(() => ({ release: false, reason: ReleaseReason.NotConfirmed }))
    const confirmed = await this.#askOwner(ownerAddress, ownerIncarnation, ownerHolds.map(({ label }) => label.requestId))
    if (confirmed) return ownerHolds.map(({ label }) => ({ release: !confirmed.has(label.requestId), reason: ReleaseReason.NotConfirmed }))
    return ownerHolds.map(({ label }) => ({ release: this.#hasExpired(engineName, label), reason: ReleaseReason.Expired }))
  }

  /** Returns the confirmed request IDs, or undefined if the owner could not be asked. */
  async #askOwner (address: string, ownerIncarnation: string, requestIds: string[]): Promise<Set<string> | undefined> {
    const { link, confirmRunningHere, confirmTimeoutMs } = this.#opts
    const confirmedLocally = confirmRunningHere(ownerIncarnation, requestIds)
    if (confirmedLocally) return new Set(confirmedLocally)
    // The link logs the failure. The hold is kept until its label expires.
    const answer = await link.call(address, { type: MessageType.Vouch, ownerIncarnation, requestIds }, { timeoutMs: confirmTimeoutMs, repeatable: true }).catch(() => undefined)
    // An answer from another incarnation at the address is ignored.
    const isFromOwner = answer?.type === MessageType.Vouched && answer.ownerIncarnation === ownerIncarnation
    return isFromOwner ? new Set(answer.requestIds) : undefined
  }

  #hasExpired (engineName: string, label: HoldLabel): boolean {
    const firstSeenMs = this.#firstSeenMs.get(holdKey(engineName, label))
    return firstSeenMs !== undefined && this.#opts.clock.nowMs() - firstSeenMs >= label.maxHoldMs
  }

  #recordSeen (engineName: string, holds: readonly EngineHold[]): void {
    const nowMs = this.#opts.clock.nowMs()
    const present = new Set(holds.map(({ label }) => holdKey(engineName, label)))
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
      // The client logs the failure. The engine's next report contains the hold again.
      () => {}
    )
  }
}

function holdKey (engineName: string, label: HoldLabel): string {
  return `${engineName} ${holdLabelKey(label)}`
}
