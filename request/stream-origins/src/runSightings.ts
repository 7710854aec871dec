import { type Clock } from '@reelspan/core.env'
import { type EngineRun } from '@reelspan/upstream.client'

interface Sighting {
  versions: Set<string>
  seenAtMs: number
}

/** Some 200 bytes each. */
const MAX_SIGHTINGS = 10_000

/** Attempts that engines have reported to run, each with the software versions of these engines. Boxes that have just started learn from them what was lost with the others. */
export class RunSightings {
  readonly #clock: Clock
  /** By attempt, the one that was not seen for longest first. */
  readonly #sightings = new Map<string, Sighting>()

  constructor ({ clock }: { clock: Clock }) {
    this.#clock = clock
  }

  /** Records the runs in an engine's report. One without an event may still begin elsewhere. */
  add (version: string, runs: readonly EngineRun[]): void {
    const seenAtMs = this.#clock.nowMs()
    runs.filter(({ events }) => events > 0).forEach(({ requestId }) => {
      const versions = this.#sightings.get(requestId)?.versions ?? new Set()
      this.#sightings.delete(requestId)
      this.#sightings.set(requestId, { versions: versions.add(version), seenAtMs })
    })
    const excess = [...this.#sightings.keys()].slice(0, Math.max(0, this.#sightings.size - MAX_SIGHTINGS))
    excess.forEach((attempt) => this.#sightings.delete(attempt))
  }

  /** Versions of the engines that ran an attempt within the given time. */
  versionsOf (attempt: string, withinMs: number): string[] {
    const sighting = this.#sightings.get(attempt)
    return sighting && this.#clock.nowMs() - sighting.seenAtMs <= withinMs ? [...sighting.versions] : []
  }
}
