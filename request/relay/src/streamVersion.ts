import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { LogEvent } from '@reelspan/telemetry.log'
import { type CachedPart, type RelayedRequest } from '@reelspan/upstream.client'
import { listedVersion } from './listedVersion.js'
import { type RelayContext } from './relayContext.js'
import { routedPathOf } from './routedPathOf.js'

/** Added to the deadline of a client, after which it no longer takes its stream up. */
const KEEP_MARGIN_MS = 1000

/** The software version that goes on with a request's stream: any until its caller has an event, then only that of the event. */
export class StreamVersion {
  readonly #context: RelayContext
  readonly #model: string
  #fixed?: string

  constructor (context: RelayContext, model: string) {
    this.#context = context
    this.#model = model
  }

  /** The version that must go on with the stream; undefined if any may. */
  get fixed (): string | undefined {
    return this.#fixed
  }

  /** Finds out which version began a stream that the client takes up. Throws `ERR_REELSPAN_STREAM_ORIGIN_UNKNOWN` if nobody knows. */
  async find (): Promise<void> {
    const { opts, run, request, identity, route, callerDeadlineMs, logDecision } = this.#context
    if (route.spec.resumable && callerDeadlineMs !== undefined && request.resumeAfter === undefined) opts.origins.deadlines.observe(this.#model, callerDeadlineMs)
    this.#fixed = request.softwareVersion
    if (this.#fixed !== undefined || request.resumeAfter === undefined) return
    const found = await opts.origins.find({
      attempt: request.resumesAttempt,
      content: identity().content,
      model: this.#model,
      routed: routedPathOf(request),
      ownPart: ownPartOf(request),
      mayBeOfOtherModel: (route.spec.targets?.length ?? 0) > 1,
      keepMs: this.#longestKeepMs,
      remainingMs: this.#callerRemainingMs,
    }, run.signal)
    run.throwIfEnded()
    const { testimony, ...logged } = { testimony: undefined, ...found }
    const { versions: ranAt, witnesses, unanswered, asked: enginesAsked } = testimony ?? {}
    logDecision(LogEvent.StreamTakenUp, { resumesAttempt: request.resumesAttempt, resumeAfter: request.resumeAfter, callerDeadlineMs, keepMs: this.#longestKeepMs, ...logged, ranAt, witnesses, unanswered, enginesAsked })
    if (!('version' in found)) throw new ReelspanError(ErrorCode.StreamOriginUnknown, found.reason, { retryAfterMs: found.retryAfterMs, retryFutile: found.retryAfterMs === undefined })
    this.#fixed = found.version
  }

  /** Called before a complete event of an upstream is passed on: its version goes on with the stream from then on. */
  begin (version: string): void {
    const { opts, request, identity, route } = this.#context
    this.#fixed ??= version
    if (!route.spec.resumable) return
    const keepMs = this.#callerRemainingMs === undefined ? this.#longestKeepMs : Math.max(0, this.#callerRemainingMs) + KEEP_MARGIN_MS
    const began = { model: this.#model, version, keepMs }
    opts.origins.record({ ...began, attempt: request.id, content: identity().content })
    if (request.resumesAttempt !== undefined) opts.origins.record({ ...began, attempt: request.resumesAttempt })
  }

  /** Whether an upstream, by name, may go on with the stream. */
  allows (upstream: string): boolean {
    return this.#fixed === undefined || listedVersion(this.#context.opts, upstream) === this.#fixed
  }

  /** Throws `ERR_REELSPAN_STREAM_VERSION_GONE` if no decode engine that takes work may go on with the stream. Room comes back, a version does not. */
  checkServed (): void {
    const { fleet, configuration } = this.#context.opts
    const pool = configuration().model(this.#model)?.decodePool
    if (this.#fixed === undefined || pool === undefined || fleet().takingWork(pool).some(({ name }) => this.allows(name))) return
    throw new ReelspanError(ErrorCode.StreamVersionGone, `the stream goes on at software version «${this.#fixed}» only, and no engine of it takes work`, { retryFutile: true })
  }

  /** How much longer the caller waits, if it said so. The route may end the request before. */
  get #callerRemainingMs (): number | undefined {
    const { run, callerDeadlineMs } = this.#context
    return callerDeadlineMs === undefined ? undefined : callerDeadlineMs - run.elapsedMs
  }

  /** The longest time for which callers of the model wait. */
  get #longestKeepMs (): number {
    const { opts, route } = this.#context
    return Math.max(route.spec.deadlineMs, opts.origins.deadlines.longestMs(this.#model)) + KEEP_MARGIN_MS
  }
}

/** The last part of a prompt, without those before it. */
function ownPartOf ({ prompt }: RelayedRequest): CachedPart | undefined {
  const [last, before] = prompt?.prefixes.slice(-2).reverse() ?? []
  return last && { digest: last.digest, tokens: last.tokens - (before?.tokens ?? 0) }
}
