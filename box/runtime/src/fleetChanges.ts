import { type GuardedFleet } from '@reelspan/config.fleet'
import { type StoreRevision } from '@reelspan/config.store'
import { type Log, LogEvent } from '@reelspan/telemetry.log'

export interface FleetChangesOptions {
  fleet: GuardedFleet
  log: Log
  /** How long ago the platform answered anyone, as far as this box knows. */
  platformSilentMs: () => number | undefined
}

/** What a box believes of an upstream. */
enum Standing {
  TakesWork = 'takesWork',
  Leaving = 'leaving',
  /** Not listed any more, but kept, since its entry may have lapsed. */
  Kept = 'kept',
}

/** Names in one line; a list that grows by hundreds of upstreams is no news of each. */
const MAX_NAMES = 40

/** Tells the log which upstreams came, leave, went or are kept though they are not listed, since it last looked. */
export class FleetChanges {
  readonly #opts: FleetChangesOptions
  #known = new Map<string, Standing>()

  constructor (opts: FleetChangesOptions) {
    this.#opts = opts
  }

  /** Compares the list with what it was at the last call. */
  note ({ era, revision }: StoreRevision): void {
    const { fleet, log, platformSilentMs } = this.#opts
    const before = this.#known
    const now = standings(fleet)
    this.#known = now
    const changed = [...now].filter(([name, standing]) => before.get(name) !== standing)
    const gone = [...before.keys()].filter((name) => !now.has(name))
    if (changed.length === 0 && gone.length === 0) return
    const namesOf = (wanted: Standing) => changed.filter(([, standing]) => standing === wanted).map(([name]) => name).slice(0, MAX_NAMES)
    log.info(LogEvent.UpstreamsChanged, {
      revision,
      era,
      changes: changed.length + gone.length,
      takingWork: namesOf(Standing.TakesWork),
      leaving: namesOf(Standing.Leaving),
      kept: namesOf(Standing.Kept),
      gone: gone.slice(0, MAX_NAMES),
      platformSilentMs: roundOrNone(platformSilentMs()),
    })
  }
}

function standings (fleet: GuardedFleet): Map<string, Standing> {
  const { upstreams } = fleet.value
  const missing = new Set(fleet.missing)
  return new Map(upstreams.map(({ name, leaving }) => [name, missing.has(name) ? Standing.Kept : leaving ? Standing.Leaving : Standing.TakesWork]))
}

function roundOrNone (valueMs: number | undefined): number | undefined {
  return valueMs === undefined ? undefined : Math.round(valueMs)
}
