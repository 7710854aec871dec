import { type ReelspanError } from '@reelspan/core.error'
import { type HoldLabel, holdLabelKey, type PlacementAnswer, PlacementOutcome, type ReserveRequest } from '@reelspan/core.messages'
import { type AdmissionOutcome } from './decideAdmission.js'
import { returnKeyOf } from './earlyRetry.js'

/** A request waiting to be placed. */
export interface WaitingRequest {
  request: ReserveRequest
  resolve: (answer: PlacementAnswer) => void
  /** Tells the owner that this scheduler cannot decide. */
  reject: (error: ReelspanError) => void
  /** Time of the first attempt, which is earlier if this is a retry at the assigned time. For a repeated attempt, the end of its useful time, so that it is behind first attempts. */
  firstArrivedAtMs: number
  /** The first token is in time until then, and late afterwards. */
  inTimeUntilMs: number
  /** The first token is useful until then. */
  usefulUntilMs: number
  /** Minimum time from the end of its prefill to its first token. */
  handoverMs: number
  /** Prefill durations by the engine's index in the prefill pool, computed on demand. */
  prefillCostsMs: (number | undefined)[]
  /** Whether this is a retry at the assigned time. */
  returned: boolean
  /** Set for a retry with a promised slot: from this time on it precedes requests that can be in time. */
  promiseDueAtMs?: number
  /** The last admission decision. */
  outcome?: AdmissionOutcome
  /** Time of the first token as expected by the first admission decision, if that was to keep it. */
  expectedFirstTokenAtMs?: number
  /** When that decision was made. */
  keptSinceMs?: number
}

/** The waiting requests of a scheduler, in order of arrival. */
export class WaitingQueue {
  readonly #waiting = new Map<string, WaitingRequest>()
  /** Number of waiting attempts of each request. */
  readonly #attempts = new Map<string, number>()

  get size (): number {
    return this.#waiting.size
  }

  all (): WaitingRequest[] {
    return [...this.#waiting.values()]
  }

  /** Whether an attempt of the same request waits. */
  hasAttemptOf (request: ReserveRequest): boolean {
    return this.#attempts.has(returnKeyOf(request))
  }

  /** Highest priority of the waiting requests; undefined if none waits. */
  get highestPriority (): number | undefined {
    return this.size === 0 ? undefined : Math.max(...this.all().map(({ request }) => request.priority))
  }

  add (waiting: WaitingRequest): void {
    this.withdraw(waiting.request.label)
    this.#waiting.set(holdLabelKey(waiting.request.label), waiting)
    const returnKey = returnKeyOf(waiting.request)
    this.#attempts.set(returnKey, (this.#attempts.get(returnKey) ?? 0) + 1)
  }

  remove (waiting: WaitingRequest): void {
    if (!this.#waiting.delete(holdLabelKey(waiting.request.label))) return
    const returnKey = returnKeyOf(waiting.request)
    const others = (this.#attempts.get(returnKey) ?? 1) - 1
    if (others > 0) this.#attempts.set(returnKey, others)
    else this.#attempts.delete(returnKey)
  }

  /** Removes a request whose owner no longer needs it placed. */
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
