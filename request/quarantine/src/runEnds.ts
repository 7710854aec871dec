import { type ListedUpstream, UpstreamKind } from '@reelspan/config.fleet'
import { TaskGroup } from '@reelspan/core.env'
import { type Log, LogEvent, type LogFields } from '@reelspan/telemetry.log'
import { type Metrics } from '@reelspan/telemetry.metrics'
import { UpstreamIdentity, UpstreamProbeResult } from '@reelspan/upstream.client'
import { type EndedRun, RunEndKind, type UpstreamExitRun } from './endedRun.js'
import { type ExitPlace } from './overlappingExits.js'
import { isOfLaterStart, LINGERING_MS, type UndecidedRun, UndecidedRuns, type UpstreamExit, wasAtExit } from './undecidedRuns.js'
import { UpstreamChecks, type UpstreamChecksOptions } from './upstreamChecks.js'

export interface RunEndsOptions extends UpstreamChecksOptions {
  log: Log
  metrics: Metrics
  /** Called for each run that was at an exit of its upstream. */
  onUpstreamExited: (run: UpstreamExitRun) => void
  onTaskError?: (thrown: unknown) => void
}

/** What has decided whether a run was at an exit of its upstream. */
enum DecidedBy {
  /** An answer to a later request. */
  Answer = 'answer',
  /** The upstream's answer to a question of this box, or that of another start. */
  Identity = 'identity',
  /** Its address refuses connections. */
  Probe = 'probe',
  /** Its entry is gone from the list. */
  List = 'list',
  /** The exit was known already, from other runs at this box. */
  OtherRun = 'otherRun',
  /** Another box has announced the exit. */
  Peer = 'peer',
  /** Nothing. */
  Time = 'time',
}

enum RunDecision {
  Alive = 'alive',
  AtExit = 'atExit',
  Unknown = 'unknown',
}

/** When the upstream of an undecided run is checked before a sign of life could decide. */
const EARLY_CHECK_MS: Record<RunEndKind, readonly number[]> = { [RunEndKind.Unconfirmed]: [100], [RunEndKind.Interrupted]: [200], [RunEndKind.Abandoned]: [] }
/** When it is checked, as long as nothing has decided. */
const CHECK_MS = [LINGERING_MS, 1500, 3500]
/** A report that does not name its start counts for this long, since another start at the address takes longer. */
const MIN_START_MS = 1000
const EXIT_TTL_MS = 15_000

/**
 * Finds out which runs were at an exit of their upstream. An end of a run rarely says so: connections are interrupted
 * while the upstream lives on, answers end with their connection, and callers leave before it exits. Such a run stays
 * undecided until its upstream has shown that it lives, or is found to have exited.
 */
export class RunEnds {
  readonly #opts: RunEndsOptions
  readonly #checks: UpstreamChecks
  readonly #undecided = new UndecidedRuns()
  readonly #tasks: TaskGroup
  /** Exits of the last seconds by upstream. */
  readonly #exits = new Map<string, UpstreamExit & { knownAtMs: number }>()
  /** Since when upstreams are listed. */
  readonly #listedSinceMs = new Map<string, number>()
  /** Until when upstreams are known to have lived. */
  readonly #aliveAtMs = new Map<string, number>()
  /** When upstreams were last seen to accept a connection. */
  readonly #acceptedAtMs = new Map<string, number>()

  constructor (opts: RunEndsOptions) {
    this.#opts = opts
    this.#checks = new UpstreamChecks(opts)
    this.#tasks = new TaskGroup(opts.clock, opts.onTaskError)
  }

  async stop (): Promise<void> {
    await this.#tasks.stop()
  }

  /** Records a run whose answer was interrupted: checks the upstream and logs the result. Never rejects. */
  async recordInterrupted (run: EndedRun): Promise<void> {
    const { clock, log, metrics } = this.#opts
    const endedAtMs = clock.nowMs()
    const presence = await this.#checks.presenceOf(run.address)
    metrics.count('reelspan_runs_broken_off_total', { presence })
    log.info(LogEvent.RunBrokeOff, { ...fieldsOf(run, endedAtMs), presence })
    if (presence === UpstreamProbeResult.Refused) {
      this.#opts.onUpstreamExited({ ...run, endedAtMs, exitKnownAtMs: endedAtMs })
      this.#recordExit(run.upstream, { exitedAtMs: endedAtMs }, DecidedBy.OtherRun)
    } else {
      this.#addUndecided(this.#undecidedRun(run, RunEndKind.Interrupted, endedAtMs))
    }
  }

  /** Records a run whose answer ended with its connection. `onAlive` is called once the upstream is known to have lived on. */
  recordUnconfirmed (run: EndedRun, onAlive: (endedAgoMs: number) => void): void {
    const { clock } = this.#opts
    const endedAtMs = clock.nowMs()
    this.#recordUndecided({ ...this.#undecidedRun(run, RunEndKind.Unconfirmed, endedAtMs), onAlive: () => onAlive(clock.nowMs() - endedAtMs) })
  }

  /** Records a run that this box ended. `onAlive` is called once the upstream is known to have lived on. */
  recordAbandoned (run: EndedRun, onAlive?: () => void): void {
    this.#recordUndecided({ ...this.#undecidedRun(run, RunEndKind.Abandoned, this.#opts.clock.nowMs()), onAlive })
  }

  /** Called when an upstream has answered something that was sent to it, at its start of this name, at `aliveAtMs`. */
  onSignOfLife (upstream: string, aliveAtMs: number): void {
    this.#aliveAtMs.set(upstream, Math.max(aliveAtMs, this.#aliveAtMs.get(upstream) ?? 0))
    if (this.#undecided.hasAny(upstream)) this.#decideAlive(upstream, aliveAtMs, DecidedBy.Answer)
  }

  /** Whether an upstream of the same pool and availability zone, other than those that exited with it, was there before an exit and has shown life after it. Asks one if that is not known. */
  didOthersLiveOn ({ pool, availabilityZone, exitedAtMs }: ExitPlace, exitedTogether: ReadonlySet<string>): boolean {
    const wasThere = ({ name }: ListedUpstream) => !exitedTogether.has(name) && (this.#listedSinceMs.get(name) ?? Number.POSITIVE_INFINITY) < exitedAtMs
    const others = this.#opts.fleet().inPool(pool).filter((upstream) => upstream.availabilityZone === availabilityZone && wasThere(upstream))
    if (others.length === 0) return false
    const aliveAtMs = ({ name }: ListedUpstream) => this.#aliveAtMs.get(name) ?? 0
    const lastAlive = others.reduce((last, one) => aliveAtMs(one) > aliveAtMs(last) ? one : last)
    if (aliveAtMs(lastAlive) > exitedAtMs) return true
    this.#tasks.run(() => this.#askForLife(lastAlive))
    return false
  }

  /** Called when an upstream cannot be reached. */
  onUnreachable (upstream: string): void {
    if (this.#undecided.hasAny(upstream)) this.#tasks.run(() => this.#check(upstream))
  }

  /** Called when another box has announced that an upstream exited. */
  onExitAnnounced (upstream: string, exitedAtMs: number): void {
    this.#recordExit(upstream, { exitedAtMs }, DecidedBy.Peer)
  }

  /** Called when the list changes: upstreams that were removed from it without draining first have exited. */
  onFleetChanged (): void {
    const list = this.#opts.fleet()
    this.#expire()
    this.#checks.retainListed()
    this.#undecided.upstreams().filter((name) => !list.takesWork(name)).forEach((name) => {
      if (list.upstream(name) === undefined) this.#recordUnlisted(name)
      else this.#report(this.#undecided.takeAll(name), RunDecision.Unknown, DecidedBy.List)
    })
    list.upstreams.filter(({ name }) => !this.#listedSinceMs.has(name)).forEach(({ name }) => this.#listedSinceMs.set(name, this.#opts.clock.nowMs()))
    const times = [this.#acceptedAtMs, this.#aliveAtMs, this.#listedSinceMs]
    times.forEach((atMs) => {
      [...atMs.keys()].filter((name) => list.upstream(name) === undefined).forEach((name) => atMs.delete(name))
    })
  }

  /** An upstream whose address still accepts connections may serve on without its entry, unless an answer of it was interrupted. */
  #recordUnlisted (upstream: string): void {
    const acceptedAtMs = this.#acceptedAtMs.get(upstream) ?? Number.NEGATIVE_INFINITY
    const mayServeOn = (run: UndecidedRun) => !run.answersForItself && run.end !== RunEndKind.Interrupted && !wasAtExit(run, { acceptedAtMs })
    this.#report(this.#undecided.takeAll(upstream, mayServeOn), RunDecision.Unknown, DecidedBy.List)
    this.#recordExit(upstream, {}, DecidedBy.List)
  }

  #undecidedRun (run: EndedRun, end: RunEndKind, endedAtMs: number): UndecidedRun {
    return { ...run, end, endedAtMs, answersForItself: this.#opts.fleet().upstream(run.upstream)?.kind === UpstreamKind.Engine }
  }

  #recordUndecided (run: UndecidedRun): void {
    const { log, metrics } = this.#opts
    const { end, endedAtMs } = run
    metrics.count('reelspan_runs_undecided_total', { end })
    log.info(LogEvent.RunUndecided, { ...fieldsOf(run, endedAtMs), end })
    this.#addUndecided(run)
  }

  #addUndecided (run: UndecidedRun): void {
    this.#expire()
    const exit = this.#exits.get(run.upstream)
    if (exit && !isOfLaterStart(run, exit) && wasAtExit(run, exit)) {
      this.#reportAtExit([run], DecidedBy.OtherRun)
      return
    }
    this.#report(this.#undecided.add(run), RunDecision.Unknown, DecidedBy.Time)
    this.#tasks.run(() => this.#follow(run))
  }

  /** Checks the upstream of a run until it is decided, a limited number of times. */
  async #follow (run: UndecidedRun): Promise<void> {
    const { clock } = this.#opts
    for (const afterMs of [...EARLY_CHECK_MS[run.end], ...CHECK_MS]) {
      await clock.sleep(run.endedAtMs + afterMs - clock.nowMs(), { signal: this.#tasks.signal })
      if (this.#tasks.stopped || !this.#undecided.has(run)) return
      await this.#check(run.upstream)
    }
  }

  async #check (upstream: string): Promise<void> {
    const address = this.#undecided.addressOf(upstream)
    if (address === undefined) return
    const result = await this.#checks.check(upstream, address)
    if (!result) return
    const { startedAtMs, identity, presence } = result
    if (identity === UpstreamIdentity.Same) this.#decideAlive(upstream, startedAtMs, DecidedBy.Identity)
    if (identity === UpstreamIdentity.Unnamed) this.#decideAlive(upstream, startedAtMs, DecidedBy.Identity, startedAtMs - MIN_START_MS)
    if (identity === UpstreamIdentity.Other) this.#recordExit(upstream, {}, DecidedBy.Identity)
    if (presence === UpstreamProbeResult.Refused) this.#recordExit(upstream, { acceptedAtMs: this.#acceptedAtMs.get(upstream) }, DecidedBy.Probe)
    if (presence === UpstreamProbeResult.Listening) this.#acceptedAtMs.set(upstream, startedAtMs)
  }

  async #askForLife ({ name, address }: ListedUpstream): Promise<void> {
    const result = await this.#checks.check(name, address)
    if (!result) return
    const { startedAtMs, identity, presence } = result
    const isAlive = identity === UpstreamIdentity.Same || identity === UpstreamIdentity.Unnamed || presence === UpstreamProbeResult.Listening
    if (isAlive) this.#aliveAtMs.set(name, Math.max(startedAtMs, this.#aliveAtMs.get(name) ?? 0))
  }

  #decideAlive (upstream: string, aliveAtMs: number, by: DecidedBy, endedFromMs?: number): void {
    const survived = this.#undecided.takeSurvived(upstream, aliveAtMs, endedFromMs)
    survived.forEach(({ onAlive }) => onAlive?.())
    this.#report(survived, RunDecision.Alive, by)
  }

  #recordExit (upstream: string, exit: UpstreamExit, by: DecidedBy): void {
    const { atExit, before } = this.#undecided.takeAtExit(upstream, exit)
    this.#exits.set(upstream, { exitedAtMs: exit.exitedAtMs ?? atExit.at(-1)?.endedAtMs ?? this.#opts.clock.nowMs(), knownAtMs: this.#opts.clock.nowMs() })
    this.#report(before, RunDecision.Unknown, by)
    // An upstream that drains ends as planned.
    if (this.#opts.fleet().upstream(upstream)?.leaving) this.#report(atExit, RunDecision.Unknown, by)
    else this.#reportAtExit(atExit, by)
  }

  #reportAtExit (runs: readonly UndecidedRun[], by: DecidedBy): void {
    const exitKnownAtMs = this.#opts.clock.nowMs()
    this.#report(runs, RunDecision.AtExit, by)
    runs.forEach((run) => this.#opts.onUpstreamExited({ ...run, writtenMs: mayHaveWrittenMs(run), exitKnownAtMs }))
  }

  #report (runs: readonly UndecidedRun[], decision: RunDecision, by: DecidedBy): void {
    const { clock, log, metrics } = this.#opts
    runs.forEach(({ request, upstream, end, endedAtMs, identity }) => {
      metrics.count('reelspan_runs_decided_total', { end, decision, by })
      log.info(LogEvent.RunDecided, { request, upstream, end, decision, by, afterMs: Math.round(clock.nowMs() - endedAtMs), contentHash: identity.content })
    })
  }

  #expire (): void {
    const nowMs = this.#opts.clock.nowMs()
    this.#report(this.#undecided.takeExpired(nowMs), RunDecision.Unknown, DecidedBy.Time);
    [...this.#exits].filter(([, { knownAtMs }]) => knownAtMs <= nowMs - EXIT_TTL_MS).forEach(([name]) => this.#exits.delete(name))
  }
}

/** A run that has lingered may have been written for longer than this box has seen. */
function mayHaveWrittenMs ({ end, writtenMs }: UndecidedRun): number | undefined {
  return end === RunEndKind.Unconfirmed ? writtenMs : (writtenMs ?? 0) + LINGERING_MS
}

function fieldsOf ({ request, route, identity, upstream, reason, sentAtMs, writtenMs, targetVersion }: EndedRun, endedAtMs: number): LogFields {
  return {
    request,
    route,
    upstream,
    targetVersion,
    ranMs: Math.round(endedAtMs - sentAtMs),
    writtenMs: writtenMs === undefined ? undefined : Math.round(writtenMs),
    contentHash: identity.content,
    callerHash: identity.caller,
    partHashes: identity.parts,
    reason,
  }
}
