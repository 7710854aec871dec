import { type Clock } from '@reelspan/core.env'
import { hash32 } from '@reelspan/core.hashing'
import { RunEnd, type RunEvent } from '@reelspan/core.messages'
import { UpdateStore } from '@reelspan/membership.prober'
import { ClearanceStore } from './clearanceStore.js'

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
  /** When the upstream was found to have exited. It may have done so at any time since the run began. */
  exitKnownAtMs: number
  /** Hashes of the prompt parts that other requests may share. */
  parts: readonly string[]
  /** Time between the first and the last event of the answer; 0 without one. */
  writtenMs: number
  /** Model or pool that the request was sent to, and the software version of the upstream. */
  targetVersion: string
  /** Pool and availability zone of the upstream that exited, if it was listed. */
  pool?: string
  availabilityZone?: string
}

/** How long runs are kept: several quarantine durations, so that a request that returns after its quarantine is recognized at once. */
export const RUN_RETENTION_MS = 30 * 60_000
/** Uses 0.9 MB (460 bytes each, `npm run slopes -- --parts runs`). An engine exit ends up to 64 runs, so all runs of a zone of some 20 engines fit. */
const MAX_RUNS = 2000
/** Some 50 bytes each. Events come again within seconds, if at all. */
const MAX_DROPPED = 4000
/** Bound per request. More runs add no information. */
const MAX_RUNS_PER_CONTENT = 16
/** Boxes record the runs of an upstream that exited within this time of each other. Upstreams take longer than this to restart. */
export const SAME_EXIT_WINDOW_MS = 2000

/**
 * Stores the runs whose upstreams exited, at any box, the finished runs of the same
 * requests, and the clearances of prompt parts. Boxes that received the same events in any
 * order have the same state. Only hashes of requests are stored.
 */
export class RunHistory extends UpdateStore<RunEvent> {
  readonly #clock: Clock
  /** Runs by content, in the order in which the contents were last updated. */
  readonly #byContent = new Map<string, PastRun[]>()
  readonly #byUpstream = new Map<string, PastRun[]>()
  readonly #byId = new Map<string, PastRun>()
  readonly #clearances: ClearanceStore
  /** Ids of runs that were dropped for others, oldest first. They are not added again, or boxes would send each other what they drop without end. */
  readonly #dropped = new Set<string>()
  /** Ids of runs that are dropped only when nothing else is left. */
  #protected: ReadonlySet<string> = new Set()
  #digest = 0
  #revision = 0

  constructor ({ clock }: { clock: Clock }) {
    super()
    this.#clock = clock
    this.#clearances = new ClearanceStore({ clock, retentionMs: RUN_RETENTION_MS })
  }

  get size (): number {
    return this.#byId.size + this.#clearances.size
  }

  get comparable (): boolean {
    return this.#byId.size < MAX_RUNS && !this.#clearances.full
  }

  get digest (): number {
    return (this.#digest ^ this.#clearances.digest) >>> 0
  }

  /** Rises with each change. */
  get revision (): number {
    return this.#revision
  }

  /** Adds an event. Returns whether it was new. */
  add (event: RunEvent): boolean {
    const { id, parts = [], ageMs } = event
    if (ageMs >= RUN_RETENTION_MS) return false
    const added = isClearance(event) ? this.#clearances.add(event) : this.#addRun(event)
    // Boxes of an earlier build pass events on without their parts.
    const completed = !added && parts.length > 0 && this.#byId.get(id)?.parts.length === 0
    if (completed) this.#remove(this.#byId.get(id) as PastRun)
    if (completed) this.#addRun(event)
    if (added || completed) this.#revision++
    return added || completed
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

  /** Runs whose upstreams exited, grouped by exit, each group ordered by the end of its runs. */
  exits (): PastRun[][] {
    return [...this.#byUpstream.values()].flatMap((runs) => splitByExit(runs.toSorted((a, b) => a.endedAtMs - b.endedAtMs)))
  }

  /** Whether a run with the part is known that had written for at least `minWrittenMs` and clears it of the exit at which another run ended. */
  isCleared (part: string, { targetVersion, endedAtMs }: PastRun, minWrittenMs: number): boolean {
    return this.#clearances.isCleared(part, { targetVersion, endedAtMs, minWrittenMs })
  }

  /** Number of parts that were cleared. */
  get clearedCount (): number {
    return this.#clearances.clearedCount
  }

  /** Sets the runs that are dropped last when there are too many. */
  protect (ids: ReadonlySet<string>): void {
    this.#protected = ids
  }

  all (): RunEvent[] {
    const nowMs = this.#clock.nowMs()
    return [...[...this.#byId.values()].map((run) => eventOf(run, nowMs)), ...this.#clearances.all()]
  }

  expire (): void {
    const lastMs = this.#clock.nowMs() - RUN_RETENTION_MS
    const expired = [...this.#byId.values()].filter(({ endedAtMs }) => endedAtMs <= lastMs)
    expired.forEach((run) => this.#remove(run))
    const clearancesExpired = this.#clearances.expire()
    if (this.#byId.size === 0) this.#dropped.clear()
    if (expired.length > 0 || clearancesExpired) this.#revision++
  }

  #addRun ({ id, end, content, caller, upstream, ageMs, ranMs, exitKnownAfterMs = 0, parts = [], writtenMs = 0, targetVersion = '', pool, availabilityZone }: RunEvent): boolean {
    if (this.#byId.has(id) || this.#dropped.has(id)) return false
    const endedAtMs = this.#clock.nowMs() - ageMs
    const run: PastRun = { id, end, content, caller, upstream, beganAtMs: endedAtMs - ranMs, endedAtMs, exitKnownAtMs: endedAtMs + exitKnownAfterMs, parts, writtenMs, targetVersion, pool, availabilityZone }
    const runs = this.#byContent.get(content) ?? []
    this.#byContent.delete(content)
    this.#byContent.set(content, [...runs, run].toSorted((a, b) => a.endedAtMs - b.endedAtMs))
    if (upstream !== undefined) this.#byUpstream.set(upstream, [...this.#byUpstream.get(upstream) ?? [], run])
    this.#byId.set(id, run)
    this.#digest ^= hash32(id)
    if (runs.length >= MAX_RUNS_PER_CONTENT) this.#drop((this.#byContent.get(content) as PastRun[])[0])
    if (this.#byId.size > MAX_RUNS) this.#evictOne()
    return true
  }

  /** Evicts a run of the content with the fewest runs that is not protected; among equals, of the one updated least recently. */
  #evictOne (): void {
    const contents = [...this.#byContent.values()]
    const unprotected = contents.filter(([first]) => !this.#protected.has(first.id))
    const candidates = unprotected.length > 0 ? unprotected : contents
    const minRuns = Math.min(...candidates.map(({ length }) => length))
    const [runs] = candidates.filter(({ length }) => length === minRuns)
    this.#drop(runs[0])
  }

  #drop (run: PastRun): void {
    this.#remove(run)
    this.#dropped.add(run.id)
    if (this.#dropped.size > MAX_DROPPED) this.#dropped.delete(this.#dropped.values().next().value as string)
  }

  #remove (run: PastRun): void {
    removeFrom(this.#byContent, run.content, run)
    if (run.upstream !== undefined) removeFrom(this.#byUpstream, run.upstream, run)
    this.#byId.delete(run.id)
    this.#digest ^= hash32(run.id)
  }
}

/** Whether an event clears prompt parts. Other finished runs are announced without their parts. */
export function isClearance ({ end, parts = [] }: RunEvent): boolean {
  return end === RunEnd.Finished && parts.length > 0
}

function eventOf ({ id, end, content, caller, upstream, beganAtMs, endedAtMs, exitKnownAtMs, parts, writtenMs, targetVersion, pool, availabilityZone }: PastRun, nowMs: number): RunEvent {
  return {
    id,
    end,
    content,
    caller,
    upstream,
    ageMs: Math.max(0, nowMs - endedAtMs),
    ranMs: endedAtMs - beganAtMs,
    ...exitKnownAtMs > endedAtMs && { exitKnownAfterMs: exitKnownAtMs - endedAtMs },
    ...pool !== undefined && { pool, availabilityZone },
    ...parts.length > 0 && { parts: [...parts], writtenMs, targetVersion },
  }
}

/** Splits the runs of an upstream, ordered by their end, where it can have restarted under the same name. */
function splitByExit (runs: readonly PastRun[]): PastRun[][] {
  return runs.reduce<PastRun[][]>((exits, run) => {
    const exit = exits.at(-1)
    if (exit && run.endedAtMs - exit[0].endedAtMs <= SAME_EXIT_WINDOW_MS) exit.push(run)
    else exits.push([run])
    return exits
  }, [])
}

function removeFrom (groups: Map<string, PastRun[]>, key: string, run: PastRun): void {
  const remaining = (groups.get(key) ?? []).filter((one) => one !== run)
  if (remaining.length > 0) groups.set(key, remaining)
  else groups.delete(key)
}
