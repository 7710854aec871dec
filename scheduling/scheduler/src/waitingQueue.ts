import { type HoldLabel, holdLabelKey, type PlacementAnswer, PlacementOutcome, type ReserveRequest } from '@reelspan/core.messages'
import { type AdmissionOutcome } from './decideAdmission.js'

/** A request that waits for its placement. */
export interface WaitingRequest {
  request: ReserveRequest
  resolve: (answer: PlacementAnswer) => void
  /** When its caller first tried: before now, if it was refused and has come back when told to. */
  firstArrivedAtMs: number
  /** A first token after this is late. */
  inTimeUntilMs: number
  /** A first token after this is of no use. */
  usefulUntilMs: number
  /** The least time from the end of its prefill to its first token. */
  handoverMs: number
  /** Prefill times by the engine's place in the shard, as far as they were needed. */
  prefillCostsMs: (number | undefined)[]
  /** It was refused before and came back when it was told to. */
  returned: boolean
  /** It has come back for a place that it was promised: from then on it goes before those that can be in time. */
  promiseDueAtMs?: number
  /** What was last decided of it. */
  outcome?: AdmissionOutcome
}

/** The requests that wait at a scheduler, in order of arrival. */
export class WaitingQueue {
  readonly #waiting = new Map<string, WaitingRequest>()

  get size (): number {
    return this.#waiting.size
  }

  all (): WaitingRequest[] {
    return [...this.#waiting.values()]
  }

  add (waiting: WaitingRequest): void {
    this.withdraw(waiting.request.label)
    this.#waiting.set(holdLabelKey(waiting.request.label), waiting)
  }

  remove (waiting: WaitingRequest): void {
    this.#waiting.delete(holdLabelKey(waiting.request.label))
  }

  /** Its owner no longer wants it placed. */
  withdraw (label: HoldLabel): void {
    const waiting = this.#waiting.get(holdLabelKey(label))
    if (!waiting) return
    this.remove(waiting)
    waiting.resolve({ outcome: PlacementOutcome.Refused, reason: 'withdrawn', retryAfterMs: 0 })
  }

  withdrawOwner (ownerIncarnation: string): void {
    this.all()
      .filter(({ request }) => request.label.ownerIncarnation === ownerIncarnation)
      .forEach(({ request }) => this.withdraw(request.label))
  }
}
