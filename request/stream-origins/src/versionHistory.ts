import { type FleetList, softwareVersionOf, UpstreamKind } from '@reelspan/config.fleet'
import { type Clock } from '@reelspan/core.env'

/** The software versions of engines that were listed lately, by pool. */
export class VersionHistory {
  readonly #clock: Clock
  #listed = new Map<string, Set<string>>()
  /** When versions that are no longer listed were last listed, by pool. */
  readonly #goneAtMs = new Map<string, Map<string, number>>()
  #firstListAtMs?: number

  constructor ({ clock }: { clock: Clock }) {
    this.#clock = clock
  }

  /** Records the list in force. Must be called with each list. */
  observe (fleet: FleetList): void {
    const nowMs = this.#clock.nowMs()
    const engines = fleet.upstreams.filter(({ kind }) => kind === UpstreamKind.Engine)
    if (engines.length > 0) this.#firstListAtMs ??= nowMs
    const listed = new Map<string, Set<string>>()
    engines.forEach((engine) => listed.set(engine.pool, (listed.get(engine.pool) ?? new Set()).add(softwareVersionOf(engine))))
    this.#listed.forEach((versions, pool) => {
      const gone = [...versions].filter((version) => !listed.get(pool)?.has(version))
      if (gone.length === 0) return
      const goneAtMs = this.#goneAtMs.get(pool) ?? new Map<string, number>()
      gone.forEach((version) => goneAtMs.set(version, nowMs))
      this.#goneAtMs.set(pool, goneAtMs)
    })
    this.#listed = listed
  }

  /** Versions that are listed in any of the pools, or were within the given time. */
  versions (pools: readonly string[], withinMs: number): string[] {
    const sinceMs = this.#clock.nowMs() - withinMs
    const versions = pools.flatMap((pool) => [
      ...this.#listed.get(pool) ?? [],
      ...[...this.#goneAtMs.get(pool) ?? []].filter(([, goneAtMs]) => goneAtMs >= sinceMs).map(([version]) => version),
    ])
    return [...new Set(versions)]
  }

  /** Time for which lists have been observed. */
  get coveredMs (): number {
    return this.#firstListAtMs === undefined ? 0 : this.#clock.nowMs() - this.#firstListAtMs
  }
}
