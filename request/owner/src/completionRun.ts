import { type FleetList } from '@reelspan/config.fleet'
import { type Configuration } from '@reelspan/config.resources'
import { type Clock } from '@reelspan/core.env'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { hash32, prefixDigests, tokensOfText } from '@reelspan/core.hashing'
import { AnswerEventKind, type CompletionRequest, type HoldLabel, type PlacementPlan, type PlacementRefusal, type PlacementReport, isSameHolder } from '@reelspan/core.messages'
import { type RunEnds } from '@reelspan/request.quarantine'
import { type Placement, type Placer, type PlaceRequest } from '@reelspan/scheduling.placer'
import { type EngineClient, type PrefillResult, UpstreamError } from '@reelspan/upstream.client'
import { reportInterruption } from './reportInterruption.js'
import { percentile } from './percentile.js'
import { type RequestTimings } from './requestTimings.js'
import { type RunContext } from './runContext.js'

export interface CompletionRunOptions {
  clock: Clock
  engines: EngineClient
  placer: Placer
  self: () => { peerAddress: string, incarnation: string }
  configuration: () => Configuration
  fleet: () => FleetList
  upstreamTimeoutMs: number
  /** Records answers of upstreams that were interrupted. */
  runEnds: RunEnds
}

/** How often one interrupted decode stream is resumed at its engine. */
const MAX_RESUMES = 3
/** Delay between attempts to continue an answer that has begun. */
const CONTINUE_BACKOFF_MS = 100
const MAX_ATTEMPTS = 8

/** Runs one completion: placement, prefill, decode. After a failure it starts again behind the tokens generated so far. */
export class CompletionRun {
  readonly #opts: CompletionRunOptions
  readonly #run: RunContext
  readonly #request: CompletionRequest
  readonly #timings: RequestTimings
  readonly #failedEngines = new Set<string>()
  /** Generated tokens in order. */
  readonly #generated: string[] = []
  #firstTokenAtMs?: number
  #lastTokenAtMs?: number

  constructor (opts: CompletionRunOptions, run: RunContext, request: CompletionRequest, timings: RequestTimings) {
    this.#opts = opts
    this.#run = run
    this.#request = request
    this.#timings = timings
  }

  async execute (): Promise<void> {
    for (let attempt = 1; ; attempt++) {
      const label = this.#nextLabel()
      const placement = await this.#place(label)
      try {
        await this.#executePlacement(label, placement)
        this.#run.finish(tokensOfText(this.#request.prompt))
        return
      } catch (thrown) {
        this.#run.throwIfEnded()
        if (!this.#mayRetry(thrown, attempt)) throw thrown
      }
    }
  }

  #mayRetry (thrown: unknown, attempt: number): boolean {
    if (!(thrown instanceof UpstreamError) || attempt >= MAX_ATTEMPTS) return false
    if (this.#run.mayHaveRun && this.#request.notRepeatable) return false
    return this.#run.tryAcquireRetry()
  }

  /** Places the request, or the rest of it. Only a request that no engine has begun is refused. */
  async #place (label: HoldLabel): Promise<Placement> {
    const { clock, placer } = this.#opts
    while (true) {
      await this.#run.checkBeforeSend()
      const outcome = await placer.place(this.#placeRequest(label), { signal: this.#run.signal })
      if ('plan' in outcome) return outcome
      this.#run.throwIfEnded()
      if (!this.#run.mayHaveRun) throw this.#refusal(outcome)
      await clock.sleep(CONTINUE_BACKOFF_MS, { signal: this.#run.signal })
    }
  }

  #refusal (refusal: PlacementRefusal): ReelspanError {
    return new ReelspanError(ErrorCode.Overloaded, refusal.reason, { retryAfterMs: refusal.retryAfterMs })
  }

  #placeRequest (label: HoldLabel): PlaceRequest {
    const { model, client, priority, maxTokens, ttftTargetMs, tbtTargetMs } = this.#request
    const prompt = this.#promptWithAnswer()
    return {
      model,
      client,
      label,
      returnId: hash32(this.#request.key).toString(36),
      priority,
      promptTokens: tokensOfText(prompt),
      prefixes: prefixDigests(prompt),
      maxTokens: maxTokens - this.#generated.length,
      // A request that may have run is finished late rather than left with an unknown outcome, so only its deadline counts.
      ttftLeftMs: this.#run.mayHaveRun ? this.#run.remainingMs : ttftTargetMs - this.#run.elapsedMs,
      tbtTargetMs,
      deadlineMs: this.#run.remainingMs,
      avoid: [...this.#failedEngines],
    }
  }

  #nextLabel (): HoldLabel {
    const { peerAddress, incarnation } = this.#opts.self()
    return { ownerAddress: peerAddress, ownerIncarnation: incarnation, requestId: this.#run.nextAttempt(), maxHoldMs: this.#run.remainingMs }
  }

  #promptWithAnswer (): string {
    return this.#request.prompt + this.#generated.join('')
  }

  async #executePlacement (label: HoldLabel, placement: Placement): Promise<void> {
    const { clock } = this.#opts
    const { plan } = placement
    const placedAtMs = clock.nowMs()
    let finished = false
    try {
      await clock.sleep(plan.startInMs, { signal: this.#run.signal })
      await this.#run.checkBeforeSend()
      // After a late wake-up, the slot that was reserved for the end of this prefill may have been given to another request.
      if (clock.nowMs() - placedAtMs > plan.startWithinMs) throw new UpstreamError('the reserved start time of the placement has passed', { mayHaveRun: false })
      await this.#prefillAndDecode(label, placement)
      finished = true
    } finally {
      placement.release(finished ? this.#report(plan, placedAtMs) : undefined)
      if (!finished) this.#releaseEngines(label, plan)
    }
  }

  #report (plan: PlacementPlan, placedAtMs: number): PlacementReport {
    const ttftErrorMs = (this.#firstTokenAtMs ?? placedAtMs) - placedAtMs - plan.expectedTtftMs
    return { completionTokens: this.#generated.length, ttftErrorMs, tbtP50Ms: percentile(this.#timings.tbtMs, 50) }
  }

  async #prefillAndDecode (label: HoldLabel, placement: Placement): Promise<void> {
    const { plan } = placement
    this.#checkTakesWork(plan.prefillEngine)
    this.#checkTakesWork(plan.decodeEngine)
    const prefilled = await this.#prefill(label, plan)
    placement.recordPrefillEnd()
    // A non-repeatable request that has begun cannot move to another engine, and a draining engine still finishes its work.
    if (!this.#request.notRepeatable) this.#checkTakesWork(plan.decodeEngine)
    const tokensBefore = this.#generated.length
    try {
      await this.#decode(label, placement)
    } catch (thrown) {
      if (this.#generated.length === tokensBefore) this.#timings.wastedPrefillTokens += prefilled.promptTokens - prefilled.cachedTokens
      throw thrown
    }
  }

  /** The engine may have begun to drain after the scheduler's last update. */
  #checkTakesWork (engine: string): void {
    if (this.#opts.fleet().takesWork(engine)) return
    this.#failedEngines.add(engine)
    throw new UpstreamError(`${engine} does not accept new work`, { mayHaveRun: false, refused: true })
  }

  async #prefill (label: HoldLabel, plan: PlacementPlan): Promise<PrefillResult> {
    const { engines } = this.#opts
    const request = { label, model: this.#request.model, prompt: this.#promptWithAnswer(), priority: this.#request.priority }
    const result = await this.#trackFailure(plan.prefillEngine, plan.prefillAddress, () =>
      this.#run.dispatch(() => engines.prefill(plan.prefillAddress, request, this.#prefillOptions())))
    this.#timings.prefilledTokens += result.promptTokens - result.cachedTokens
    if (!isSameHolder(result.label, label)) throw new UpstreamError(`${plan.prefillEngine} returned the answer of a different request`, { mayHaveRun: true })
    return result
  }

  /** Receives the stream until it is complete, resuming it after interruptions. */
  async #decode (label: HoldLabel, placement: Placement): Promise<void> {
    const firstIndex = this.#generated.length
    for (let resumes = 0; ; resumes++) {
      try {
        await this.#receive(label, placement, firstIndex)
        return
      } catch (thrown) {
        this.#run.throwIfEnded()
        const interrupted = thrown instanceof UpstreamError && !thrown.refused && this.#generated.length > firstIndex
        if (!interrupted || resumes >= MAX_RESUMES) throw thrown
      }
    }
  }

  async #receive (label: HoldLabel, placement: Placement, firstIndex: number): Promise<void> {
    const { engines } = this.#opts
    const { plan } = placement
    const request = {
      label,
      model: this.#request.model,
      prefillAddress: plan.prefillAddress,
      maxTokens: this.#request.maxTokens - firstIndex,
      priority: this.#request.priority,
      fromIndex: this.#generated.length,
      firstIndex,
    }
    let ended = false
    await this.#trackFailure(plan.decodeEngine, plan.decodeAddress, async () => {
      for await (const event of engines.decode(plan.decodeAddress, request, this.#callOptions())) {
        if (!isSameHolder(event.label, label)) throw new UpstreamError(`${plan.decodeEngine} sent a token of a different answer`, { mayHaveRun: true })
        if (event.end) {
          // Read to the end of the stream: abandoning it early would close its connection.
          this.#checkComplete(event.count, plan)
          ended = true
          continue
        }
        this.#appendToken(event.index, event.text, plan)
        placement.recordProgress(this.#generated.length - firstIndex)
      }
      if (!ended) throw new UpstreamError(`${plan.decodeEngine} closed the stream before its end`, { mayHaveRun: true })
    })
  }

  /** Appends a token to the answer. Ignores duplicates and fails the stream on a gap. */
  #appendToken (index: number, text: string, plan: PlacementPlan): void {
    if (index < this.#generated.length) return
    if (index > this.#generated.length) throw new UpstreamError(`${plan.decodeEngine} skipped a token`, { mayHaveRun: true })
    const nowMs = this.#opts.clock.nowMs()
    this.#recordTokenTime(nowMs)
    this.#generated.push(text)
    this.#run.record.append({ kind: AnswerEventKind.Token, index, text }, nowMs)
  }

  #recordTokenTime (nowMs: number): void {
    this.#firstTokenAtMs ??= nowMs
    if (this.#lastTokenAtMs === undefined) this.#timings.ttftMs = this.#run.elapsedMs
    else this.#timings.tbtMs.push(nowMs - this.#lastTokenAtMs)
    this.#lastTokenAtMs = nowMs
  }

  #checkComplete (count: number, plan: PlacementPlan): void {
    if (count !== this.#generated.length) throw new UpstreamError(`${plan.decodeEngine} ended an incomplete stream`, { mayHaveRun: true })
  }

  /** A request that may run once could not be sent to another engine, so its prefill is waited for until the deadline. */
  #prefillOptions () {
    return this.#request.notRepeatable ? { ...this.#callOptions(), timeoutMs: Math.max(1, this.#run.remainingMs) } : this.#callOptions()
  }

  #callOptions () {
    return { timeoutMs: Math.min(this.#opts.upstreamTimeoutMs, Math.max(1, this.#run.remainingMs)), signal: this.#run.signal }
  }

  /** Runs `work` and excludes the engine from later attempts if it fails. */
  async #trackFailure<T> (engine: string, address: string, work: () => Promise<T>): Promise<T> {
    const sentAtMs = this.#opts.clock.nowMs()
    try {
      return await work()
    } catch (thrown) {
      if (thrown instanceof UpstreamError) this.#failedEngines.add(engine)
      reportInterruption(this.#opts.runEnds, this.#run, { request: this.#request, upstream: engine, address, sentAtMs }, thrown)
      throw thrown
    }
  }

  /** Releases the holds at both engines without waiting. The scheduler's sweep finds holds that were not released. */
  #releaseEngines (label: HoldLabel, plan: PlacementPlan): void {
    const { engines, upstreamTimeoutMs } = this.#opts
    const addresses = [plan.prefillAddress, plan.decodeAddress]
    addresses.forEach((address) => {
      // The client reports failures.
      engines.release(address, label, { timeoutMs: upstreamTimeoutMs }).catch(() => {})
    })
  }
}
