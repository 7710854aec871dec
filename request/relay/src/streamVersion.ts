import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { LogEvent } from '@reelspan/telemetry.log'
import { listedVersion } from './listedVersion.js'
import { type RelayContext } from './relayContext.js'

/** Added to the time for which a route holds a request, after which its client no longer takes the stream up. */
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
    const { opts, run, request, callerDeadlineMs, logDecision } = this.#context
    this.#fixed = request.softwareVersion
    if (this.#fixed !== undefined || request.resumeAfter === undefined) return
    const found = await opts.origins.find({ attempt: request.resumesAttempt, model: this.#model, keepMs: this.#keepMs }, run.signal)
    run.throwIfEnded()
    logDecision(LogEvent.StreamTakenUp, { resumesAttempt: request.resumesAttempt, resumeAfter: request.resumeAfter, callerDeadlineMs, keepMs: this.#keepMs, ...found })
    if (!('version' in found)) throw new ReelspanError(ErrorCode.StreamOriginUnknown, found.reason, { retryAfterMs: found.retryAfterMs, retryFutile: found.retryAfterMs === undefined })
    this.#fixed = found.version
  }

  /** Called before a complete event of an upstream is passed on: its version goes on with the stream from then on. */
  begin (version: string): void {
    const { opts, request, route } = this.#context
    this.#fixed ??= version
    if (!route.spec.resumable) return
    const attempts = [request.id, ...request.resumesAttempt === undefined ? [] : [request.resumesAttempt]]
    attempts.forEach((attempt) => opts.origins.record({ attempt, model: this.#model, version, keepMs: this.#keepMs }))
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

  get #keepMs (): number {
    return this.#context.route.spec.deadlineMs + KEEP_MARGIN_MS
  }
}
