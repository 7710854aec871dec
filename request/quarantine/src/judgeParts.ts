import { MAX_UPSTREAM_EXITS, MAX_UPSTREAM_EXITS_IF_AMBIGUOUS } from './judgeRequest.js'
import { type PastRun, type RunHistory } from './runHistory.js'
import { sequentialRuns } from './sequentialRuns.js'

/**
 * A run clears its prompt parts if its answer has been written for this long, and a shorter one makes them suspects
 * if its upstream exits: a part that crashes upstreams does so when they begin to write.
 */
export const SOUND_AFTER_MS = 1000

/** A run clears a part earlier if it has written for longer than the runs with the part had at their exits, by this factor and the margin. */
const MIN_WRITTEN_FACTOR = 2
/** Events and exits are seen late. */
const MIN_WRITTEN_MARGIN_MS = 100

/** Requests that have all of these in common crashed upstreams one after another. */
export interface PartBan {
  /** Identifies the ban as long as what it is based on does not change. */
  key: string
  /** Hashes of prompt parts, sorted. */
  parts: readonly string[]
  /** Set if all runs were of one caller. */
  caller?: string
  /** Set if all runs were of one request. */
  content?: string
  /** Models or pools with the software versions at which upstreams exited. */
  targetVersions: readonly string[]
  /** Successive runs whose exits led to the ban. */
  runs: readonly PastRun[]
  lastEndedAtMs: number
  /** Whether another part may be the cause as well. */
  ambiguous: boolean
  /** Whether no part of the runs is known to be cleared, as if clearances had not arrived. */
  unconfirmed: boolean
}

export interface SuspectedPart {
  /** The last run with the part at an exit. */
  lastRun: PastRun
  /** How long a run must have written that clears the part. */
  minWrittenMs: number
}

export interface PartVerdicts {
  bans: readonly PartBan[]
  /** Parts that no run has cleared of an exit, by part and version (`suspectKey`). */
  suspects: ReadonlyMap<string, SuspectedPart>
  /** Number of successive exits of the most suspicious part at the exit at which a run ended. */
  exitsOfStrongest: (run: PastRun) => number
  /** Suspects at the exit at which a run ended that were at this many successive exits or more. */
  suspectsWithExits: (run: PastRun, minExits: number) => readonly string[]
}

/** Key of a part that is a suspect at the upstreams of one version. */
export function suspectKey (part: string, targetVersion: string): string {
  return `${part} ${targetVersion}`
}

/** Finds the prompt parts because of which upstreams exit. Depends only on which events are known. */
export function judgeParts (history: RunHistory): PartVerdicts {
  return new PartJudgement(history).verdicts()
}

class PartJudgement {
  readonly #history: RunHistory
  readonly #minWrittenMs = new Map<string, number>()
  /** Parts of each run for which its exit makes them suspects, by run. */
  readonly #partsOf: ReadonlyMap<string, readonly string[]>
  /** Runs at exits for which a part is a suspect, by part, ordered by their end. */
  readonly #runsOf = new Map<string, PastRun[]>()
  readonly #exitCounts: ReadonlyMap<string, number>
  /** Suspected parts of each exit, by run. */
  readonly #suspectsAt = new Map<string, ReadonlySet<string>>()
  readonly #strongestAt = new Map<string, number>()

  constructor (history: RunHistory) {
    this.#history = history
    const exits = history.exits()
    const runs = exits.flat().toSorted((a, b) => a.endedAtMs - b.endedAtMs || (a.id < b.id ? -1 : 1))
    exits.forEach((exit) => this.#raiseMinWrittenMs(exit))
    this.#partsOf = new Map(runs.map((run) => [run.id, this.#suspectedParts(run)]))
    runs.forEach((run) => this.#indexRun(run))
    this.#exitCounts = new Map([...this.#runsOf].map(([part, ofPart]) => [part, sequentialRuns(ofPart).length]))
    exits.forEach((exit) => this.#indexExit(exit))
  }

  verdicts (): PartVerdicts {
    const candidates = [...this.#exitCounts].filter(([, count]) => count >= MAX_UPSTREAM_EXITS).map(([part]) => part)
    const bans = new Map(candidates.flatMap((part) => this.#banOf(part)).map((ban) => [ban.key, ban]))
    return {
      bans: [...bans.values()].filter((ban) => ![...bans.values()].some((other) => other !== ban && covers(other, ban))),
      suspects: this.#suspects(),
      exitsOfStrongest: ({ id }) => this.#strongestAt.get(id) ?? 0,
      suspectsWithExits: ({ id }, minExits) => [...this.#suspectsAt.get(id) ?? []].filter((part) => (this.#exitCounts.get(part) as number) >= minExits),
    }
  }

  /** At each exit the run with the part that had written least counts. */
  #raiseMinWrittenMs (exit: readonly PastRun[]): void {
    const youngestLast = exit.filter(isYoung).toSorted((a, b) => b.writtenMs - a.writtenMs)
    const youngestOf = new Map(youngestLast.flatMap(({ parts, writtenMs }) => parts.map((part) => [part, writtenMs])))
    youngestOf.forEach((writtenMs, part) => {
      const minWrittenMs = Math.min(SOUND_AFTER_MS, MIN_WRITTEN_FACTOR * writtenMs + MIN_WRITTEN_MARGIN_MS)
      this.#minWrittenMs.set(part, Math.max(minWrittenMs, this.#minWrittenMs.get(part) ?? 0))
    })
  }

  #suspectedParts (run: PastRun): string[] {
    return isYoung(run) ? run.parts.filter((part) => !this.#history.isCleared(part, run, this.#minWrittenMs.get(part) as number)) : []
  }

  #indexRun (run: PastRun): void {
    this.#partsOf.get(run.id)?.forEach((part) => {
      const runs = this.#runsOf.get(part)
      if (runs) runs.push(run)
      else this.#runsOf.set(part, [run])
    })
  }

  #indexExit (exit: readonly PastRun[]): void {
    const parts = new Set(exit.flatMap(({ id }) => this.#partsOf.get(id) ?? []))
    const strongest = Math.max(0, ...[...parts].map((part) => this.#exitCounts.get(part) as number))
    exit.forEach(({ id }) => {
      this.#suspectsAt.set(id, parts)
      this.#strongestAt.set(id, strongest)
    })
  }

  #banOf (part: string): PartBan[] {
    const runs = this.#runsOf.get(part) as PastRun[]
    const exitCount = this.#exitCounts.get(part) as number
    const attributed = sequentialRuns(runs.filter(({ id }) => (this.#strongestAt.get(id) as number) <= exitCount))
    const rivals = this.#rivalsOf(part)
    if (attributed.length < (rivals.length > 0 ? MAX_UPSTREAM_EXITS_IF_AMBIGUOUS : MAX_UPSTREAM_EXITS)) return []
    if (rivals.some((rival) => this.#commonParts(rival).includes(part) || this.#compare(rival, part) < 0)) return []
    const parts = this.#commonParts(part).toSorted()
    const [{ caller, content }] = runs
    const isOneCaller = runs.every((run) => run.caller === caller)
    const isOneContent = runs.every((run) => run.content === content)
    const condition = { parts, ...isOneCaller && { caller }, ...isOneContent && { content } }
    return [{
      ...condition,
      key: JSON.stringify(condition),
      targetVersions: [...new Set(runs.map(({ targetVersion }) => targetVersion))],
      runs: attributed,
      lastEndedAtMs: (runs.at(-1) as PastRun).endedAtMs,
      ambiguous: rivals.length > 0,
      unconfirmed: runs.every((run) => this.#partsOf.get(run.id)?.length === run.parts.length),
    }]
  }

  #suspects (): Map<string, SuspectedPart> {
    const suspects = new Map<string, SuspectedPart>()
    this.#runsOf.forEach((runs, part) => {
      const minWrittenMs = this.#minWrittenMs.get(part) as number
      const lastRuns = new Map(runs.map((run) => [run.targetVersion, run]))
      lastRuns.forEach((lastRun, targetVersion) => suspects.set(suspectKey(part, targetVersion), { lastRun, minWrittenMs }))
    })
    return suspects
  }

  /** Parts of other runs that were at all exits of a part as well, so that either may be the cause. */
  #rivalsOf (part: string): string[] {
    const common = this.#commonParts(part)
    const [first, ...rest] = (this.#runsOf.get(part) as PastRun[]).map(({ id }) => this.#suspectsAt.get(id) as ReadonlySet<string>)
    return [...first].filter((other) => !common.includes(other) && rest.every((suspects) => suspects.has(other)))
  }

  /** Suspected parts that all runs with a part have, including itself. */
  #commonParts (part: string): string[] {
    const [first, ...rest] = this.#runsOf.get(part) as PastRun[]
    return (this.#partsOf.get(first.id) ?? []).filter((other) => rest.every(({ id }) => this.#partsOf.get(id)?.includes(other)))
  }

  /** Orders rivals by how little their runs had written. Only the first one is quarantined; the next exit or a trial decides. */
  #compare (a: string, b: string): number {
    const meanWrittenMs = (part: string) => {
      const runs = this.#runsOf.get(part) as PastRun[]
      return runs.reduce((sum, { writtenMs }) => sum + writtenMs, 0) / runs.length
    }
    return meanWrittenMs(a) - meanWrittenMs(b) || (a < b ? -1 : 1)
  }
}

function isYoung ({ writtenMs }: PastRun): boolean {
  return writtenMs < SOUND_AFTER_MS
}

/** Whether every request that the second ban refuses is refused by the first one as well. */
function covers (a: PartBan, b: PartBan): boolean {
  return a.parts.every((part) => b.parts.includes(part)) &&
    (a.caller === undefined || a.caller === b.caller) &&
    (a.content === undefined || a.content === b.content) &&
    b.targetVersions.every((version) => a.targetVersions.includes(version))
}
