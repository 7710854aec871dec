import { type Clock, Notifier } from '@reelspan/core.env'
import { prefixDigests, type PrefixDigest, tokensOfText } from '@reelspan/core.hashing'
import { type HoldLabel, holdLabelKey } from '@reelspan/core.messages'
import { type CacheEventPage, type DecodeEvent, type DecodeRequest, type EngineHold, type EngineOrder, type EngineReport, EngineRole, HoldKind, type LoadedModel, OrderKind, type PrefillRequest, type PrefillResult, UpstreamError } from '@reelspan/upstream.client'
import { answerLength, promptId, tokenAt } from './answerText.js'
import { PrefixCache } from './prefixCache.js'

/** Fetches a prefill result from another engine. */
export type FetchPrefillResult = (prefillAddress: string, label: HoldLabel) => Promise<ExportedResult>

export interface ExportedResult {
  prompt: string
  promptTokens: number
}

export interface EngineModelOptions {
  clock: Clock
  name: string
  role: EngineRole
  loaded: LoadedModel[]
  /** Fetches a prefill result from the engine at an address. */
  exportFrom: FetchPrefillResult
  placesTotal?: number
  kvBytesTotal?: number
  kvBytesPerToken?: number
  prefillTokensPerSecond?: number
  prefillBaseMs?: number
  decodeStepBaseMs?: number
  decodeStepPerRequestMs?: number
  linkBytesPerSecond?: number
  prefillResultLifeMs?: number
  /** Capacity of the prefix cache in tokens. */
  cacheTokens?: number
  reportLagMs?: number
  cacheEventLagMs?: number
  /** Whether the engine refuses an order whose fencing token is not above the last. */
  checksFence?: boolean
  loadModelMs?: number
  /** Called when the engine has changed its role. */
  onRoleChanged?: (role: EngineRole) => void
  /** Called when the engine starts to decode a request. */
  onDecodeStarted?: (engine: string, prompt: string) => void
}

/** Faults that can be injected into an engine. */
export interface EngineFaults {
  /** Imports of prefill results never complete. */
  stallTransfers: boolean
  /** Decode events carry another request's label. */
  crossAnswers: boolean
  /** Tokens at odd positions are sent twice. */
  doubleTokens: boolean
  /** Position of the token after which the next stream's connection is lost. The engine continues to decode. */
  breakAfterTokens?: number
  /** Evictions from the prefix cache are not reported. */
  loseCacheEvents: boolean
}

interface Prefill {
  request: PrefillRequest
  order: number
  cancelled: boolean
  settle: (outcome: PrefillResult | UpstreamError) => void
}

interface Stream {
  label: HoldLabel
  prompt: string
  kvBytes: number
  firstIndex: number
  endIndex: number
  tokens: string[]
  importing: boolean
  cancelled: boolean
  progress: Notifier
}

const DEFAULTS = {
  placesTotal: 20,
  kvBytesTotal: 4_000_000_000,
  kvBytesPerToken: 100_000,
  prefillTokensPerSecond: 8000,
  prefillBaseMs: 5,
  decodeStepBaseMs: 25,
  decodeStepPerRequestMs: 2,
  linkBytesPerSecond: 5_000_000_000,
  prefillResultLifeMs: 800,
  cacheTokens: 40_000,
  reportLagMs: 0,
  cacheEventLagMs: 500,
  checksFence: true,
  loadModelMs: 2000,
}
const MS_PER_SECOND = 1000

/**
 * Simulates a model engine with continuous batching: durations pass on the
 * clock, and nothing is computed. Like real engines, it completes its work even
 * if the requesting box has exited.
 */
export class EngineModel {
  readonly faults: EngineFaults = { stallTransfers: false, crossAnswers: false, doubleTokens: false, loseCacheEvents: false }
  /** Prompt ids in the order in which their prefills started. */
  readonly prefillRuns: string[] = []
  /** Prompt ids in the order in which their decodes started. */
  readonly decodeRuns: string[] = []
  readonly orders: EngineOrder[] = []
  readonly stats = { prefilledTokens: 0, generatedTokens: 0, expiredPrefillTokens: 0, refusedDecodes: 0 }
  readonly name: string
  readonly #opts: EngineModelOptions & typeof DEFAULTS
  readonly #queue: Prefill[] = []
  readonly #results = new Map<string, { label: HoldLabel, prompt: string, promptTokens: number, computedTokens: number, expiresAtMs: number, kvBytes: number }>()
  readonly #streams = new Map<string, Stream>()
  readonly #cache: PrefixCache
  #runningPrefill?: { prefill: Prefill, endMs: number }
  #decoding = false
  #nextSequence = 0
  #linkFreeAtMs = 0
  #role: EngineRole
  #loaded: LoadedModel[]
  #changing = false
  #fence = 0
  #pastReports: { atMs: number, report: EngineReport }[] = []

  constructor (opts: EngineModelOptions) {
    this.#opts = { ...DEFAULTS, ...opts }
    this.name = opts.name
    this.#role = opts.role
    this.#loaded = opts.loaded
    this.#cache = new PrefixCache(this.#opts.cacheTokens, this.#opts.cacheEventLagMs)
  }

  get role (): EngineRole {
    return this.#role
  }

  get loaded (): readonly LoadedModel[] {
    return this.#loaded
  }

  get placesUsed (): number {
    return this.#streams.size
  }

  get kvBytesUsed (): number {
    const streams = [...this.#streams.values()].reduce((sum, { kvBytes }) => sum + kvBytes, 0)
    return streams + [...this.#results.values()].reduce((sum, { kvBytes }) => sum + kvBytes, 0)
  }

  get kvBytesTotal (): number {
    return this.#opts.kvBytesTotal
  }

  prefill (request: PrefillRequest): Promise<PrefillResult> {
    if (!this.#servesModel(request.model, EngineRole.Prefill)) return Promise.reject(refusal('does not serve this model now'))
    return new Promise((resolve, reject) => {
      this.#queue.push({
        request,
        order: this.#nextSequence++,
        cancelled: false,
        settle: (outcome) => outcome instanceof UpstreamError ? reject(outcome) : resolve(outcome),
      })
      this.#queue.sort((a, b) => b.request.priority - a.request.priority || a.order - b.order)
      if (!this.#runningPrefill) void this.#runPrefills()
    })
  }

  /** Transfers a prefill result to another engine and frees it here. */
  async exportResult (label: HoldLabel): Promise<ExportedResult> {
    const result = this.#results.get(holdLabelKey(label))
    if (!result) throw refusal('has no such prefill result')
    this.#results.delete(holdLabelKey(label))
    return { prompt: result.prompt, promptTokens: result.promptTokens }
  }

  async * decode (request: DecodeRequest): AsyncGenerator<DecodeEvent> {
    const existing = this.#streams.get(holdLabelKey(request.label))
    const stream = existing ?? await this.#openStream(request)
    yield * this.#sendTokens(stream, request)
  }

  release (label: HoldLabel): void {
    const key = holdLabelKey(label)
    const stream = this.#streams.get(key)
    if (stream) this.#closeStream(stream, true)
    this.#results.delete(key)
    const queued = [...this.#queue, ...this.#runningPrefill ? [this.#runningPrefill.prefill] : []]
    queued.filter(({ request }) => holdLabelKey(request.label) === key).forEach((prefill) => {
      prefill.cancelled = true
      prefill.settle(new UpstreamError(`${this.name}: released`, { mayHaveRun: true }))
    })
  }

  /** Simulates an exit of the process: all answers in progress are interrupted. */
  crash (): void {
    const running = [...this.#streams.values()].map(({ label }) => label)
    const queued = [...this.#queue, ...this.#runningPrefill ? [this.#runningPrefill.prefill] : []].map(({ request }) => request.label);
    [...running, ...queued].forEach((label) => this.release(label))
  }

  report (): EngineReport {
    this.#expireResults()
    const nowMs = this.#opts.clock.nowMs()
    const now: EngineReport = {
      role: this.#role,
      loaded: [...this.#loaded],
      changing: this.#changing,
      placesUsed: this.placesUsed,
      placesTotal: this.#opts.placesTotal,
      kvBytesUsed: this.kvBytesUsed,
      kvBytesTotal: this.#opts.kvBytesTotal,
      prefillQueueMs: this.#queueMs(),
      fence: this.#fence,
      holds: this.holds(),
    }
    this.#pastReports = [...this.#pastReports, { atMs: nowMs, report: now }].filter(({ atMs }) => atMs >= nowMs - 4 * this.#opts.reportLagMs)
    const lagged = this.#pastReports.findLast(({ atMs }) => atMs <= nowMs - this.#opts.reportLagMs)?.report ?? now
    return { ...now, placesUsed: lagged.placesUsed, kvBytesUsed: lagged.kvBytesUsed, prefillQueueMs: lagged.prefillQueueMs }
  }

  holds (): EngineHold[] {
    this.#expireResults()
    const queued = [...this.#runningPrefill ? [this.#runningPrefill.prefill] : [], ...this.#queue].filter(({ cancelled }) => !cancelled)
    return [
      ...queued.map(({ request }) => ({ label: request.label, kind: HoldKind.Prefill, kvBytes: 0, tokensDone: 0 })),
      ...[...this.#results.values()].map(({ label, kvBytes }) => ({ label, kind: HoldKind.PrefillResult, kvBytes, tokensDone: 0 })),
      ...[...this.#streams.values()].map(({ label, kvBytes, importing, tokens }) => ({ label, kind: importing ? HoldKind.Import : HoldKind.Decode, kvBytes, tokensDone: tokens.length })),
    ]
  }

  cacheEvents (sinceSequence: number): CacheEventPage {
    return this.#cache.events(sinceSequence, this.#opts.clock.nowMs())
  }

  async order (order: EngineOrder): Promise<void> {
    if (this.#opts.checksFence) {
      if (order.fence <= this.#fence) throw refusal(`fencing token ${order.fence} is not above ${this.#fence}`)
      this.#fence = order.fence
    }
    this.orders.push(order)
    this.#changing = true
    await this.#opts.clock.sleep(this.#opts.loadModelMs)
    if (order.kind === OrderKind.ChangeRole) this.#changeRole(order.role)
    else this.#loaded = [...this.#loaded.filter(({ model }) => model !== order.model), { model: order.model, version: order.version }]
    this.#changing = false
  }

  #changeRole (role: EngineRole): void {
    this.#role = role
    this.#opts.onRoleChanged?.(role)
  }

  #servesModel (model: string, role: EngineRole): boolean {
    return this.#role === role && !this.#changing && this.#loaded.some((loaded) => loaded.model === model)
  }

  #queueMs (): number {
    const computingMs = this.#runningPrefill ? Math.max(0, this.#runningPrefill.endMs - this.#opts.clock.nowMs()) : 0
    return this.#queue.reduce((sum, { request }) => sum + this.#prefillMs(tokensOfText(request.prompt), this.#cache.peek(prefixDigests(request.prompt))), computingMs)
  }

  #prefillMs (promptTokens: number, cachedTokens: number): number {
    return this.#opts.prefillBaseMs + (promptTokens - cachedTokens) * MS_PER_SECOND / this.#opts.prefillTokensPerSecond
  }

  async #runPrefills (): Promise<void> {
    const { clock, kvBytesPerToken, prefillResultLifeMs } = this.#opts
    for (let prefill = this.#queue.shift(); prefill; prefill = this.#queue.shift()) {
      if (prefill.cancelled) continue
      const { label, prompt } = prefill.request
      this.prefillRuns.push(promptId(prompt))
      const promptTokens = tokensOfText(prompt)
      const prefixes: PrefixDigest[] = prefixDigests(prompt)
      const cachedTokens = this.#cache.touch(prefixes)
      const costMs = this.#prefillMs(promptTokens, cachedTokens)
      this.#runningPrefill = { prefill, endMs: clock.nowMs() + costMs }
      await clock.sleep(costMs)
      this.#cache.insert(prefixes, clock.nowMs(), this.faults.loseCacheEvents)
      this.#runningPrefill = undefined
      this.stats.prefilledTokens += promptTokens - cachedTokens
      if (prefill.cancelled) continue
      const kvBytes = promptTokens * kvBytesPerToken
      this.#results.set(holdLabelKey(label), { label, prompt, promptTokens, computedTokens: promptTokens - cachedTokens, kvBytes, expiresAtMs: clock.nowMs() + prefillResultLifeMs })
      prefill.settle({ label, kvBytes, promptTokens, cachedTokens })
    }
  }

  #expireResults (): void {
    const nowMs = this.#opts.clock.nowMs()
    this.#results.forEach((result, key) => {
      if (result.expiresAtMs > nowMs) return
      this.#results.delete(key)
      this.stats.expiredPrefillTokens += result.computedTokens
    })
  }

  async #openStream (request: DecodeRequest): Promise<Stream> {
    const { clock, exportFrom, kvBytesPerToken, linkBytesPerSecond } = this.#opts
    if (!this.#servesModel(request.model, EngineRole.Decode)) throw refusal('does not serve this model now')
    if (request.fromIndex > request.firstIndex) throw refusal('has no such stream')
    if (this.#streams.size >= this.#opts.placesTotal) this.#refuseDecode('has no free slot')
    const stream: Stream = { label: request.label, prompt: '', kvBytes: 0, firstIndex: request.firstIndex, endIndex: 0, tokens: [], importing: true, cancelled: false, progress: new Notifier() }
    this.#streams.set(holdLabelKey(request.label), stream)
    try {
      const { prompt, promptTokens } = await exportFrom(request.prefillAddress, request.label)
      stream.prompt = prompt
      stream.kvBytes = (promptTokens + request.maxTokens) * kvBytesPerToken
      stream.endIndex = Math.min(answerLength(prompt, request.firstIndex + request.maxTokens), request.firstIndex + request.maxTokens)
      if (this.kvBytesUsed > this.#opts.kvBytesTotal) this.#refuseDecode('has no free memory')
      this.decodeRuns.push(promptId(prompt))
      this.#linkFreeAtMs = Math.max(this.#linkFreeAtMs, clock.nowMs()) + promptTokens * kvBytesPerToken * MS_PER_SECOND / linkBytesPerSecond
      await clock.sleep(this.#linkFreeAtMs - clock.nowMs())
      if (this.faults.stallTransfers) await new Promise(() => {})
      if (stream.cancelled) throw new UpstreamError(`${this.name}: released`, { mayHaveRun: true })
    } catch (thrown) {
      this.#closeStream(stream, true)
      throw thrown
    }
    stream.importing = false
    this.#opts.onDecodeStarted?.(this.name, stream.prompt)
    if (!this.#decoding) void this.#runDecodeSteps()
    return stream
  }

  #refuseDecode (reason: string): never {
    this.stats.refusedDecodes++
    throw refusal(reason)
  }

  /** Runs decode steps while streams are open; each step adds one token to every stream of the batch. */
  async #runDecodeSteps (): Promise<void> {
    const { clock, decodeStepBaseMs, decodeStepPerRequestMs } = this.#opts
    this.#decoding = true
    for (let batch = this.#decodingStreams(); batch.length > 0; batch = this.#decodingStreams()) {
      await clock.sleep(decodeStepBaseMs + decodeStepPerRequestMs * batch.length)
      batch.filter(({ cancelled }) => !cancelled).forEach((stream) => {
        stream.tokens.push(tokenAt(stream.prompt, stream.firstIndex + stream.tokens.length))
        this.stats.generatedTokens++
        if (stream.firstIndex + stream.tokens.length >= stream.endIndex) this.#closeStream(stream, false)
        stream.progress.notify()
      })
    }
    this.#decoding = false
  }

  #decodingStreams (): Stream[] {
    return [...this.#streams.values()].filter(({ importing }) => !importing)
  }

  #closeStream (stream: Stream, cancelled: boolean): void {
    stream.cancelled = cancelled
    this.#streams.delete(holdLabelKey(stream.label))
    stream.progress.notify()
  }

  async * #sendTokens (stream: Stream, request: DecodeRequest): AsyncGenerator<DecodeEvent> {
    const label = this.faults.crossAnswers ? { ...request.label, requestId: 'other' } : request.label
    for (let index = Math.max(request.fromIndex, stream.firstIndex); ; index++) {
      while (index - stream.firstIndex >= stream.tokens.length && !this.#hasEnded(stream)) await stream.progress.wait()
      if (stream.cancelled) throw new UpstreamError(`${this.name}: released`, { mayHaveRun: true })
      if (index - stream.firstIndex >= stream.tokens.length) break
      const text = stream.tokens[index - stream.firstIndex]
      yield { label, index, text }
      if (this.faults.doubleTokens && index % 2 === 1) yield { label, index, text }
      if (index === this.faults.breakAfterTokens) {
        this.faults.breakAfterTokens = undefined
        throw new UpstreamError(`${this.name}: connection lost`, { mayHaveRun: true })
      }
    }
    yield { label, end: true, count: stream.firstIndex + stream.tokens.length }
  }

  #hasEnded (stream: Stream): boolean {
    return stream.cancelled || (!stream.importing && stream.firstIndex + stream.tokens.length >= stream.endIndex)
  }
}

function refusal (reason: string): UpstreamError {
  return new UpstreamError(`the engine ${reason}`, { mayHaveRun: false, refused: true })
}
