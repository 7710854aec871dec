import { type ListedUpstream, softwareVersionOf } from '@reelspan/config.fleet'
import { type HoldLabel, holdLabelKey, isOwnPrefill } from '@reelspan/core.messages'
import { type Shard } from '@reelspan/scheduling.shards'
import { type EngineReport, EngineRole, ReportedStart, compareReportedStart } from '@reelspan/upstream.client'
import { DecodeAccount, type SlotRestriction } from './decodeAccount.js'
import { PrefillAccount } from './prefillAccount.js'

/** The reservation of one placed request. */
export interface LedgerEntry {
  label: HoldLabel
  maxTokens: number
  tbtTargetMs: number
  prefillEngine: string
  decodeEngine: string
  kvBytes: number
  prefillCostMs: number
  /** When it was placed and when its prefill was expected to end; unknown if another scheduler placed it. */
  prefill?: { placedAtMs: number, endMs: number }
  importEndMs: number
  /** Expected end at the declared speed. Nothing is released by it: it only decides from when on the owner is asked about holds of the request. */
  expectedEndMs: number
  /** The reservation expires at this time even if its owner never releases it. */
  expiresAtMs: number
}

/** An engine that does not answer requests for its report, as opposed to one whose connections fail. */
export interface EngineSilence {
  sinceMs: number
  /** Its last report before; undefined if it had not reported. */
  lastReport?: EngineReport
  /** Whether most engines of its pool fell silent at about the same time. */
  shared: boolean
}

/** An engine of the shard with its account and last report. */
export interface EngineAccount<A> {
  name: string
  address: string
  availabilityZone: string
  /** The role in the fleet list. */
  role: EngineRole
  leaving: boolean
  /** Version of its software; empty if it has none. */
  softwareVersion: string
  /** When the listed process of the engine started, on the engine's clock, if known. */
  startedAtMs?: number
  account: A
  /** The last report; `reportAtMs` is the time at which it was received. */
  report?: EngineReport
  reportAtMs: number
  /** Set from an unanswered request for its report until it answers, or is found to be lost. */
  silence?: EngineSilence
  /** When it last answered after it had been silent. */
  resumedAtMs?: number
  /** No report was received and no attempt to get one has failed yet. */
  awaitsFirstReport: boolean
  /** Set while an order is being carried out: the engine gets no new work, so that it drains. */
  retiring: boolean
}

export interface ShardLedgerOptions {
  /** An engine whose last report is older than this gets no work. */
  maxReportAgeMs: number
  /** Called when a reservation has ended for any reason. */
  onReleased?: (label: HoldLabel) => void
}

/** A pool with a larger share of engines that are silent at once is paused. With a smaller one, the silent engines are taken for lost. */
const PAUSED_POOL_SHARE = 0.5
/** Engines answer a request for their report within a few milliseconds. One that took this long stood still. */
const SILENT_REPORT_MS = 200

/** Accounts for all reservations of one shard. A reservation is a plan, not a guarantee: the engine itself may still refuse. */
export class ShardLedger {
  readonly #opts: ShardLedgerOptions
  readonly #entries = new Map<string, LedgerEntry>()
  readonly #prefill = new Map<string, EngineAccount<PrefillAccount>>()
  readonly #decode = new Map<string, EngineAccount<DecodeAccount>>()
  #shard: Shard
  #prefillList: EngineAccount<PrefillAccount>[] = []
  #decodeList: EngineAccount<DecodeAccount>[] = []
  /** Software versions of two or more decode engines that take work. */
  #continuableVersions: ReadonlySet<string> = new Set()

  constructor (shard: Shard, opts: ShardLedgerOptions) {
    this.#opts = opts
    this.#shard = shard
    this.update(shard)
  }

  get shard (): Shard {
    return this.#shard
  }

  get reservationCount (): number {
    return this.#entries.size
  }

  /** All reservations. */
  entries (): LedgerEntry[] {
    return [...this.#entries.values()]
  }

  /** Updates the engines of the shard. Reservations on engines that remain are kept. */
  update (shard: Shard): void {
    this.#shard = shard
    updateAccounts(this.#prefill, EngineRole.Prefill, shard.prefillEngines, () => new PrefillAccount())
    updateAccounts(this.#decode, EngineRole.Decode, shard.decodeEngines, () => new DecodeAccount())
    this.#prefillList = [...this.#prefill.values()]
    this.#decodeList = [...this.#decode.values()]
    const versions = this.#decodeList.flatMap(({ leaving, softwareVersion }) => leaving ? [] : [softwareVersion])
    this.#continuableVersions = new Set(versions.filter((version, i) => versions.indexOf(version) !== i))
  }

  /** Prefill engines, in an order that changes only in `update`. */
  prefillEngines (): readonly EngineAccount<PrefillAccount>[] {
    return this.#prefillList
  }

  decodeEngines (): readonly EngineAccount<DecodeAccount>[] {
    return this.#decodeList
  }

  /** Whether another decode engine could go on with a stream of this one. */
  isContinuable ({ softwareVersion }: EngineAccount<DecodeAccount>): boolean {
    return this.#continuableVersions.has(softwareVersion)
  }

  /** Engines of both pools. */
  allEngines (): readonly EngineAccount<PrefillAccount | DecodeAccount>[] {
    return [...this.#prefillList, ...this.#decodeList]
  }

  /** Names of all engines with the same role as the given one, itself included; empty if it is not in the shard. */
  poolOf (engineName: string): string[] {
    const pool = [this.#prefill, this.#decode].find((accounts) => accounts.has(engineName))
    return pool ? [...pool.keys()] : []
  }

  /** The version of the shard's model that an engine serves now; undefined if it takes no new work. */
  servedVersion (engine: EngineAccount<unknown>, nowMs: number): string | undefined {
    return this.#versionIn(engine.report, engine, nowMs)
  }

  /** The version that an engine serves now, or will serve when its pool's pause is over. */
  expectedVersion (engine: EngineAccount<unknown>, nowMs: number): string | undefined {
    return this.#versionIn(engine.report ?? (this.#isPaused(engine, nowMs) ? engine.silence?.lastReport : undefined), engine, nowMs)
  }

  /** For how long engines of pools that are paused have been silent; 0 if none is. */
  pausedForMs (nowMs: number): number {
    return Math.max(0, ...this.allEngines().flatMap((engine) => engine.silence && this.#isPaused(engine, nowMs) ? [nowMs - engine.silence.sinceMs] : []))
  }

  #isPaused ({ silence }: EngineAccount<unknown>, nowMs: number): boolean {
    return silence !== undefined && silence.shared && nowMs - silence.sinceMs <= this.#opts.maxReportAgeMs
  }

  #versionIn (report: EngineReport | undefined, engine: EngineAccount<unknown>, nowMs: number): string | undefined {
    // While an engine changes its role, the fleet list and its report disagree for a while; it gets no work of either role then.
    const usable = report && report.role === engine.role && !engine.leaving && !engine.retiring && !report.changing && nowMs - engine.reportAtMs <= this.#opts.maxReportAgeMs
    const servedName = this.#shard.spec.servedName ?? this.#shard.model
    return usable ? report.loaded.find(({ model }) => model === servedName)?.version : undefined
  }

  reserve (entry: LedgerEntry, nowMs: number): void {
    const key = holdLabelKey(entry.label)
    this.release(entry.label)
    this.#entries.set(key, entry)
    const prefill = this.#prefill.get(entry.prefillEngine)
    const decode = this.#decode.get(entry.decodeEngine)
    this.#prefillAccountOf(entry)?.plan(key, entry.prefillCostMs, nowMs)
    decode?.account.reserve(key, { kvBytes: entry.kvBytes, maxTokens: entry.maxTokens, importEndMs: entry.importEndMs })
    // A prefill on the decode engine itself uses no link.
    if (!prefill) return
    prefill.account.linkFreeAtMs = Math.max(prefill.account.linkFreeAtMs, entry.importEndMs)
    if (decode) decode.account.linkFreeAtMs = Math.max(decode.account.linkFreeAtMs, entry.importEndMs)
  }

  recordPrefillEnd (label: HoldLabel, nowMs: number): LedgerEntry | undefined {
    const entry = this.#entries.get(holdLabelKey(label))
    if (entry) this.#prefillAccountOf(entry)?.finish(holdLabelKey(label), nowMs - this.#shard.spec.prefillLatencyMs)
    return entry
  }

  /** Number of requests placed on an engine. */
  reservationsOn (engineName: string): number {
    return this.#prefill.get(engineName)?.account.plannedCount ?? this.#decode.get(engineName)?.account.reservedPlaces ?? 0
  }

  has (label: HoldLabel): boolean {
    return this.#entries.has(holdLabelKey(label))
  }

  /** Whether a reservation exists and its request is not overdue, so that its owner need not be asked about it. */
  isCurrent (label: HoldLabel, nowMs: number): boolean {
    const entry = this.#entries.get(holdLabelKey(label))
    return entry !== undefined && entry.expectedEndMs > nowMs
  }

  release (label: HoldLabel): LedgerEntry | undefined {
    const key = holdLabelKey(label)
    const entry = this.#entries.get(key)
    if (!entry) return undefined
    this.#entries.delete(key)
    this.#prefillAccountOf(entry)?.remove(key)
    this.#decode.get(entry.decodeEngine)?.account.release(key)
    this.#opts.onReleased?.(label)
    return entry
  }

  /** Releases all reservations of an owner's incarnation. */
  releaseOwner (ownerIncarnation: string): void {
    [...this.#entries.values()]
      .filter(({ label }) => label.ownerIncarnation === ownerIncarnation)
      .forEach(({ label }) => this.release(label))
  }

  /**
   * Ignores reports of an earlier process of the engine. A report of a later process means that the listed one has ended.
   *
   * @param askedAtMs when the report was requested
   */
  recordReport (engineName: string, report: EngineReport, nowMs: number, askedAtMs = nowMs): void {
    const engine = this.#prefill.get(engineName) ?? this.#decode.get(engineName)
    if (!engine) return
    const start = compareReportedStart(engine, report)
    if (start === ReportedStart.Older) return
    if (start === ReportedStart.Newer) {
      this.markUnresponsive(engineName)
      return
    }
    engine.report = report
    engine.reportAtMs = nowMs
    if (engine.silence || nowMs - askedAtMs >= SILENT_REPORT_MS) engine.resumedAtMs = nowMs
    engine.silence = undefined
    engine.awaitsFirstReport = false
    engine.account.recordReport(report, nowMs)
  }

  /** Called when an engine cannot be reached. It gets no work until it reports again. Returns whether it had reported before. */
  markUnresponsive (engineName: string): boolean {
    return this.#discardReport(engineName)
  }

  /** Called when an engine has not answered a request for its report that was sent at `sinceMs`. It gets no work until it reports again. Returns whether it had reported before. */
  markSilent (engineName: string, sinceMs: number): boolean {
    const engine = this.#prefill.get(engineName) ?? this.#decode.get(engineName)
    const hadReport = this.#discardReport(engineName, engine?.silence ?? { sinceMs, lastReport: engine?.report, shared: false })
    if (engine) this.#detectPause(engine.role, sinceMs)
    return hadReport
  }

  #detectPause (role: EngineRole, sinceMs: number): void {
    const engines = (role === EngineRole.Prefill ? this.#prefillList : this.#decodeList).filter(({ leaving }) => !leaving)
    const silences = engines.flatMap(({ silence }) => silence && sinceMs - silence.sinceMs <= this.#opts.maxReportAgeMs ? [silence] : [])
    if (silences.length > PAUSED_POOL_SHARE * engines.length) silences.forEach((silence) => { silence.shared = true })
  }

  #discardReport (engineName: string, silence?: EngineSilence): boolean {
    const engine = this.#prefill.get(engineName) ?? this.#decode.get(engineName)
    if (!engine) return false
    const hadReport = engine.report !== undefined
    engine.report = undefined
    engine.silence = silence
    engine.awaitsFirstReport = false
    return hadReport
  }

  /** Called when a decode engine has refused a request as full. Returns undefined for other engines. */
  markFull (engineName: string, nowMs: number): SlotRestriction | undefined {
    return this.#decode.get(engineName)?.account.markFull(nowMs)
  }

  /** The part of a decode engine's slots or memory that is known to be in use, by reservations or by its last report; 0 for other engines. */
  usedShare (engineName: string): number {
    const engine = this.#decode.get(engineName)
    if (!engine) return 0
    const { placesPerEngine, kvBytesPerEngine } = this.#shard.decodePool
    const { account: { reservedPlaces, externalPlaces, kvBytesInUse }, report } = engine
    return Math.max(Math.max(reservedPlaces + externalPlaces, report?.placesUsed ?? 0) / placesPerEngine, Math.max(kvBytesInUse, report?.kvBytesUsed ?? 0) / kvBytesPerEngine)
  }

  /** Whether the first report of any engine is still outstanding, as shortly after a shard was taken over. */
  awaitsFirstReports (nowMs: number): boolean {
    return this.allEngines().some((engine) => !engine.leaving && (engine.awaitsFirstReport || (this.#isPaused(engine, nowMs) && engine.silence?.lastReport === undefined)))
  }

  /** The oldest of the engines' last report times, among engines that have reported. */
  oldestReportAtMs (): number | undefined {
    const times = this.allEngines().map(({ reportAtMs }) => reportAtMs).filter((atMs) => atMs > 0)
    return times.length > 0 ? Math.min(...times) : undefined
  }

  expire (nowMs: number): void {
    this.#entries.forEach(({ expiresAtMs, label }) => {
      if (expiresAtMs <= nowMs) this.release(label)
    })
    this.#prefill.forEach(({ account }) => account.expire(nowMs))
    this.#decode.forEach(({ account }) => {
      account.expire(nowMs)
      account.ownPrefills.expire(nowMs)
    })
  }

  /** The account of the engine that computes a request's prompt: a prefill engine, or the decode engine itself. */
  #prefillAccountOf (entry: LedgerEntry): PrefillAccount | undefined {
    return isOwnPrefill(entry) ? this.#decode.get(entry.decodeEngine)?.account.ownPrefills : this.#prefill.get(entry.prefillEngine)?.account
  }
}

function updateAccounts<A> (
  accounts: Map<string, EngineAccount<A>>,
  role: EngineRole,
  listed: readonly ListedUpstream[],
  createAccount: () => A
): void {
  const names = new Set(listed.map(({ name }) => name));
  [...accounts.keys()].filter((name) => !names.has(name)).forEach((name) => accounts.delete(name))
  listed.forEach((engine) => {
    const { name, address, availabilityZone, leaving, startedAtMs } = engine
    const softwareVersion = softwareVersionOf(engine)
    const known = accounts.get(name)
    if (known && known.address === address) Object.assign(known, { leaving, softwareVersion })
    else accounts.set(name, { name, address, availabilityZone, role, leaving, softwareVersion, startedAtMs, account: createAccount(), reportAtMs: 0, awaitsFirstReport: true, retiring: false })
  })
}
