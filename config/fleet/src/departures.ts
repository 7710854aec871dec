import { type Clock } from '@reelspan/core.env'
import { type ListedUpstream } from './entries.js'
import { type FleetList } from './fleetList.js'

/** How long an upstream is remembered after it was last listed: the copies that a store is restored from are some seconds old. */
const RETENTION_MS = 60_000
/** An entry outlives its upstream by about three heartbeats of about a second each. An upstream that is listed for longer is alive. */
const RELIST_CONFIRM_MS = 5000
/** More than the upstreams of the largest planned deployment. */
const MAX_REMEMBERED = 4000

/**
 * Remembers which upstreams were draining or gone, because a store that is restored from
 * an older backup may list them as ready again. A name identifies one start of an upstream.
 */
export class Departures {
  readonly #clock: Clock
  /** When each upstream was last listed as leaving. */
  readonly #drainingAtMs = new Map<string, number>()
  /** When each upstream was removed from the list. */
  readonly #goneAtMs = new Map<string, number>()
  /** Upstreams that were draining when the store was restored. */
  readonly #draining = new Set<string>()
  /** Upstreams that were gone when the store was restored, until they are known to be alive. */
  readonly #unconfirmed = new Set<string>()
  #listed: readonly ListedUpstream[] = []
  #restoredAtMs = Number.NEGATIVE_INFINITY
  #revision = 0

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Increases whenever the set of departed upstreams changes. */
  get revision (): number {
    if (this.#unconfirmed.size > 0 && this.sinceRestoredMs >= RELIST_CONFIRM_MS) {
      this.#unconfirmed.clear()
      this.#revision++
    }
    return this.#revision
  }

  get sinceRestoredMs (): number {
    return this.#clock.nowMs() - this.#restoredAtMs
  }

  /** Upstreams that were draining when the store was restored from an older backup, whatever it lists now. */
  get draining (): readonly string[] {
    return [...this.#draining]
  }

  /** Whether an upstream is departed and gets no new work, whatever the list contains. */
  has (name: string): boolean {
    return this.#draining.has(name) || this.#unconfirmed.has(name)
  }

  /** Records that the store was restored from an older backup. Must be called before its list is recorded. */
  recordRestored (): void {
    this.#restoredAtMs = this.#clock.nowMs()
    this.#expire();
    [...this.#drainingAtMs.keys()].forEach((name) => this.#draining.add(name));
    [...this.#goneAtMs.keys()].forEach((name) => this.#unconfirmed.add(name))
    this.#revision++
  }

  /** Records a list, including the retained upstreams that are missing in it. */
  record ({ upstreams }: FleetList): void {
    const nowMs = this.#clock.nowMs()
    const names = new Set(upstreams.map(({ name }) => name))
    this.#listed.filter(({ name }) => !names.has(name)).forEach(({ name }) => remember(this.#goneAtMs, name, nowMs))
    upstreams.filter(({ leaving }) => leaving).forEach(({ name }) => remember(this.#drainingAtMs, name, nowMs))
    names.forEach((name) => {
      if (!this.#unconfirmed.has(name)) this.#goneAtMs.delete(name)
    })
    this.#listed = upstreams
    this.#expire()
  }

  #expire (): void {
    const oldestMs = this.#clock.nowMs() - RETENTION_MS
    const listed = new Set(this.#listed.map(({ name }) => name))
    const isOver = ([name, atMs]: [string, number]) => atMs < oldestMs && !listed.has(name);
    [...this.#drainingAtMs].filter(isOver).forEach(([name]) => {
      this.#drainingAtMs.delete(name)
      this.#draining.delete(name)
    });
    [...this.#goneAtMs].filter(isOver).forEach(([name]) => this.#goneAtMs.delete(name))
  }
}

function remember (times: Map<string, number>, name: string, nowMs: number): void {
  times.delete(name)
  times.set(name, nowMs)
  if (times.size > MAX_REMEMBERED) times.delete(times.keys().next().value as string)
}
