import { type ReelspanError, toReelspanError, Verdict } from '@reelspan/core.error'
import { LogEvent } from '@reelspan/telemetry.log'
import { UpstreamError } from '@reelspan/upstream.client'
import { AnswerEnd } from './answerEnd.js'
import { boundError } from './boundError.js'
import { EventProgress } from './eventProgress.js'
import { isEventStream } from './isEventStream.js'
import { isRepeatable } from './isRepeatable.js'
import { type AnswerTimes, recordPartTime } from './passAnswer.js'
import { listedVersion } from './listedVersion.js'
import { type RelayContext } from './relayContext.js'
import { type StreamVersion } from './streamVersion.js'
import { withinBudget } from './withinBudget.js'

export interface DelegatedRelayOptions {
  /** Upstreams to which this box has sent the request. */
  attemptsUsed: number
  /** The events of a stream that were passed on already. */
  progress?: EventProgress
  /** The software version that goes on with a stream of a model. */
  version?: StreamVersion
  /** Ends the relay before the run ends. */
  signal?: AbortSignal
  /** Called when a delegate has sent the request to an upstream. Throws if another attempt has. */
  onSent?: (upstream: string) => void
  /** Called before a part of the answer is passed on. Throws if another attempt has gone on with the answer. */
  claim?: () => void
  /** Whether another attempt may still answer the request. */
  hasOther?: () => boolean
}

const OK = 200
const FIRST_SERVER_ERROR = 500

/** Has a request run by another box, since this one cannot reach any upstream, and passes its answer on. */
export class DelegatedRelay {
  readonly #context: RelayContext
  readonly #progress: EventProgress
  readonly #version?: StreamVersion
  readonly #signal: AbortSignal
  readonly #onSent: (upstream: string) => void
  readonly #claim: () => void
  readonly #hasOther: () => boolean
  /** Software version of the upstream that runs the request; undefined if neither the delegate nor this box's list tells it. */
  #upstreamVersion?: string
  #attemptsUsed: number
  /** Whether the present answer is a success without a complete event yet. */
  #isFirst = false
  /** The end of the present delegate's answer. */
  #answerEnd?: AnswerEnd
  #isEventStream = false
  /** Bytes received of the present delegate's answer. */
  #readBytes = 0

  constructor (context: RelayContext, { attemptsUsed, progress = new EventProgress(), version, signal = context.run.signal, onSent = () => {}, claim = () => {}, hasOther = () => false }: DelegatedRelayOptions) {
    this.#context = context
    this.#signal = signal
    this.#onSent = onSent
    this.#claim = claim
    this.#hasOther = hasOther
    this.#version = version
    this.#attemptsUsed = attemptsUsed
    this.#progress = progress
  }

  async execute (times: AnswerTimes): Promise<void> {
    const { run, logDecision } = this.#context
    for (;;) {
      await run.checkBeforeSend()
      const usedBefore = this.#attemptsUsed
      try {
        await this.#executeOnce(times)
        return
      } catch (thrown) {
        run.throwIfEnded()
        if (this.#signal.aborted) throw thrown
        this.#progress.flush()
        this.#context.caller.buffer?.hold(0)
        const error = toReelspanError(thrown)
        // A delegate that fell silent may have sent the request without being able to say so.
        if (error.verdict === Verdict.MayHaveRun) this.#attemptsUsed = Math.max(this.#attemptsUsed, usedBefore + 1)
        if (!this.#mayRetry(error)) throw error
        logDecision(LogEvent.RequestRetried, { reason: error.message, mayHaveRun: run.mayHaveRun })
      }
    }
  }

  #mayRetry ({ verdict }: ReelspanError): boolean {
    return verdict !== Verdict.NotRun && this.#mayRunAgain(this.#attemptsUsed) && this.#context.budget.tryAcquireRetry()
  }

  /** Whether another delegate may run a request that may have run, apart from the retry budget. */
  #mayRunAgain (attemptsUsed: number): boolean {
    const { route: { spec }, caller } = this.#context
    if (!isRepeatable(spec) || attemptsUsed >= spec.maxAttempts) return false
    return !caller.begun || (this.#version?.fixed !== undefined && spec.streaming === true && !this.#progress.oversized && this.#progress.lastId !== undefined)
  }

  /** The request counts as possibly run from the start, and as not run only on the delegate's word. */
  async #executeOnce (times: AnswerTimes): Promise<void> {
    const { opts, delegator, run, request, urgency, caller, route, budget, logDecision } = this.#context
    const usedBefore = this.#attemptsUsed
    const { id, method, host, target, headers, body, prompt, callerAddress, account } = request
    const resumeAfter = this.#progress.lastId ?? request.resumeAfter
    this.#version?.checkServed()
    const delegated = { id, method, host, target, headers: [...headers], body, prompt: prompt && { ...prompt, prefixes: [...prompt.prefixes] }, resumeAfter, softwareVersion: this.#version?.fixed, callerAddress, account }
    const terms = { deadlineMs: run.remainingMs, elapsedMs: run.elapsedMs, urgency, attemptsUsed: this.#attemptsUsed, revision: opts.configuration().revision }
    await run.dispatch(() => delegator.run({
      request: delegated,
      terms,
      signal: this.#signal,
      mayRunElsewhere: () => budget.left >= 1 && this.#mayRunAgain(Math.max(this.#attemptsUsed, usedBefore + 1)),
      onAsked: ({ name }) => logDecision(LogEvent.RequestDelegated, { delegate: name, attemptsUsed: this.#attemptsUsed, atMs: Math.round(run.elapsedMs) }),
    }, {
      onSent: (upstream, softwareVersion) => this.#recordSent(upstream, softwareVersion),
      onHead: (status, answerHeaders) => this.#passHead(status, answerHeaders, times),
      onData: (bytes) => this.#passData(bytes, times),
    }))
    run.throwIfEnded()
    this.#claim()
    this.#answerEnd?.check()
    const rest = this.#progress.flush()
    caller.buffer?.hold(0)
    if (route.spec.streaming) times.restBytes = rest.byteLength
    if (route.spec.resumable && rest.byteLength > 0) await caller.write(rest)
    if (route.spec.streaming) times.parts = this.#progress.events
    caller.finish()
    run.finish()
  }

  /** A delegate of an earlier build does not know which software version began the stream. */
  #recordSent (upstream: string, softwareVersion = listedVersion(this.#context.opts, upstream)): void {
    this.#onSent(upstream)
    this.#attemptsUsed++
    this.#upstreamVersion = softwareVersion
    const fixed = this.#version?.fixed
    if (fixed !== undefined && softwareVersion !== fixed) throw new UpstreamError(`${upstream} is not of the software version «${fixed}» that began the stream`, { mayHaveRun: true })
  }

  /** An answer that continues an interrupted one keeps the head of the first. A failure response is passed on only if no other attempt may answer. */
  #passHead (status: number, headers: readonly string[], times: AnswerTimes): void {
    const { caller, opts: { metrics } } = this.#context
    this.#answerEnd = new AnswerEnd({ status, headers }, { sender: 'the delegate', metrics })
    if (caller.begun && status !== OK) throw new UpstreamError(`the continued answer has status ${status}`, { mayHaveRun: true, failed: true })
    if (!caller.begun && status >= FIRST_SERVER_ERROR && this.#hasOther()) throw new UpstreamError(`the delegate's answer has status ${status}`, { mayHaveRun: true, failed: true })
    if (!caller.begun) {
      this.#claim()
      caller.begin(status, headers)
    }
    this.#isFirst = status === OK
    this.#isEventStream = isEventStream({ status, headers })
    this.#readBytes = 0
    times.status = status
  }

  /** Of a stream that another delegate could continue, only complete events are passed on. */
  async #passData (bytes: Uint8Array, times: AnswerTimes): Promise<void> {
    const { run, caller, route: { spec } } = this.#context
    this.#answerEnd?.push(bytes)
    this.#readBytes += bytes.byteLength
    const complete = spec.streaming ? withinBudget(caller, this.#progress, this.#pushEvents(bytes), { isEventStream: this.#isEventStream, isAlone: () => !this.#hasOther() }) : bytes
    const passed = spec.resumable ? complete : bytes
    if (complete.byteLength > 0) {
      this.#claim()
      recordPartTime(times, run.elapsedMs)
      if (this.#upstreamVersion !== undefined && this.#isFirst) this.#version?.begin(this.#upstreamVersion)
      this.#isFirst = false
    }
    times.parts++
    if (passed.byteLength > 0) await caller.write(passed)
  }

  #pushEvents (bytes: Uint8Array): Uint8Array {
    try {
      return this.#progress.push(bytes, { bounded: this.#isEventStream })
    } catch (thrown) {
      throw boundError(this.#context, 'the delegate', this.#readBytes, thrown)
    }
  }
}
