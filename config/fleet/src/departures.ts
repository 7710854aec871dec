import { type Clock } from '@reelspan/core.env'
import { type ListedUpstream } from './entries.js'
import { type FleetList } from './fleetList.js'

/** How long an upstream is remembered after it was last listed: copies that a store comes back from are some seconds old. */
const MEMORY_MS = 60_000
/** Entries outlive their upstream by some three heartbeats of about a second. One that stands there for longer lives. */
const RELISTED_MS = 5000
/** Above the number of upstreams of the largest planned deployment. */
const MAX_REMEMBERED = 4000

/**
 * Remembers which upstreams were draining or gone, since a store that comes back from
 * an older copy may list them as ready again. Names are those of one start.
 */
export class Departures {
  readonly #clock: Clock
  /** When each was last listed as leaving. */
  readonly #drainingAtMs = new Map<string, number>()
  readonly #goneAtMs = new Map<string, number>()
  /** Those that were draining when the store came back. */
  readonly #draining = new Set<string>()
  /** Those that were gone when the store came back, until it is known that they live. */
  readonly #doubted = new Set<string>()
  #listed: readonly ListedUpstream[] = []
  #restoredAtMs = Number.NEGATIVE_INFINITY
  #revision = 0

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Rises when another set of upstreams is taken for departed. */
  get revision (): number {
    if (this.#doubted.size > 0 && this.sinceRestoredMs >= RELISTED_MS) {
      this.#doubted.clear()
      this.#revision++
    }
    return this.#revision
  }

  get sinceRestoredMs (): number {
    return this.#clock.nowMs() - this.#restoredAtMs
  }

  /** Upstreams that were draining when the store came back from an older copy, whatever it lists now. */
  get draining (): readonly string[] {
    return [...this.#draining]
  }

  /** Whether an upstream gets no new work, whatever the list says. */
  has (name: string): boolean {
    return this.#draining.has(name) || this.#doubted.has(name)
  }

  /** The store has come back from an older copy. Called before its list is recorded. */
  noteRestored (): void {
    this.#restoredAtMs = this.#clock.nowMs()
    this.#expire();
    [...this.#drainingAtMs.keys()].forEach((name) => this.#draining.add(name));
    [...this.#goneAtMs.keys()].forEach((name) => this.#doubted.add(name))
    this.#revision++
  }

  /** Records a list, with the upstreams that are kept though they are missing. */
  record ({ upstreams }: FleetList): void {
    const nowMs = this.#clock.nowMs()
    const names = new Set(upstreams.map(({ name }) => name))
    this.#listed.filter(({ name }) => !names.has(name)).forEach(({ name }) => remember(this.#goneAtMs, name, nowMs))
    upstreams.filter(({ leaving }) => leaving).forEach(({ name }) => remember(this.#drainingAtMs, name, nowMs))
    names.forEach((name) => {
      if (!this.#doubted.has(name)) this.#goneAtMs.delete(name)
    })
    this.#listed = upstreams
    this.#expire()
  }

  #expire (): void {
    const oldestMs = this.#clock.nowMs() - MEMORY_MS
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
