import { type Clock } from '@reelspan/core.env'
import { hash32 } from '@reelspan/core.hashing'
import { RunEnd, type RunEvent } from '@reelspan/core.messages'
import { UpdateStore } from '@reelspan/membership.prober'

/** A past run of a request. Times are on this box's clock. */
export interface PastRun {
  id: string
  end: RunEnd
  content: string
  caller: string
  /** The upstream that exited. */
  upstream?: string
  beganAtMs: number
  endedAtMs: number
}

/** How long runs are kept: several quarantine durations, so that a request that returns after its quarantine is recognized at once. */
export const RUN_RETENTION_MS = 30 * 60_000
/** Uses 0.9 MB (460 bytes each, `npm run slopes -- --parts runs`). An engine exit ends up to 64 runs, so all runs of a zone of some 20 engines fit. */
const MAX_RUNS = 2000
/** Bound per request. More runs add no information. */
const MAX_RUNS_PER_CONTENT = 16
/** Boxes record the runs of an upstream that exited within this time of each other. Upstreams take longer than this to restart. */
const SAME_EXIT_WINDOW_MS = 2000

/**
 * Stores the runs whose upstreams exited, at any box, and the finished runs of the same
 * requests. Boxes that received the same events in any order have the same state. Only
 * hashes of requests are stored.
 */
export class RunHistory extends UpdateStore<RunEvent> {
  readonly #clock: Clock
  /** Runs by content, in the order in which the contents were last updated. */
  readonly #byContent = new Map<string, PastRun[]>()
  readonly #byUpstream = new Map<string, PastRun[]>()
  readonly #ids = new Set<string>()
  #digest = 0

  constructor ({ clock }: { clock: Clock }) {
    super()
    this.#clock = clock
  }

  get size (): number {
    return this.#ids.size
  }

  get comparable (): boolean {
    return this.size < MAX_RUNS
  }

  get digest (): number {
    return this.#digest
  }

  /** Adds an event. Returns whether it was new. */
  add ({ id, end, content, caller, upstream, ageMs, ranMs }: RunEvent): boolean {
    if (this.#ids.has(id) || ageMs >= RUN_RETENTION_MS) return false
    const endedAtMs = this.#clock.nowMs() - ageMs
    const run: PastRun = { id, end, content, caller, upstream, beganAtMs: endedAtMs - ranMs, endedAtMs }
    const runs = this.#byContent.get(content) ?? []
    this.#byContent.delete(content)
    this.#byContent.set(content, [...runs, run].toSorted((a, b) => a.endedAtMs - b.endedAtMs))
    if (upstream !== undefined) this.#byUpstream.set(upstream, [...this.#byUpstream.get(upstream) ?? [], run])
    this.#ids.add(id)
    this.#digest ^= hash32(id)
    if (runs.length >= MAX_RUNS_PER_CONTENT) this.#remove((this.#byContent.get(content) as PastRun[])[0])
    if (this.size > MAX_RUNS) this.#evictOne()
    return true
  }

  /** Runs of a request, ordered by their end. */
  runsOf (content: string): readonly PastRun[] {
    return this.#byContent.get(content) ?? []
  }

  /** Contents of the other requests that ran at the same upstream exit. */
  concurrentContents ({ content, upstream, endedAtMs }: PastRun): string[] {
    const exitedTogether = (this.#byUpstream.get(upstream ?? '') ?? []).filter((run) => Math.abs(run.endedAtMs - endedAtMs) <= SAME_EXIT_WINDOW_MS)
    return [...new Set(exitedTogether.map((run) => run.content))].filter((other) => other !== content)
  }

  all (): RunEvent[] {
    const nowMs = this.#clock.nowMs()
    return [...this.#byContent.values()].flat().map((run) => eventOf(run, nowMs))
  }

  expire (): void {
    const lastMs = this.#clock.nowMs() - RUN_RETENTION_MS;
    [...this.#byContent.values()].flat().filter(({ endedAtMs }) => endedAtMs <= lastMs).forEach((run) => this.#remove(run))
  }

  /** Evicts a run of the content with the fewest runs; among equals, of the one updated least recently. */
  #evictOne (): void {
    const minRuns = Math.min(...[...this.#byContent.values()].map(({ length }) => length))
    const [runs] = [...this.#byContent.values()].filter(({ length }) => length === minRuns)
    this.#remove(runs[0])
  }

  #remove (run: PastRun): void {
    removeFrom(this.#byContent, run.content, run)
    if (run.upstream !== undefined) removeFrom(this.#byUpstream, run.upstream, run)
    this.#ids.delete(run.id)
    this.#digest ^= hash32(run.id)
  }
}

function eventOf ({ id, end, content, caller, upstream, beganAtMs, endedAtMs }: PastRun, nowMs: number): RunEvent {
  return { id, end, content, caller, upstream, ageMs: Math.max(0, nowMs - endedAtMs), ranMs: endedAtMs - beganAtMs }
}

function removeFrom (groups: Map<string, PastRun[]>, key: string, run: PastRun): void {
  const remaining = (groups.get(key) ?? []).filter((one) => one !== run)
  if (remaining.length > 0) groups.set(key, remaining)
  else groups.delete(key)
}
