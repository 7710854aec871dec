import { type ReelspanError } from '@reelspan/core.error'
import { hash32 } from '@reelspan/core.hashing'
import { type HoldLabel, PlacementOutcome, type PlacementRefusal } from '@reelspan/core.messages'
import { type Placement, type PlaceRequest } from '@reelspan/scheduling.placer'
import { LogEvent } from '@reelspan/telemetry.log'
import { type PromptSizes, UpstreamError } from '@reelspan/upstream.client'
import { WaitReason } from '@reelspan/upstream.limits'
import { type EventProgress } from './eventProgress.js'
import { type PermittedPlacement, noPlacementError, acquireEnginePermits } from './permittedPlacement.js'
import { type RelayContext } from './relayContext.js'
import { BlockedUpstreams } from './blockedUpstreams.js'
import { type StreamVersion } from './streamVersion.js'
import { unconnectedUpstreams } from './unconnectedUpstreams.js'
import { targetVersionOf } from './targetVersionOf.js'

/** Latency targets that a request may wait for its first token. Callers abandon a stream after four; the fourth covers round trips and estimation errors. */
export const MAX_WAIT_TARGETS = 3
/** Delay between attempts to continue an answer that has begun. */
const CONTINUE_BACKOFF_MS = 100
/** Paths are checked again several times a second. */
const NO_CONNECTION_RETRY_AFTER_MS = 1000
/** Clients abandon a stream that stalls for longer than this. */
const CONTINUE_TIMEOUT_MS = 2000

/** State of the request that later placements depend on. */
export interface PlacementState {
  /** Engines that failed the request. */
  failed: ReadonlySet<string>
  /** The part of the stream that the caller has. */
  progress: () => EventProgress
  version: StreamVersion
}

/** Obtains placements for one request at a model's engines, with the permits to send it there. */
export class CompletionPlacer {
  readonly #context: RelayContext
  readonly #model: string
  readonly #prompt: PromptSizes
  readonly #state: PlacementState
  /** Engines that refused a permit after the request was placed there. */
  readonly #blocked = new BlockedUpstreams()
  #placements = 0

  constructor (context: RelayContext, model: string, prompt: PromptSizes, state: PlacementState) {
    this.#context = context
    this.#model = model
    this.#prompt = prompt
    this.#state = state
  }

  /** Answer tokens that were delivered to the caller. */
  deliveredTokens (): number {
    return this.#state.progress().events * this.#tokensPerEvent
  }

  /** Records the time between events of a complete answer. */
  recordEventTime (eventMs: number): void {
    this.#context.tokenTimes.record(this.#model, eventMs / this.#tokensPerEvent)
  }

  get #tokensPerEvent (): number {
    return this.#context.opts.configuration().model(this.#model)?.tokensPerEvent ?? 1
  }

  /** Places the request again without an engine that refuses a permit. This counts neither as a failure nor as an attempt. */
  async place (attempt: number, signal: AbortSignal): Promise<PermittedPlacement> {
    this.#blocked.clear()
    for (;;) {
      const placement = await this.#obtainPlacement(attempt, signal)
      const permits = await acquireEnginePermits(this.#context, placement, this.#blocked)
      if (permits) return { placement, permits }
    }
  }

  async #obtainPlacement (attempt: number, signal: AbortSignal): Promise<Placement> {
    const { opts, run, caller, logDecision } = this.#context
    const askedAtMs = run.elapsedMs
    let outcome = await this.#callPlacer(attempt, signal)
    while (!('plan' in outcome)) {
      // An answer that has begun is continued late rather than aborted.
      if (!caller.begun) throw this.#refusal(outcome)
      await opts.clock.sleep(CONTINUE_BACKOFF_MS, { signal })
      this.#blocked.clear()
      run.throwIfEnded()
      outcome = await this.#callPlacer(attempt, signal)
    }
    const { plan: { prefillEngine, decodeEngine, expectedTtftMs }, placedBy } = outcome
    const { promptTokens, maxTokens, expectedTokens } = this.#prompt
    const softwareVersion = opts.fleet().upstream(decodeEngine)?.softwareVersion
    logDecision(LogEvent.RequestPlaced, {
      attempt,
      promptTokens,
      maxTokens,
      expectedTokens,
      prefillEngine,
      decodeEngine,
      softwareVersion,
      scheduler: placedBy,
      expectedTtftMs: Math.round(expectedTtftMs),
      waitedMs: Math.round(run.elapsedMs - askedAtMs),
      atMs: Math.round(run.elapsedMs),
    })
    return outcome
  }

  #refusal (refusal: PlacementRefusal): ReelspanError {
    const { configuration } = this.#context.opts
    const model = configuration().model(this.#model)
    if (model) [model.prefillPool, model.decodePool].forEach((pool) => this.#addBackoffs(pool))
    return noPlacementError(this.#context, this.#model, refusal, this.#blocked)
  }

  /** Adds the engines of a pool if all of them asked this box to back off, since that is then why there is no placement. */
  #addBackoffs (pool: string): void {
    const { fleet, backoffs } = this.#context.opts
    const engines = fleet().takingWork(pool).map(({ name }) => ({ name, durationMs: backoffs.remainingMs(name) }))
    if (engines.some(({ durationMs }) => durationMs === 0)) return
    engines.forEach(({ name, durationMs }) => this.#blocked.add(name, { reason: WaitReason.Backoff, durationMs }))
  }

  /** Calls the placer. Releases the placement if the attempt has ended in the meantime. */
  async #callPlacer (attempt: number, signal: AbortSignal): Promise<Placement | PlacementRefusal> {
    const { opts, run } = this.#context
    this.#state.version.checkServed()
    if (this.#hasNoConnection()) return { outcome: PlacementOutcome.Refused, reason: 'no engine accepts connections from this box, and it has no open one', retryAfterMs: NO_CONNECTION_RETRY_AFTER_MS }
    const outcome = await opts.placer.place(this.#placeRequest(attempt), { signal })
    if (signal.aborted && 'plan' in outcome) outcome.release()
    run.throwIfEnded()
    if (signal.aborted) throw new UpstreamError('the attempt was cancelled while it waited for a place', { mayHaveRun: false })
    return outcome
  }

  #placeRequest (attempt: number): PlaceRequest {
    const { opts, run, route, request, caller, urgency } = this.#context
    const { promptTokens, maxTokens, prefixes } = this.#prompt
    const deliveredTokens = this.deliveredTokens()
    // The prompt is not computed again if the answer could not be complete in time. A first attempt is never refused because of an estimate.
    const availableMs = attempt > 1 ? run.remainingMs - this.#minRemainingDecodeMs(deliveredTokens) : run.remainingMs
    const { peerAddress, incarnation, availabilityZone } = opts.self()
    const label: HoldLabel = { ownerAddress: peerAddress, ownerIncarnation: incarnation, requestId: `${request.id}.${++this.#placements}`, maxHoldMs: run.remainingMs }
    return {
      model: this.#model,
      // Requests without an account count together as one client.
      client: request.account ?? '',
      label,
      // A caller's retry has a different id, but the same last prompt prefix. Another attempt of this box is not a retry of the caller.
      returnId: (caller.begun || attempt > 1 ? undefined : prefixes.at(-1)?.digest) ?? hash32(label.requestId).toString(36),
      priority: -urgency,
      promptTokens: promptTokens + deliveredTokens,
      prefixes: [...prefixes],
      maxTokens: Math.max(1, maxTokens - deliveredTokens),
      ttftLeftMs: Math.min(availableMs, caller.begun ? CONTINUE_TIMEOUT_MS : route.spec.ttftTargetMs - run.elapsedMs),
      patienceMs: Math.min(availableMs, caller.begun ? CONTINUE_TIMEOUT_MS : MAX_WAIT_TARGETS * route.spec.ttftTargetMs - run.elapsedMs),
      tbtTargetMs: route.spec.tbtTargetMs,
      deadlineMs: run.remainingMs,
      allowsOwnPrefill: true,
      availabilityZone,
      softwareVersion: this.#state.version.fixed,
      resumable: route.spec.resumable || undefined,
      avoid: [...new Set([...this.#state.failed, ...this.#failingEngines(attempt), ...this.#blocked.names(), ...opts.backoffs.upstreams(), ...this.#bannedEngines(), ...this.#unconnectedEngines()])],
    }
  }

  /** Suspected and silent engines. A first attempt rather waits at one of these than be refused when all engines of a pool are. */
  #failingEngines (attempt: number): string[] {
    const { opts, health, silence } = this.#context
    const failing = new Set([...health.suspects(), ...silence.upstreams()])
    const model = opts.configuration().model(this.#model)
    if (attempt > 1 || !model) return [...failing]
    const isWholePool = (pool: string) => opts.fleet().takingWork(pool).every(({ name }) => failing.has(name))
    const spared = new Set([model.prefillPool, model.decodePool].filter(isWholePool).flatMap((pool) => opts.fleet().takingWork(pool).map(({ name }) => name)))
    return [...failing].filter((name) => !spared.has(name))
  }

  /** Whether this box cannot send the request to any engine. A scheduler would have it wait for one. */
  #hasNoConnection (): boolean {
    const { opts, paths } = this.#context
    const model = opts.configuration().model(this.#model)
    if (!paths.lost || !model) return false
    const isUnconnected = (pool: string) => unconnectedUpstreams(this.#context, pool).length === opts.fleet().takingWork(pool).length
    return isUnconnected(model.decodePool) || (model.decodePrefillTokensPerSecond === undefined && isUnconnected(model.prefillPool))
  }

  #unconnectedEngines (): string[] {
    const model = this.#context.opts.configuration().model(this.#model)
    return model ? [model.prefillPool, model.decodePool].flatMap((pool) => unconnectedUpstreams(this.#context, pool)) : []
  }

  /** Engines whose software version the prompt's parts have crashed. */
  #bannedEngines (): string[] {
    const { opts, identity } = this.#context
    const versions = opts.quarantine.bannedVersions(identity)
    if (versions.length === 0) return []
    const pool = opts.configuration().model(this.#model)?.decodePool ?? ''
    return opts.fleet().takingWork(pool).map(({ name }) => name).filter((name) => versions.includes(targetVersionOf(this.#context, name)))
  }

  /** Minimum decode time of the missing tokens, from the caller's estimate of the answer length, at the declared speed until an answer has ended. */
  #minRemainingDecodeMs (deliveredTokens: number): number {
    const { opts, tokenTimes } = this.#context
    const tokenMs = tokenTimes.shortestMs(this.#model) ?? opts.configuration().model(this.#model)?.decodeStepBaseMs ?? 0
    const { maxTokens, expectedTokens = 0 } = this.#prompt
    return Math.max(0, Math.min(expectedTokens, maxTokens) - deliveredTokens) * tokenMs
  }
}
