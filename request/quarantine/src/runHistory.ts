import { type Clock } from '@reelspan/core.env'
import { hash32 } from '@reelspan/core.hashing'
import { RunEnd, type RunEvent } from '@reelspan/core.messages'
import { NewsBook } from '@reelspan/membership.prober'

/** A run of a request that ended, on this box's clock. */
export interface PastRun {
  id: string
  end: RunEnd
  content: string
  caller: string
  /** The upstream that ended. */
  upstream?: string
  beganAtMs: number
  endedAtMs: number
}

/** How long a run is remembered: several times the time for which a request is not run because of it, so that one that comes back is known again at once. */
export const RUN_RETENTION_MS = 30 * 60_000
/** 0.9 MB (460 bytes each, `npm run slopes -- --parts runs`). An engine that ends takes up to 64 requests with it; a zone of some 20 engines is remembered whole. */
const MAX_RUNS = 2000
/** Of one request. More say nothing new. */
const MAX_RUNS_PER_CONTENT = 16
/** All that ran on an upstream ends with it, and is noticed within this time at all boxes. Upstreams take longer to be back. */
const SAME_EXIT_WINDOW_MS = 2000

/**
 * The runs that ended with their upstreams, at any box, and the runs of the same
 * requests that came to their end. Boxes that have heard of the same events hold the
 * same, in whatever order they heard. Nothing of a request but hashes is kept.
 */
export class RunHistory extends NewsBook<RunEvent> {
  readonly #clock: Clock
  /** By content, the one that was heard of last at the end. */
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

  /** Takes an event in. Answers whether it was new. */
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

  /** Runs of a request, the one that ended first at the beginning. */
  runsOf (content: string): readonly PastRun[] {
    return this.#byContent.get(content) ?? []
  }

  /** Contents of the other requests that ended with the same upstream. */
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

  /** Requests that were at one end alone go before those that were at several, and old news before new. */
  #evictOne (): void {
    const fewest = Math.min(...[...this.#byContent.values()].map(({ length }) => length))
    const [runs] = [...this.#byContent.values()].filter(({ length }) => length === fewest)
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
