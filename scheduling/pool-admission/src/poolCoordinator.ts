import { type Clock, TaskGroup } from '@reelspan/core.env'
import { type HoldLabel, holdLabelKey, type PoolAnswer, type PoolCall, type PoolCallOutcome, PoolOutcome, type RunningPoolCall } from '@reelspan/core.messages'
import { PoolAdmission, type UpstreamLoad } from './poolAdmission.js'

export interface PoolCoordinatorOptions {
  clock: Clock
  /** Names of the upstreams of a pool that take work. */
  upstreamsOf: (pool: string) => readonly string[]
  isFailing: (upstream: string) => boolean
  weightOf: (account: string) => number
  /** Concurrent calls that a pool can take, as last announced by any coordinator. */
  announcedLimitOf: (pool: string) => number | undefined
  onTaskError?: (thrown: unknown) => void
}

/** A call that waits is answered after this time at the latest, so that boxes notice within their timeout that a coordinator is lost. */
const ANSWER_WITHIN_MS = 30
/** Waiting calls are checked at least this often, since a later call may have an earlier time limit. */
const MAX_CHECK_INTERVAL_MS = 20
/** A check takes some 0.1 ms with 100 waiting calls; a refusal is late by at most this time. */
const MIN_CHECK_INTERVAL_MS = 5

interface CoordinatedPool {
  admission: PoolAdmission
  checking: boolean
}

/** Answers the boxes that ask this box, as the coordinator of pools, for upstreams of their calls. */
export class PoolCoordinator {
  readonly #opts: PoolCoordinatorOptions
  readonly #tasks: TaskGroup
  readonly #pools = new Map<string, CoordinatedPool>()
  /** Wake the answers to calls that wait. */
  readonly #wakeups = new Map<string, () => void>()

  constructor (opts: PoolCoordinatorOptions) {
    this.#opts = opts
    this.#tasks = new TaskGroup(opts.clock, opts.onTaskError)
  }

  async acquire (pool: string, call: PoolCall, running: readonly RunningPoolCall[] = []): Promise<PoolAnswer> {
    const { clock } = this.#opts
    const coordinated = this.#poolOf(pool)
    const { admission } = coordinated
    running.forEach((one) => admission.adopt(one, clock.nowMs()))
    const answer = admission.request(call, clock.nowMs())
    if (answer.outcome !== PoolOutcome.Waiting) return answer
    this.#keepChecking(coordinated)
    const key = holdLabelKey(call.label)
    await this.#waitForDecision(key)
    return admission.answerTo(key) ?? answer
  }

  release (pool: string, label: HoldLabel, outcome: PoolCallOutcome, durationMs?: number): void {
    this.#pools.get(pool)?.admission.release(holdLabelKey(label), outcome, durationMs, this.#opts.clock.nowMs())
  }

  /** Drops the calls of a box that is gone. */
  dropOwner (incarnation: string): void {
    this.#pools.forEach(({ admission }) => admission.dropOwner(incarnation, this.#opts.clock.nowMs()))
  }

  /** Whether calls of a pool had to wait or were refused within the last second. */
  isShort (pool: string): boolean {
    return this.#pools.get(pool)?.admission.isShort(this.#opts.clock.nowMs()) ?? false
  }

  /** Concurrent calls that the upstreams of a pool can take together, as estimated here. */
  limitOf (pool: string): number | undefined {
    return this.#pools.get(pool)?.admission.limit || undefined
  }

  /** Drops the state of a pool that is no longer short. */
  forget (pool: string): void {
    this.#pools.delete(pool)
  }

  describe (): { pool: string, waiting: number, upstreams: UpstreamLoad[] }[] {
    return [...this.#pools].map(([pool, { admission }]) => ({ pool, waiting: admission.waitingCount, upstreams: admission.loads() }))
  }

  async stop (): Promise<void> {
    await this.#tasks.stop()
  }

  #poolOf (pool: string): CoordinatedPool {
    const known = this.#pools.get(pool)
    if (known) return known
    const { upstreamsOf, isFailing, weightOf, announcedLimitOf } = this.#opts
    const limit = announcedLimitOf(pool)
    const created: CoordinatedPool = {
      admission: new PoolAdmission({
        upstreams: () => upstreamsOf(pool),
        isFailing,
        weightOf,
        initialLimit: limit === undefined ? undefined : limit / Math.max(1, upstreamsOf(pool).length),
        onDecided: (key) => this.#wakeups.get(key)?.(),
      }),
      checking: false,
    }
    this.#pools.set(pool, created)
    return created
  }

  async #waitForDecision (key: string): Promise<void> {
    const decided = new AbortController()
    const wake = () => decided.abort('decided')
    this.#wakeups.set(key, wake)
    await this.#opts.clock.sleep(ANSWER_WITHIN_MS, { signal: AbortSignal.any([decided.signal, this.#tasks.signal]) })
    if (this.#wakeups.get(key) === wake) this.#wakeups.delete(key)
  }

  /** Checks the time limits of waiting calls as long as there are any. */
  #keepChecking (coordinated: CoordinatedPool): void {
    if (coordinated.checking) return
    coordinated.checking = true
    this.#tasks.run(async () => {
      const { clock } = this.#opts
      const { admission } = coordinated
      for (let dueMs = admission.nextDueMs(clock.nowMs()); dueMs !== undefined && !this.#tasks.stopped; dueMs = admission.nextDueMs(clock.nowMs())) {
        await clock.sleep(Math.min(MAX_CHECK_INTERVAL_MS, Math.max(MIN_CHECK_INTERVAL_MS, dueMs - clock.nowMs())), { signal: this.#tasks.signal })
        admission.advance(clock.nowMs())
      }
      coordinated.checking = false
    })
  }
}
