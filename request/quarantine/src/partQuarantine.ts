import { type Clock } from '@reelspan/core.env'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { RunEnd, type RunEvent } from '@reelspan/core.messages'
import { type RequestIdentity } from '@reelspan/request.identity'
import { type Log, LogEvent } from '@reelspan/telemetry.log'
import { CLEARANCE_MS } from './clearanceStore.js'
import { judgeParts, type PartBan, type PartVerdicts, type SuspectedPart, suspectKey } from './judgeParts.js'
import { type RunHistory } from './runHistory.js'
import { type RunParts, type SoundPart, SoundParts } from './soundParts.js'

/** Time from the last upstream exit until one request with the parts may try again. */
export const PART_QUARANTINE_MS = 10 * 60_000
/** The same after a trial that crashed its upstream. Both together are shorter than runs are kept, so that one more exit is enough. */
const RENEWED_PART_QUARANTINE_MS = 15 * 60_000
/** The same while another part may be the cause as well, so that a trial decides soon. */
const AMBIGUOUS_PART_QUARANTINE_MS = 2000
/** Clearances that were lost on their way are pulled with the next heartbeat. */
const CLEARANCE_ARRIVAL_MS = 800
/** A trial without an outcome after this time makes way for another one. */
const TRIAL_TIMEOUT_MS = 10_000
const TRIAL_RETRY_AFTER_MS = 5000
/** Above this number of events, verdicts may lag behind them by the interval, which bounds their processor time. */
const MANY_EVENTS = 500
const JUDGEMENT_INTERVAL_MS = 250

export interface PartQuarantineOptions {
  clock: Clock
  log: Log
  history: RunHistory
  /** Sends an event that this box has added to the history to other boxes. */
  onEvent: (event: RunEvent) => void
  /** Whether this box may let one request try that all boxes have refused so far, by the time since then. */
  mayTry: (key: string, lapsedMs: number) => boolean
}

/** Model or pool with the software versions at which a request can be served. */
export type TargetVersions = () => readonly string[]

/** Refuses requests with the prompt parts that crash upstreams, and clears the parts of runs that do not. */
export class PartQuarantine {
  readonly #opts: PartQuarantineOptions
  readonly #soundParts = new SoundParts()
  /** Bans whose beginning was logged, and whose end was not. */
  readonly #logged = new Map<string, PartBan>()
  /** When this box first came to each ban. */
  readonly #foundAtMs = new Map<string, number>()
  /** The request that tries, by ban. */
  readonly #trials = new Map<string, { content: string, startedAtMs: number, interrupted?: boolean }>()
  #verdicts?: PartVerdicts
  #revision = -1
  #judgedAtMs = Number.NEGATIVE_INFINITY

  constructor (opts: PartQuarantineOptions) {
    this.#opts = opts
  }

  /** Number of suspects, of combinations of parts that are refused, and of parts that were cleared. */
  counts (): { suspected: number, banned: number, cleared: number } {
    const { suspects, bans } = this.verdicts()
    return { suspected: suspects.size, banned: bans.length, cleared: this.#opts.history.clearedCount }
  }

  /** What follows from the events that are known now. */
  verdicts (): PartVerdicts {
    const { clock, history } = this.#opts
    const nowMs = clock.nowMs()
    const mayLag = history.size > MANY_EVENTS && nowMs - this.#judgedAtMs < JUDGEMENT_INTERVAL_MS
    if (this.#verdicts && (mayLag || this.#revision === history.revision)) return this.#verdicts
    this.#revision = history.revision
    this.#judgedAtMs = nowMs
    this.#verdicts = judgeParts(history)
    history.protect(new Set(this.#verdicts.bans.flatMap(({ runs }) => runs.map(({ id }) => id))))
    this.#logChanges(this.#verdicts.bans)
    return this.#verdicts
  }

  /** Why a request must not be sent to any upstream that could serve it, or undefined if it may be. */
  refusalOf (request: RequestIdentity, targetVersions: TargetVersions): ReelspanError | undefined {
    const bans = this.#bansOn(request)
    if (bans.length === 0) return undefined
    const versions = targetVersions()
    if (!versions.every((version) => bans.some((ban) => ban.targetVersions.includes(version)))) return undefined
    return this.#refusal(bans.reduce((a, b) => this.#untilMs(b) > this.#untilMs(a) ? b : a))
  }

  /** Models or pools with the software versions to which a request must not be sent. */
  bannedVersions (request: RequestIdentity): readonly string[] {
    return [...new Set(this.#bansOn(request).flatMap(({ targetVersions }) => targetVersions))]
  }

  /** Called when events were added to the history. Returns whether more is refused than before. */
  onEventsAdded (): boolean {
    return this.#refusesMoreAfter(() => {
      if (this.verdicts().suspects.size > 0) this.#clearSuspects(this.#soundParts.all())
    })
  }

  /**
   * Records that a run has written for `writtenMs`, infinite if its answer was complete. Returns whether more is
   * refused than before, since what quarantined requests have in common may have become less.
   */
  recordSound (run: RunParts, writtenMs: number): boolean {
    const { clock, history } = this.#opts
    const soundParts = this.#soundParts.record(run, writtenMs, clock.nowMs())
    if (history.size === 0 || this.verdicts().suspects.size === 0) return false
    return this.#refusesMoreAfter(() => this.#clearSuspects(soundParts()))
  }

  /** Records that a run was interrupted. If its request tries after a quarantine, it is not sent again before it is known whether the upstream exited. */
  recordInterruption ({ content }: RequestIdentity): void {
    this.#trials.forEach((trial) => { trial.interrupted ||= trial.content === content })
  }

  #refusesMoreAfter (change: () => void): boolean {
    const before = new Set(this.#logged.keys())
    change()
    return this.verdicts().bans.some(({ key }) => !before.has(key))
  }

  #clearSuspects (soundParts: readonly SoundPart[]): void {
    const { suspects } = this.verdicts()
    soundParts.forEach((sound) => {
      const suspect = suspects.get(suspectKey(sound.part, sound.targetVersion))
      if (suspect) this.#clear(sound, suspect)
    })
  }

  /** Announces the longest of the runs that clear the part. The id is the same at all boxes that have such a run. */
  #clear ({ part, targetVersion, lastMs }: SoundPart, { lastRun, minWrittenMs }: SuspectedPart): void {
    const { clock, log, history, onEvent } = this.#opts
    const clearing = [...lastMs].filter(([writtenMs, atMs]) => writtenMs >= minWrittenMs && atMs >= lastRun.endedAtMs - CLEARANCE_MS)
    if (clearing.length === 0) return
    const [writtenMs, atMs] = clearing.reduce((a, b) => b[0] > a[0] ? b : a)
    const ageMs = Math.max(0, clock.nowMs() - atMs)
    const clearance: RunEvent = {
      id: `${part}/${lastRun.id}/${writtenMs}`,
      end: RunEnd.Finished,
      // Boxes of an earlier build keep a limited number of events for each content.
      content: part,
      caller: '',
      parts: [part],
      targetVersion,
      ageMs,
      ranMs: 0,
      writtenMs: Number.isFinite(writtenMs) ? writtenMs : undefined,
    }
    if (!history.add(clearance)) return
    log.info(LogEvent.PromptPartCleared, { partHash: part, targetVersion, writtenMs: clearance.writtenMs, ageMs: Math.round(ageMs), upstream: lastRun.upstream })
    onEvent(clearance)
  }

  /** Bans that apply to a request now. */
  #bansOn ({ content, caller, parts = [] }: RequestIdentity): PartBan[] {
    if (parts.length === 0) return []
    return this.verdicts().bans.filter((ban) =>
      ban.parts.every((part) => parts.includes(part)) &&
      (ban.caller === undefined || ban.caller === caller) &&
      (ban.content === undefined || ban.content === content) &&
      this.#isSettled(ban) &&
      !this.#mayTry(ban, content))
  }

  /** Whether clearances of the exits can have arrived here, unless some have. */
  #isSettled ({ key, unconfirmed }: PartBan): boolean {
    const foundAtMs = this.#foundAtMs.get(key) ?? Number.NEGATIVE_INFINITY
    return !unconfirmed || this.#opts.clock.nowMs() - foundAtMs >= CLEARANCE_ARRIVAL_MS
  }

  /** Whether a request may try after its quarantine, one at a time. */
  #mayTry (ban: PartBan, content: string): boolean {
    const { clock, mayTry } = this.#opts
    const lapsedMs = clock.nowMs() - this.#untilMs(ban)
    if (lapsedMs < 0) return false
    const trial = this.#trials.get(ban.key)
    if (trial && clock.nowMs() < trial.startedAtMs + TRIAL_TIMEOUT_MS) return trial.content === content && !trial.interrupted
    if (!mayTry(ban.key, lapsedMs)) return false
    this.#trials.set(ban.key, { content, startedAtMs: clock.nowMs() })
    return true
  }

  #untilMs ({ runs, lastEndedAtMs, ambiguous }: PartBan): number {
    if (ambiguous) return lastEndedAtMs + AMBIGUOUS_PART_QUARANTINE_MS
    return lastEndedAtMs + (lastEndedAtMs - runs[0].endedAtMs >= PART_QUARANTINE_MS ? RENEWED_PART_QUARANTINE_MS : PART_QUARANTINE_MS)
  }

  #refusal (ban: PartBan): ReelspanError {
    const upstreams = [...new Set(ban.runs.flatMap(({ upstream }) => upstream ?? []))]
    const remainingMs = this.#untilMs(ban) - this.#opts.clock.nowMs()
    return new ReelspanError(ErrorCode.RequestQuarantined, `${upstreams.length} upstreams exited one after another while running requests with the prompt part ${ban.parts.join(' and ')} (hash): ${upstreams.join(', ')}`, {
      retryAfterMs: remainingMs > 0 ? remainingMs : TRIAL_RETRY_AFTER_MS,
    })
  }

  #logChanges (bans: readonly PartBan[]): void {
    const keys = new Set(bans.map(({ key }) => key))
    bans.filter(({ key }) => !this.#logged.has(key)).forEach((ban) => this.#foundAtMs.set(ban.key, this.#firstFoundAtMs(ban)))
    const ended = [...this.#logged].filter(([key]) => !keys.has(key))
    ended.forEach(([key, ban]) => {
      this.#logged.delete(key)
      this.#trials.delete(key)
      this.#foundAtMs.delete(key)
      this.#logChange(ban, false)
    })
    bans.filter(({ key }) => !this.#logged.has(key)).forEach((ban) => {
      this.#logged.set(ban.key, ban)
      this.#logChange(ban, true)
    })
  }

  /** A ban that takes the place of narrower ones was found with the first of them. */
  #firstFoundAtMs ({ parts }: PartBan): number {
    const narrower = [...this.#logged].filter(([, ban]) => parts.every((part) => ban.parts.includes(part)))
    return Math.min(this.#opts.clock.nowMs(), ...narrower.map(([key]) => this.#foundAtMs.get(key) ?? Number.POSITIVE_INFINITY))
  }

  #logChange ({ parts, caller, content, targetVersions, runs }: PartBan, quarantined: boolean): void {
    this.#opts.log.warn(LogEvent.QuarantineChanged, { quarantined, partHashes: parts, callerHash: caller, contentHash: content, targetVersions, upstreams: runs.flatMap(({ upstream }) => upstream ?? []) })
  }
}
