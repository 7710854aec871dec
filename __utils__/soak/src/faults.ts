import { setTimeout as sleep } from 'node:timers/promises'
import { type SeededRandom } from '@reelspan/utils.fakes'
import { drawOne } from './drawOne.js'
import { type FaultProxy, PathFault, Silence } from './faultProxy.js'
import { EVERYTHING } from './harmLog.js'
import { type SoakBox, type SoakFleet, type UpstreamPlace } from './soakFleet.js'

/** What may happen to the system from outside. */
export enum FaultKind {
  KillBox = 'killBox',
  KillMost = 'killMost',
  PauseBox = 'pauseBox',
  StopBox = 'stopBox',
  ChangeSettings = 'changeSettings',
  /** SIGTERM, then SIGSTOP and SIGCONT while the box stops. */
  PauseWhileStopping = 'pauseWhileStopping',
  /** SIGTERM, then SIGKILL while the box stops. */
  KillWhileStopping = 'killWhileStopping',
  /** Configurations around a kill and a start. */
  RestartDuringChange = 'restartDuringChange',
  /** SIGHUP again and again, then SIGTERM. */
  ReloadsThenStop = 'reloadsThenStop',
  StorePath = 'storePath',
  PeerPath = 'peerPath',
  UpstreamPath = 'upstreamPath',
  SilentStoreConnections = 'silentStoreConnections',
  SilentPeerConnections = 'silentPeerConnections',
  SilentUpstreamConnections = 'silentUpstreamConnections',
  StoreRefuses = 'storeRefuses',
  StoreSilent = 'storeSilent',
  StoreSlow = 'storeSlow',
  /** Reads are stale, and after a change the history is lost, so that boxes read anew. */
  StoreStale = 'storeStale',
  StoreForgets = 'storeForgets',
  CrashUpstream = 'crashUpstream',
  UpstreamLeaves = 'upstreamLeaves',
  /** An upstream leaves while a box is cut from the store. */
  UpstreamLeavesWhileCut = 'upstreamLeavesWhileCut',
  ChangeConfiguration = 'changeConfiguration',
}

const SHORTEST_MS = 200
const LONGEST_MS = 3000
const LONGEST_STORE_DELAY_MS = 1500
const RELOADS = 3
const RELOAD_GAP_MS = 150
/** Most boxes that are killed at once: their starts share the machine's cores. */
const MOST_KILLED = 12
/** An upstream that leaves serves on for this long, past the time by which nothing new may reach it. */
const LEAVING_MS = 3500
/** News of a change is at the boxes by then. */
const NEWS_MS = 400
/** Configurations that a copy lacks. Only the last of them is written again, so that the store's revisions stay behind. */
const LOST_PUBLICATIONS = 30
/** Past a watch of a box, after which it acts on what it read. */
const STALE_MS = 3000
/** Part of the open connections of a path that go silent. */
const SILENT_SHARE = 0.7
/** A silent connection hides from an upstream what its caller does. By then those that were open have ended. */
const SILENT_HARM_MS = 10_000

export interface FaultsOptions {
  fleet: SoakFleet
  random: SeededRandom
  violation: (text: string) => void
  /** Whether a client waits for an answer of the box. */
  isBusy: (box: SoakBox) => boolean
}

/** Causes faults, several at a time, also on the same box. An upstream has one at once. */
export class Faults {
  readonly #opts: FaultsOptions
  readonly #busy = new Set<object>()
  readonly #active = new Set<Promise<void>>()
  /** Every fault so far, in order. */
  readonly log: string[] = []

  constructor (opts: FaultsOptions) {
    this.#opts = opts
  }

  /** Begins a random fault, of those given, that ends by itself. */
  begin (kinds: readonly FaultKind[]): void {
    const kind = drawOne(this.#opts.random, kinds)
    const durationMs = this.#drawMs(SHORTEST_MS, LONGEST_MS)
    this.#note(`${kind} ${durationMs} ms`)
    const running: Promise<void> = this.#cause(kind, durationMs)
      .catch((thrown: unknown) => this.#opts.violation(`${kind}: ${String(thrown)}`))
      .finally(() => this.#active.delete(running))
    this.#active.add(running)
  }

  /** Resolves once every fault is over. */
  async over (): Promise<void> {
    while (this.#active.size > 0) await Promise.all(this.#active)
  }

  /** A planned stop and a new start. */
  async stopBox (box: SoakBox): Promise<void> {
    const { fleet, violation, isBusy } = this.#opts
    this.#note(`SIGTERM to ${box.name}`)
    await fleet.stopBox(box, () => {
      if (!isBusy(box) && box.pauses.length === 0) violation(`${box.name} did not stop within the grace, and answered nobody`)
    })
  }

  /** An upstream leaves, serves on past the bound, and ends. */
  async leave (place: UpstreamPlace): Promise<void> {
    const { fleet, random } = this.#opts
    this.#note(`${place.instance} leaves`)
    fleet.depart(place, { saysSo: random.nextFloat() < 0.7 })
    await sleep(LEAVING_MS)
    await fleet.waitIdle(place)
    await this.#harming(place.name, async () => {
      await fleet.crash(place)
      await fleet.revive(place)
    })
  }

  /** The same, said by its responses alone: its entry stays as it was until it ends. */
  async leaveUnlisted (place: UpstreamPlace): Promise<void> {
    const { fleet } = this.#opts
    this.#note(`${place.instance} leaves, and its entry does not say so`)
    fleet.advertiseDraining(place)
    await sleep(LEAVING_MS + LEAVING_MS)
    await fleet.waitIdle(place)
    await this.#harming(place.name, async () => {
      await fleet.crash(place)
      await fleet.revive(place)
    })
  }

  async #cause (kind: FaultKind, durationMs: number): Promise<void> {
    const { fleet, random } = this.#opts
    const { store } = fleet
    const box = drawOne(random, fleet.boxes)
    const { front } = box.addresses
    switch (kind) {
      case FaultKind.KillBox: return this.#kill(box, durationMs)
      case FaultKind.KillMost: return this.#killMost(durationMs)
      case FaultKind.PauseBox: return this.#pause(box, durationMs)
      case FaultKind.StopBox: return this.stopBox(box)
      case FaultKind.ChangeSettings: return this.#changeSettings(box)
      case FaultKind.PauseWhileStopping: return this.#whileStopping(box, () => this.#pause(box, durationMs))
      case FaultKind.KillWhileStopping: return this.#whileStopping(box, () => this.#kill(box, SHORTEST_MS))
      case FaultKind.RestartDuringChange: return this.#restartDuringChange(box, durationMs)
      case FaultKind.ReloadsThenStop: return this.#reloadsThenStop(box)
      case FaultKind.StorePath: return this.#harm(box.storePath, front, durationMs)
      case FaultKind.PeerPath: return this.#harm(box.peerPath, front, durationMs)
      case FaultKind.UpstreamPath: return this.#withFree(fleet.places, ({ proxy, name }) => this.#harm(proxy, name, durationMs))
      case FaultKind.SilentStoreConnections: return this.#silence(box.storePath, front)
      case FaultKind.SilentPeerConnections: return this.#silence(box.peerPath, EVERYTHING)
      case FaultKind.SilentUpstreamConnections: return this.#silenceUpstream()
      case FaultKind.StoreRefuses: return this.#whileStore(durationMs, () => { store.failWith = drawOne(random, [429, 503]) }, () => { store.failWith = undefined })
      case FaultKind.StoreSilent: return this.#whileStore(durationMs, () => { store.mute = true }, () => { store.mute = false })
      case FaultKind.StoreSlow: return this.#whileStore(durationMs, () => { store.delayMs = this.#drawMs(0, LONGEST_STORE_DELAY_MS) }, () => { store.delayMs = 0 })
      case FaultKind.StoreStale: return this.#withFree([store], () => this.#storeStale())
      case FaultKind.StoreForgets: return this.#whileStore(0, () => store.forgetHistory(), () => {})
      case FaultKind.CrashUpstream: return this.#crashUpstream(durationMs)
      case FaultKind.UpstreamLeaves: return this.#withFree(fleet.places, (place) => this.leave(place))
      case FaultKind.UpstreamLeavesWhileCut: return this.#leaveWhileCut(box, durationMs)
      case FaultKind.ChangeConfiguration: fleet.publish()
    }
  }

  async #kill (box: SoakBox, downMs: number): Promise<void> {
    const { fleet } = this.#opts
    await this.#harming(box.addresses.front, async () => {
      await fleet.killBox(box)
      await sleep(downMs)
      fleet.startBox(box)
    })
  }

  async #killMost (downMs: number): Promise<void> {
    const [, ...most] = this.#opts.fleet.boxes
    await Promise.all(most.slice(0, MOST_KILLED).map((box) => this.#kill(box, downMs)))
  }

  async #pause (box: SoakBox, durationMs: number): Promise<void> {
    const pause = { fromMs: performance.now(), toMs: Number.POSITIVE_INFINITY }
    const { process } = box
    box.pauses.push(pause)
    process.signal('SIGSTOP')
    await sleep(durationMs)
    process.signal('SIGCONT')
    pause.toMs = performance.now()
  }

  async #changeSettings (box: SoakBox): Promise<void> {
    await this.#opts.fleet.changeSettings(box)
    box.process.signal('SIGHUP')
  }

  async #whileStopping (box: SoakBox, fault: () => Promise<void>): Promise<void> {
    const stopped = this.stopBox(box)
    await sleep(this.#drawMs(SHORTEST_MS, LONGEST_MS))
    await Promise.all([stopped, fault()])
  }

  async #restartDuringChange (box: SoakBox, downMs: number): Promise<void> {
    const { fleet } = this.#opts
    fleet.publish()
    const killed = this.#kill(box, downMs)
    await sleep(downMs / 2)
    fleet.publish()
    await killed
    fleet.publish()
  }

  async #reloadsThenStop (box: SoakBox): Promise<void> {
    for (let i = 0; i < RELOADS; i++) {
      await this.#changeSettings(box)
      await sleep(RELOAD_GAP_MS)
    }
    await this.stopBox(box)
  }

  async #harm (path: FaultProxy, subject: string, durationMs: number): Promise<void> {
    await this.#harming(subject, async () => {
      path.fault = drawOne(this.#opts.random, Object.values(PathFault))
      this.#note(`${subject}: path ${path.fault}`)
      await sleep(durationMs)
      path.fault = PathFault.None
    })
  }

  /** Open connections go silent for good; new ones work. */
  async #silence (path: FaultProxy, subject: string): Promise<void> {
    const { fleet, random } = this.#opts
    const silence = drawOne(random, Object.values(Silence))
    const count = path.silenceOpen(silence, () => random.nextFloat() < SILENT_SHARE)
    fleet.harms.note(subject)
    this.#note(`${count} connections of ${subject} are silent ${silence}`)
  }

  async #silenceUpstream (): Promise<void> {
    const { fleet, random } = this.#opts
    const { proxy, name } = drawOne(random, fleet.places)
    const fromMs = performance.now()
    fleet.harms.note(name, { fromMs, toMs: fromMs + SILENT_HARM_MS })
    await this.#silence(proxy, name)
  }

  async #whileStore (durationMs: number, begin: () => void, end: () => void): Promise<void> {
    await this.#harming(EVERYTHING, async () => {
      begin()
      await sleep(durationMs)
      end()
    })
  }

  async #storeStale (): Promise<void> {
    const { fleet, fleet: { store } } = this.#opts
    await this.#harming(EVERYTHING, async () => {
      const stale = { fromMs: performance.now(), toMs: Number.POSITIVE_INFINITY }
      fleet.staleReads.push(stale)
      store.answerStaleReads()
      fleet.publish()
      await sleep(NEWS_MS)
      store.forgetHistory()
      await sleep(STALE_MS)
      store.answerFreshReads()
      stale.toMs = performance.now()
    })
  }

  /** The store is away for a moment and comes back from a copy. Its writers write again what it has lost. */
  async restoreStore (awayMs: number): Promise<void> {
    const { fleet, fleet: { store } } = this.#opts
    this.#note(`the store comes back from a copy after ${awayMs} ms`)
    await this.#harming(EVERYTHING, async () => {
      const copy = store.copy()
      for (let i = 0; i < LOST_PUBLICATIONS; i++) fleet.publish()
      await this.#withFree(fleet.places, async (place) => {
        await fleet.crash(place)
        await fleet.revive(place)
      })
      await sleep(NEWS_MS)
      store.mute = true
      await sleep(awayMs)
      const stale = { fromMs: performance.now(), toMs: Number.POSITIVE_INFINITY }
      fleet.staleReads.push(stale)
      store.restore(copy)
      store.mute = false
      await sleep(NEWS_MS)
      fleet.writeAgain()
      stale.toMs = performance.now()
    })
  }

  async #crashUpstream (downMs: number): Promise<void> {
    const { fleet } = this.#opts
    await this.#withFree(fleet.places, (place) => this.#harming(place.name, async () => {
      await fleet.crash(place)
      await sleep(downMs)
      await fleet.revive(place)
    }))
  }

  async #leaveWhileCut (box: SoakBox, durationMs: number): Promise<void> {
    const { fleet } = this.#opts
    const cut = this.#harm(box.storePath, box.addresses.front, durationMs)
    await Promise.all([cut, this.#withFree(fleet.places, (place) => this.leave(place))])
  }

  async #harming (subject: string, work: () => Promise<void>): Promise<void> {
    const over = this.#opts.fleet.harms.begin(subject)
    try {
      await work()
    } finally {
      over()
    }
  }

  async #withFree<T extends object> (all: readonly T[], work: (one: T) => Promise<void>): Promise<void> {
    const free = all.filter((one) => !this.#busy.has(one))
    if (free.length === 0) return
    const one = drawOne(this.#opts.random, free)
    this.#busy.add(one)
    try {
      await work(one)
    } finally {
      this.#busy.delete(one)
    }
  }

  #drawMs (leastMs: number, mostMs: number): number {
    return Math.round(leastMs + this.#opts.random.nextFloat() * (mostMs - leastMs))
  }

  #note (text: string): void {
    this.log.push(`${new Date().toISOString().slice(14, 23)} ${text}`)
  }
}
