import { REREGISTRATION_MS } from '@reelspan/config.fleet'
import { storeRevisionOf } from '@reelspan/config.store'
import { type TaskGroup } from '@reelspan/core.env'
import { Collection } from '@reelspan/core.messages'
import { SchedulerPlacer } from '@reelspan/scheduling.scheduler-placer'
import { LogEvent } from '@reelspan/telemetry.log'
import { type UpstreamSignals } from '@reelspan/upstream.client'
import { type BoxParts } from './boxParts.js'
import { FleetChangeLogger } from './fleetChangeLogger.js'

const RECONCILE_PERIOD_MS = 5000
const REMEMBERED_DRAINING: UpstreamSignals = { succeeded: false, draining: { draining: true, text: 'remembered' } }

/** Applies changes of the declarations, the fleet and the members to the parts of a box. */
export class Reconciler {
  readonly #parts: BoxParts
  readonly #tasks: TaskGroup
  readonly #fleetChangeLogger: FleetChangeLogger
  #ready = false
  /** Era of the platform's store from which the list in force was read. */
  #listEra?: number
  /** Whether a reconcile pass is scheduled. */
  #reconcilePending = false

  constructor (parts: BoxParts, tasks: TaskGroup) {
    this.#parts = parts
    this.#tasks = tasks
    this.#fleetChangeLogger = new FleetChangeLogger({ fleet: parts.fleet, log: parts.log, platformSilentMs: () => parts.platformContact.sinceContactMs })
  }

  /** Whether this box has adopted a configuration. */
  get ready (): boolean {
    return this.#ready
  }

  start (): void {
    Object.values(Collection).forEach((collection) => this.#tasks.run(() => this.#onRevisions(collection)))
    this.#parts.platformContact.onRegained(() => this.#tasks.run(() => this.#reconcileAfterReregistration()))
    this.#reconcile()
    // A shard that this box no longer schedules is kept until its scheduler is idle, and removed by a later pass.
    this.#tasks.repeat(async () => this.#reconcile(), { periodMs: RECONCILE_PERIOD_MS })
  }

  /** Applies a change of the fleet that the platform's list does not contain. */
  onFleetChange (): void {
    this.#onFleetRevision(this.#parts.fleetList.revision)
    this.reconcileSoon()
  }

  /**
   * Coalesces member changes that arrive together into one reconcile pass, since each pass visits all members.
   * When 195 boxes start at once, each receives all others within a few hundred ms, often thirty in one message.
   */
  reconcileSoon (): void {
    if (this.#reconcilePending) return
    this.#reconcilePending = true
    const { clock, placer } = this.#parts
    this.#tasks.run(async () => {
      await clock.awaitPendingInput()
      this.#reconcilePending = false
      if (this.#tasks.stopped) return
      this.#reconcile()
      if (placer instanceof SchedulerPlacer) await placer.transferToNewSchedulers()
    })
  }

  /** Drops upstreams whose entries expired during a platform outage and that have not registered again in time. */
  async #reconcileAfterReregistration (): Promise<void> {
    const { clock, fleet, fleetList, log } = this.#parts
    await clock.sleep(REREGISTRATION_MS, { signal: this.#tasks.signal })
    log.info(LogEvent.EntriesKept, { gone: fleet.missing })
    this.#onFleetRevision(fleetList.revision)
    this.#reconcile()
  }

  #onListAdopted (listRevision: number): void {
    const { era } = storeRevisionOf(listRevision)
    const isRestored = this.#listEra !== undefined && era > this.#listEra
    this.#listEra = era
    this.#onFleetRevision(listRevision)
    if (isRestored) this.#onRestored()
  }

  /** Gossips the draining upstreams that a restored platform store no longer contains, so that boxes that start now know them too. */
  #onRestored (): void {
    const { clock, fleet, upstreamStates } = this.#parts
    fleet.rememberedDraining.forEach((name) => upstreamStates.observe(name, REMEMBERED_DRAINING, clock.nowMs()))
    this.#tasks.run(() => this.#reconcileAfterReregistration())
  }

  #onFleetRevision (listRevision: number): void {
    this.#fleetChangeLogger.logChanges(storeRevisionOf(listRevision))
    this.#parts.runEnds.onFleetChanged()
    this.#parts.streamOrigins.onFleetChanged()
  }

  #reconcile (): void {
    const { declarations, shardManagers, settings } = this.#parts
    this.#ready = declarations.revision > 0
    if (settings.scheduling.strategy === 'scheduler') shardManagers.reconcile()
  }

  /** Applies each new revision and announces it to the peers immediately. */
  async #onRevisions (collection: Collection): Promise<void> {
    const { log, prober, view, cachedStateAges } = this.#parts
    const store = collection === Collection.Declarations ? this.#parts.declarations : this.#parts.fleetList
    for (let revision = 0; !this.#tasks.stopped; revision = store.revision) {
      await store.waitAbove(revision, this.#tasks.signal)
      if (this.#tasks.stopped) return
      cachedStateAges.recordAdopted(collection)
      const adopted = collection === Collection.Fleet ? storeRevisionOf(store.revision) : { revision: store.revision }
      log.info(LogEvent.RevisionAdopted, { collection, ...adopted, box: view.self.name })
      if (collection === Collection.Fleet) this.#onListAdopted(store.revision)
      else this.#parts.streamOrigins.onDeclarationsChanged()
      this.#reconcile()
      this.#tasks.run(() => prober.announceRevisionsSoon())
    }
  }
}
