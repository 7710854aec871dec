import { type ReconciledFleet } from '@reelspan/config.fleet'
import { type StoreRevision } from '@reelspan/config.store'
import { type Log, LogEvent } from '@reelspan/telemetry.log'

export interface FleetChangeLoggerOptions {
  fleet: ReconciledFleet
  log: Log
  /** Time since the platform last answered any box, as far as this box knows. */
  platformSilentMs: () => number | undefined
}

/** State of an upstream in the fleet list that a box acts on. */
enum ListingState {
  TakesWork = 'takesWork',
  Draining = 'leaving',
  /** No longer listed by the platform, but kept, since its entry may only have expired. */
  Kept = 'kept',
}

/** Bounds the log line when hundreds of upstreams change at once. */
const MAX_NAMES_PER_FIELD = 40

/** Logs which upstreams were added, are draining, were removed, or are kept although no longer listed. */
export class FleetChangeLogger {
  readonly #opts: FleetChangeLoggerOptions
  #previous = new Map<string, ListingState>()

  constructor (opts: FleetChangeLoggerOptions) {
    this.#opts = opts
  }

  /** Logs the differences from the list at the previous call. */
  logChanges ({ era, revision }: StoreRevision): void {
    const { fleet, log, platformSilentMs } = this.#opts
    const previous = this.#previous
    const current = listingStates(fleet)
    this.#previous = current
    const changed = [...current].filter(([name, state]) => previous.get(name) !== state)
    const removed = [...previous.keys()].filter((name) => !current.has(name))
    if (changed.length === 0 && removed.length === 0) return
    const namesOf = (wanted: ListingState) => changed.filter(([, state]) => state === wanted).map(([name]) => name).slice(0, MAX_NAMES_PER_FIELD)
    log.info(LogEvent.UpstreamsChanged, {
      revision,
      era,
      changes: changed.length + removed.length,
      takingWork: namesOf(ListingState.TakesWork),
      leaving: namesOf(ListingState.Draining),
      kept: namesOf(ListingState.Kept),
      gone: removed.slice(0, MAX_NAMES_PER_FIELD),
      platformSilentMs: roundIfKnown(platformSilentMs()),
    })
  }
}

function listingStates (fleet: ReconciledFleet): Map<string, ListingState> {
  const { upstreams } = fleet.value
  const missing = new Set(fleet.missing)
  return new Map(upstreams.map(({ name, leaving }) => [name, missing.has(name) ? ListingState.Kept : leaving ? ListingState.Draining : ListingState.TakesWork]))
}

function roundIfKnown (valueMs: number | undefined): number | undefined {
  return valueMs === undefined ? undefined : Math.round(valueMs)
}
