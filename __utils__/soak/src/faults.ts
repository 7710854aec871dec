import { setTimeout as sleep } from 'node:timers/promises'
import { type SeededRandom } from '@reelspan/utils.fakes'
import { Role } from '@reelspan/utils.platform-stand-ins'
import { sendClientCrowd } from './clientCrowd.js'
import { drawOne } from './drawOne.js'
import { FaultKind } from './faultKind.js'
import { type FaultProxy, NetworkFault, BlackholeDirection } from './faultProxy.js'
import { ALL_SUBJECTS } from './disruptionLog.js'
import { type SoakFleet } from './soakFleet.js'
import { type SoakBox, type UpstreamReplica } from './soakMembers.js'

const MIN_FAULT_MS = 200
const MAX_FAULT_MS = 3000
const MAX_STORE_DELAY_MS = 1500
const RELOADS = 3
const RELOAD_INTERVAL_MS = 150
/** Bounds the boxes that are killed at once, since their starts share the machine's cores. */
const MAX_KILLED = 12
/** How long a draining upstream keeps serving: longer than the bound after which nothing new may reach it. */
const DRAIN_DURATION_MS = 3500
/** Boxes have received an update by then. */
const PROPAGATION_MS = 400
/** Configurations that the backup lacks. Only the last one is written again, so that the store's revisions stay lower than before. */
const LOST_PUBLICATIONS = 30
/** Longer than one watch of a box, after which it applies what it has read. */
const STALE_READS_MS = 3000
/** Share of the open connections of a proxy that are blackholed. */
const BLACKHOLED_SHARE = 0.7
/** Over a blackholed connection an upstream cannot see that its caller has aborted. Requests on connections that were open have ended by then. */
const BLACKHOLE_DISRUPTION_MS = 10_000

export interface FaultInjectorOptions {
  fleet: SoakFleet
  random: SeededRandom
  onViolation: (text: string) => void
  /** Whether a client is waiting for an answer of the box. */
  isBusy: (box: SoakBox) => boolean
}

/** Injects faults from outside, several at a time, also on the same box. An upstream has at most one fault at a time. */
export class FaultInjector {
  readonly #opts: FaultInjectorOptions
  readonly #inUse = new Set<object>()
  readonly #activeFaults = new Set<Promise<void>>()
  /** Descriptions of all faults so far, in order. */
  readonly log: string[] = []

  constructor (opts: FaultInjectorOptions) {
    this.#opts = opts
  }

  /** Starts a random fault of the given kinds. It ends by itself. */
  injectRandom (kinds: readonly FaultKind[]): void {
    const kind = drawOne(this.#opts.random, kinds)
    const durationMs = this.#drawMs(MIN_FAULT_MS, MAX_FAULT_MS)
    this.#record(`${kind} ${durationMs} ms`)
    const fault: Promise<void> = this.#inject(kind, durationMs)
      .catch((thrown: unknown) => this.#opts.onViolation(`${kind}: ${String(thrown)}`))
      .finally(() => this.#activeFaults.delete(fault))
    this.#activeFaults.add(fault)
  }

  /** Resolves once every fault is over. */
  async waitUntilOver (): Promise<void> {
    while (this.#activeFaults.size > 0) await Promise.all(this.#activeFaults)
  }

  /** Stops a box as planned and starts it again. */
  async stopBox (box: SoakBox): Promise<void> {
    const { fleet, onViolation, isBusy } = this.#opts
    this.#record(`SIGTERM to ${box.name}`)
    await fleet.stopBox(box, () => {
      if (!isBusy(box) && box.pauses.length === 0) onViolation(`${box.name} did not stop within the grace period though it had no request in flight`)
    })
  }

  /** Drains an upstream, keeps it serving past the bound for new requests, and restarts it. */
  async drainUpstream (replica: UpstreamReplica): Promise<void> {
    const { fleet, random } = this.#opts
    this.#record(`${replica.instance} starts draining`)
    fleet.startDraining(replica, { marksEntry: random.nextFloat() < 0.7 })
    await sleep(DRAIN_DURATION_MS)
    await fleet.waitUntilIdle(replica)
    await this.#withDisruption(replica.name, async () => {
      await fleet.stopUpstream(replica)
      await fleet.restartUpstream(replica)
    })
  }

  /** Drains an upstream that advertises it in its responses only. Its entry stays unchanged until it stops. */
  async drainUnlisted (replica: UpstreamReplica): Promise<void> {
    const { fleet } = this.#opts
    this.#record(`${replica.instance} starts draining without a change of its entry`)
    fleet.advertiseDraining(replica)
    await sleep(DRAIN_DURATION_MS + DRAIN_DURATION_MS)
    await fleet.waitUntilIdle(replica)
    await this.#withDisruption(replica.name, async () => {
      await fleet.stopUpstream(replica)
      await fleet.restartUpstream(replica)
    })
  }

  async #inject (kind: FaultKind, durationMs: number): Promise<void> {
    const { fleet, random } = this.#opts
    const { store } = fleet
    const box = drawOne(random, fleet.boxes)
    const { front } = box.addresses
    switch (kind) {
      case FaultKind.KillBox: return this.#kill(box, durationMs)
      case FaultKind.KillMost: return this.#killMost(durationMs)
      case FaultKind.KillAll: return this.#killBoxes(this.#opts.fleet.boxes, durationMs)
      case FaultKind.PauseBox: return this.#pause(box, durationMs)
      case FaultKind.StopBox: return this.stopBox(box)
      case FaultKind.ChangeSettings: return this.#changeSettings(box)
      case FaultKind.PauseWhileStopping: return this.#whileStopping(box, () => this.#pause(box, durationMs))
      case FaultKind.KillWhileStopping: return this.#whileStopping(box, () => this.#kill(box, MIN_FAULT_MS))
      case FaultKind.RestartDuringChange: return this.#restartDuringChange(box, durationMs)
      case FaultKind.ReloadsThenStop: return this.#reloadsThenStop(box)
      case FaultKind.StorePath: return this.#disruptPath(box.storeProxy, front, durationMs)
      case FaultKind.PeerPath: return this.#disruptPath(box.peerProxy, front, durationMs)
      case FaultKind.UpstreamPath: return this.#withUnused(fleet.replicas, ({ proxy, name }) => this.#disruptPath(proxy, name, durationMs))
      case FaultKind.SilentStoreConnections: return this.#blackhole(box.storeProxy, front)
      case FaultKind.SilentPeerConnections: return this.#blackhole(box.peerProxy, ALL_SUBJECTS)
      case FaultKind.SilentUpstreamConnections: return this.#blackholeUpstream()
      case FaultKind.StoreRefuses: return this.#disruptStore(durationMs, () => { store.failWithStatus = drawOne(random, [429, 503]) }, () => { store.failWithStatus = undefined })
      case FaultKind.StoreSilent: return this.#disruptStore(durationMs, () => { store.unresponsive = true }, () => { store.unresponsive = false })
      case FaultKind.StoreSlow: return this.#disruptStore(durationMs, () => { store.delayMs = this.#drawMs(0, MAX_STORE_DELAY_MS) }, () => { store.delayMs = 0 })
      case FaultKind.StoreStale: return this.#withUnused([store], () => this.#serveStaleReads())
      case FaultKind.StoreEndless: return this.#disruptStore(durationMs, () => { store.answersEndlessly = () => true }, () => { store.answersEndlessly = () => false })
      case FaultKind.EndlessReports: return this.#reportEndlessly(durationMs)
      case FaultKind.UnsignedAnswers: return this.#loseSignatures(durationMs)
      case FaultKind.StoreForgets: return this.#disruptStore(0, () => store.compactHistory(), () => {})
      case FaultKind.CrashUpstream: return this.#crashUpstream(durationMs)
      case FaultKind.UpstreamLeaves: return this.#withUnused(fleet.replicas, (replica) => this.drainUpstream(replica))
      case FaultKind.UpstreamLeavesWhileCut: return this.#drainWhileDisconnected(box, durationMs)
      case FaultKind.ClientCrowd: return this.#withDisruption(front, () => sendClientCrowd(front, { random, durationMs }))
      case FaultKind.ChangeConfiguration: fleet.publish()
    }
  }

  async #kill (box: SoakBox, downMs: number): Promise<void> {
    const { fleet } = this.#opts
    await this.#withDisruption(box.addresses.front, async () => {
      await fleet.killBox(box)
      await sleep(downMs)
      fleet.startBox(box)
    })
  }

  async #killMost (downMs: number): Promise<void> {
    const [, ...others] = this.#opts.fleet.boxes
    await this.#killBoxes(others, downMs)
  }

  async #killBoxes (boxes: readonly SoakBox[], downMs: number): Promise<void> {
    await Promise.all(boxes.slice(0, MAX_KILLED).map((box) => this.#kill(box, downMs)))
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
    await sleep(this.#drawMs(MIN_FAULT_MS, MAX_FAULT_MS))
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
      await sleep(RELOAD_INTERVAL_MS)
    }
    await this.stopBox(box)
  }

  async #disruptPath (proxy: FaultProxy, subject: string, durationMs: number): Promise<void> {
    await this.#withDisruption(subject, async () => {
      proxy.fault = drawOne(this.#opts.random, Object.values(NetworkFault))
      this.#record(`${subject}: path ${proxy.fault}`)
      await sleep(durationMs)
      proxy.fault = NetworkFault.None
    })
  }

  /** Blackholes open connections permanently. New connections work. */
  async #blackhole (proxy: FaultProxy, subject: string): Promise<void> {
    const { fleet, random } = this.#opts
    const direction = drawOne(random, Object.values(BlackholeDirection))
    const count = proxy.blackholeOpenConnections(direction, () => random.nextFloat() < BLACKHOLED_SHARE)
    fleet.disruptions.record(subject)
    this.#record(`${count} connections of ${subject} are blackholed ${direction}`)
  }

  async #blackholeUpstream (): Promise<void> {
    const { fleet, random } = this.#opts
    const { proxy, name } = drawOne(random, fleet.replicas)
    const fromMs = performance.now()
    fleet.disruptions.record(name, { fromMs, toMs: fromMs + BLACKHOLE_DISRUPTION_MS })
    await this.#blackhole(proxy, name)
  }

  async #disruptStore (durationMs: number, start: () => void, end: () => void): Promise<void> {
    await this.#withDisruption(ALL_SUBJECTS, async () => {
      start()
      await sleep(durationMs)
      end()
    })
  }

  async #serveStaleReads (): Promise<void> {
    const { fleet, fleet: { store } } = this.#opts
    await this.#withDisruption(ALL_SUBJECTS, async () => {
      const staleInterval = { fromMs: performance.now(), toMs: Number.POSITIVE_INFINITY }
      fleet.staleReads.push(staleInterval)
      store.serveStaleReads()
      fleet.publish()
      await sleep(PROPAGATION_MS)
      store.compactHistory()
      await sleep(STALE_READS_MS)
      store.serveFreshReads()
      staleInterval.toMs = performance.now()
    })
  }

  /** Restores the store from a backup after a short outage. Its writers then repeat the writes that it has lost. */
  async restoreStore (outageMs: number): Promise<void> {
    const { fleet, fleet: { store } } = this.#opts
    this.#record(`the store is restored from a backup after an outage of ${outageMs} ms`)
    await this.#withDisruption(ALL_SUBJECTS, async () => {
      const backup = store.backup()
      for (let i = 0; i < LOST_PUBLICATIONS; i++) fleet.publish()
      await this.#withUnused(fleet.replicas, async (replica) => {
        await fleet.stopUpstream(replica)
        await fleet.restartUpstream(replica)
      })
      await sleep(PROPAGATION_MS)
      store.unresponsive = true
      await sleep(outageMs)
      const staleInterval = { fromMs: performance.now(), toMs: Number.POSITIVE_INFINITY }
      fleet.staleReads.push(staleInterval)
      store.restore(backup)
      store.unresponsive = false
      await sleep(PROPAGATION_MS)
      fleet.rewriteLostEntries()
      staleInterval.toMs = performance.now()
    })
  }

  async #reportEndlessly (durationMs: number): Promise<void> {
    const { fleet } = this.#opts
    await this.#withUnused(fleet.replicas.filter(({ role }) => role !== Role.Service), ({ name, instance }) => this.#withDisruption(name, async () => {
      this.#record(`${instance} sends reports without an end`)
      fleet.endlessReports.add(instance)
      await sleep(durationMs)
      fleet.endlessReports.delete(instance)
    }))
  }

  async #loseSignatures (durationMs: number): Promise<void> {
    const { fleet } = this.#opts
    await this.#withUnused(fleet.replicas.filter(({ role }) => role !== Role.Prefill), ({ name, instance }) => this.#withDisruption(name, async () => {
      this.#record(`${instance} sends answers without a signature`)
      fleet.unsigned.add(instance)
      await sleep(durationMs)
      fleet.unsigned.delete(instance)
    }))
  }

  async #crashUpstream (downMs: number): Promise<void> {
    const { fleet } = this.#opts
    await this.#withUnused(fleet.replicas, (replica) => this.#withDisruption(replica.name, async () => {
      await fleet.stopUpstream(replica)
      await sleep(downMs)
      await fleet.restartUpstream(replica)
    }))
  }

  async #drainWhileDisconnected (box: SoakBox, durationMs: number): Promise<void> {
    const { fleet } = this.#opts
    const disruption = this.#disruptPath(box.storeProxy, box.addresses.front, durationMs)
    await Promise.all([disruption, this.#withUnused(fleet.replicas, (replica) => this.drainUpstream(replica))])
  }

  async #withDisruption (subject: string, work: () => Promise<void>): Promise<void> {
    const endDisruption = this.#opts.fleet.disruptions.begin(subject)
    try {
      await work()
    } finally {
      endDisruption()
    }
  }

  async #withUnused<T extends object> (items: readonly T[], work: (item: T) => Promise<void>): Promise<void> {
    const unused = items.filter((candidate) => !this.#inUse.has(candidate))
    if (unused.length === 0) return
    const item = drawOne(this.#opts.random, unused)
    this.#inUse.add(item)
    try {
      await work(item)
    } finally {
      this.#inUse.delete(item)
    }
  }

  #drawMs (minMs: number, maxMs: number): number {
    return Math.round(minMs + this.#opts.random.nextFloat() * (maxMs - minMs))
  }

  #record (text: string): void {
    this.log.push(`${new Date().toISOString().slice(14, 23)} ${text}`)
  }
}
