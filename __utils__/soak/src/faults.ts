import { setTimeout as sleep } from 'node:timers/promises'
import { type SeededRandom } from '@reelspan/utils.fakes'
import { drawOne } from './drawOne.js'
import { PathFault } from './faultProxy.js'
import { type SoakBox, type SoakFleet } from './soakFleet.js'

/** What may happen to the system from outside. */
export enum FaultKind {
  KillBox = 'killBox',
  KillMost = 'killMost',
  PauseBox = 'pauseBox',
  StopBox = 'stopBox',
  ChangeSettings = 'changeSettings',
  StorePath = 'storePath',
  StoreRefuses = 'storeRefuses',
  StoreSilent = 'storeSilent',
  StoreForgets = 'storeForgets',
  UpstreamPath = 'upstreamPath',
  CrashUpstream = 'crashUpstream',
  ChangeConfiguration = 'changeConfiguration',
}

/** The platform ends a process that has not stopped by then; a part of it for a busy machine comes on top. */
const GRACE_MS = 8000
const GRACE_SLACK_MS = 1500
const SHORTEST_MS = 200
const LONGEST_MS = 3000

export interface FaultsOptions {
  fleet: SoakFleet
  random: SeededRandom
  violation: (text: string) => void
}

/** Causes faults, several at a time. A box or upstream has one at once. */
export class Faults {
  readonly #opts: FaultsOptions
  readonly #busy = new Set<object>()
  readonly #active = new Set<Promise<void>>()
  /** Every fault so far, in order. */
  readonly log: string[] = []

  constructor (opts: FaultsOptions) {
    this.#opts = opts
  }

  /** Begins a random fault that ends by itself. */
  begin (): void {
    const kinds = Object.values(FaultKind)
    const kind = drawOne(this.#opts.random, kinds)
    const durationMs = Math.round(SHORTEST_MS + this.#opts.random.nextFloat() * (LONGEST_MS - SHORTEST_MS))
    this.log.push(`${new Date().toISOString().slice(14, 23)} ${kind} ${durationMs} ms`)
    const running: Promise<void> = this.#cause(kind, durationMs)
      .catch((thrown: unknown) => this.#opts.violation(`${kind}: ${String(thrown)}`))
      .finally(() => this.#active.delete(running))
    this.#active.add(running)
  }

  /** Resolves once every fault is over. */
  async over (): Promise<void> {
    while (this.#active.size > 0) await Promise.all(this.#active)
  }

  async #cause (kind: FaultKind, durationMs: number): Promise<void> {
    const { fleet } = this.#opts
    switch (kind) {
      case FaultKind.KillBox: return this.#withFree(fleet.boxes, (box) => this.#kill(box, durationMs))
      case FaultKind.KillMost: return this.#killMost(durationMs)
      case FaultKind.PauseBox: return this.#withFree(fleet.boxes, (box) => this.#pause(box, durationMs))
      case FaultKind.StopBox: return this.#withFree(fleet.boxes, (box) => this.stopBox(box))
      case FaultKind.ChangeSettings: return this.#withFree(fleet.boxes, (box) => this.#changeSettings(box))
      case FaultKind.StorePath: return this.#withFree(fleet.storePaths, (path) => this.#harm(path, durationMs))
      case FaultKind.StoreRefuses: return this.#storeRefuses(durationMs)
      case FaultKind.StoreSilent: return this.#storeSilent(durationMs)
      case FaultKind.StoreForgets: return fleet.store.forgetHistory()
      case FaultKind.UpstreamPath: return this.#withFree(fleet.places, ({ proxy }) => this.#harm(proxy, durationMs))
      case FaultKind.CrashUpstream: return this.#crashUpstream(durationMs)
      case FaultKind.ChangeConfiguration:
        fleet.publish()
    }
  }

  /** A planned stop and a new start. */
  async stopBox (box: SoakBox): Promise<void> {
    const { fleet, violation } = this.#opts
    this.log.push(`${new Date().toISOString().slice(14, 23)} SIGTERM to ${box.name}`)
    box.process.signal('SIGTERM')
    const late = sleep(GRACE_MS + GRACE_SLACK_MS, 'late', { ref: false })
    if (await Promise.race([box.process.waitExit(), late]) === 'late') {
      violation(`${box.name} did not stop within ${GRACE_MS} ms`)
      await box.process.kill()
    }
    fleet.startBox(box)
  }

  async #kill (box: SoakBox, downMs: number): Promise<void> {
    await box.process.kill()
    await sleep(downMs)
    this.#opts.fleet.startBox(box)
  }

  async #killMost (downMs: number): Promise<void> {
    const free = this.#opts.fleet.boxes.filter((box) => !this.#busy.has(box)).slice(1)
    await Promise.all(free.map((box) => this.#with(box, () => this.#kill(box, downMs))))
  }

  async #pause (box: SoakBox, durationMs: number): Promise<void> {
    const pause = { fromMs: performance.now(), toMs: Number.POSITIVE_INFINITY }
    box.pauses.push(pause)
    box.process.signal('SIGSTOP')
    await sleep(durationMs)
    box.process.signal('SIGCONT')
    pause.toMs = performance.now()
  }

  async #changeSettings (box: SoakBox): Promise<void> {
    await this.#opts.fleet.changeSettings(box)
    box.process.signal('SIGHUP')
  }

  async #harm (path: { fault: PathFault }, durationMs: number): Promise<void> {
    path.fault = drawOne(this.#opts.random, Object.values(PathFault))
    await sleep(durationMs)
    path.fault = PathFault.None
  }

  async #storeRefuses (durationMs: number): Promise<void> {
    const { store } = this.#opts.fleet
    store.failWith = drawOne(this.#opts.random, [429, 503])
    await sleep(durationMs)
    store.failWith = undefined
  }

  async #storeSilent (durationMs: number): Promise<void> {
    const { store } = this.#opts.fleet
    store.mute = true
    await sleep(durationMs)
    store.mute = false
  }

  async #crashUpstream (downMs: number): Promise<void> {
    const { fleet } = this.#opts
    await this.#withFree(fleet.places, async (place) => {
      await fleet.crash(place)
      await sleep(downMs)
      await fleet.revive(place)
    })
  }

  async #withFree<T extends object> (all: readonly T[], work: (one: T) => Promise<void>): Promise<void> {
    const free = all.filter((one) => !this.#busy.has(one))
    if (free.length === 0) return
    const one = drawOne(this.#opts.random, free)
    await this.#with(one, () => work(one))
  }

  async #with (one: object, work: () => Promise<void>): Promise<void> {
    this.#busy.add(one)
    try {
      await work()
    } finally {
      this.#busy.delete(one)
    }
  }
}
