import { REENTRY_MS } from '@reelspan/config.fleet'
import { storeRevisionOf } from '@reelspan/config.store'
import { type TaskGroup } from '@reelspan/core.env'
import { Collection } from '@reelspan/core.messages'
import { SchedulerPlacer } from '@reelspan/scheduling.scheduler-placer'
import { LogEvent } from '@reelspan/telemetry.log'
import { type UpstreamSignals } from '@reelspan/upstream.client'
import { type BoxParts } from './boxParts.js'
import { FleetChanges } from './fleetChanges.js'

const RECONCILE_PERIOD_MS = 5000
const REMEMBERED_DRAINING: UpstreamSignals = { succeeded: false, draining: { draining: true, text: 'remembered' } }

/** Brings what a box does in line with declarations, fleet and members as they change. */
export class Reconciler {
  readonly #parts: BoxParts
  readonly #tasks: TaskGroup
  readonly #fleetChanges: FleetChanges
  #ready = false
  /** Era of the platform's store that the list in force is from. */
  #listEra?: number
  /** A change was noted, and the pass that acts on it is under way. */
  #reconciling = false

  constructor (parts: BoxParts, tasks: TaskGroup) {
    this.#parts = parts
    this.#tasks = tasks
    this.#fleetChanges = new FleetChanges({ fleet: parts.fleet, log: parts.log, platformSilentMs: () => parts.platformContact.silentMs })
  }

  /** Whether this box has a configuration to serve by. */
  get ready (): boolean {
    return this.#ready
  }

  start (): void {
    Object.values(Collection).forEach((collection) => this.#tasks.run(() => this.#onRevisions(collection)))
    this.#parts.platformContact.onBack(() => this.#tasks.run(() => this.#reconcileAfterReentry()))
    this.#reconcile()
    // What was left because something ran there still is given up once it is idle.
    this.#tasks.repeat(async () => this.#reconcile(), { periodMs: RECONCILE_PERIOD_MS })
  }

  /** Acts on a change of the fleet that the platform's list does not have. */
  onFleetChange (): void {
    this.#noteFleet(this.#parts.fleetList.revision)
    this.reconcileSoon()
  }

  /**
   * Acts on changed members once for all that change together: where 195 boxes start
   * at once, each hears of all others within some hundred ms, often thirty in a
   * message, and each pass looks at all members.
   */
  reconcileSoon (): void {
    if (this.#reconciling) return
    this.#reconciling = true
    const { clock, placer } = this.#parts
    this.#tasks.run(async () => {
      await clock.settle()
      this.#reconciling = false
      if (this.#tasks.stopped) return
      this.#reconcile()
      if (placer instanceof SchedulerPlacer) await placer.adoptByNewSchedulers()
    })
  }

  /** Upstreams whose entries lapsed while the platform was away must be back by then, or are gone. */
  async #reconcileAfterReentry (): Promise<void> {
    const { clock, fleet, fleetList, log } = this.#parts
    await clock.sleep(REENTRY_MS, { signal: this.#tasks.signal })
    log.info(LogEvent.EntriesKept, { gone: fleet.missing })
    this.#noteFleet(fleetList.revision)
    this.#reconcile()
  }

  #noteList (listOrder: number): void {
    const { era } = storeRevisionOf(listOrder)
    const isRestored = this.#listEra !== undefined && era > this.#listEra
    this.#listEra = era
    this.#noteFleet(listOrder)
    if (isRestored) this.#onRestored()
  }

  /** Tells the other boxes, and those that start now, what the platform's copy has forgotten. */
  #onRestored (): void {
    const { clock, fleet, upstreamStates } = this.#parts
    fleet.rememberedDraining.forEach((name) => upstreamStates.observe(name, REMEMBERED_DRAINING, clock.nowMs()))
    this.#tasks.run(() => this.#reconcileAfterReentry())
  }

  #noteFleet (listOrder: number): void {
    this.#fleetChanges.note(storeRevisionOf(listOrder))
    this.#parts.brokenRuns.noteFleet()
  }

  #reconcile (): void {
    const { declarations, keepers, settings } = this.#parts
    this.#ready = declarations.revision > 0
    if (settings.scheduling.strategy === 'scheduler') keepers.reconcile()
  }

  /** Acts on each new revision, and tells the peers of it at once. */
  async #onRevisions (collection: Collection): Promise<void> {
    const { log, prober, view, beliefAges } = this.#parts
    const store = collection === Collection.Declarations ? this.#parts.declarations : this.#parts.fleetList
    for (let revision = 0; !this.#tasks.stopped; revision = store.revision) {
      await store.waitAbove(revision, this.#tasks.signal)
      if (this.#tasks.stopped) return
      beliefAges.noteAdopted(collection)
      const adopted = collection === Collection.Fleet ? storeRevisionOf(store.revision) : { revision: store.revision }
      log.info(LogEvent.RevisionAdopted, { collection, ...adopted, box: view.self.name })
      if (collection === Collection.Fleet) this.#noteList(store.revision)
      this.#reconcile()
      this.#tasks.run(() => prober.announceRevisionsSoon())
    }
  }
}
