import { type Random } from '@reelspan/core.env'
import { ErrorCode, ReelspanError, toReelspanError, Verdict } from '@reelspan/core.error'
import { type DelegatedEvent, DelegatedEventKind, type DelegatedRequest, type DelegationTerms, type FinalAnswer, type Member, MessageType, type PeerLink } from '@reelspan/core.messages'
import { type Metrics } from '@reelspan/telemetry.metrics'
import { WINDOW_BYTES } from './delegatedCaller.js'

export interface DelegatorOptions {
  random: Random
  link: PeerLink
  metrics: Metrics
  /** Name, incarnation and availability zone of this box. */
  self: () => Pick<Member, 'name' | 'incarnation' | 'availabilityZone'>
  /** Whether this box has lost its network paths to the upstreams. */
  isNeeded: () => boolean
  /** Other members that have paths to the upstreams and run requests for others. */
  delegates: () => readonly Member[]
}

/** A request to be run at another box. */
export interface DelegateRequest {
  request: DelegatedRequest
  terms: Omit<DelegationTerms, 'runId' | 'box'>
  signal: AbortSignal
  /** Whether another delegate could run the request once more if the present one falls silent. By default one could. */
  mayRunElsewhere?: () => boolean
  /** Called with each delegate that is asked. */
  onAsked: (delegate: Member) => void
}

/** Receives the answer of a delegated request. */
export interface DelegatedAnswer {
  /** Called with the upstream that may run the request from then on, and its software version if the delegate tells it. May throw. */
  onSent: (upstream: string, softwareVersion?: string) => void
  onHead: (status: number, headers: readonly string[]) => void
  /** Resolves when the caller can take more. */
  onData: (bytes: Uint8Array) => Promise<void>
}

/** Delegates that are asked for one request before it is refused. */
const MAX_DELEGATES = 3
/** Candidates among which the least loaded one is chosen. */
const SAMPLED_DELEGATES = 8
/** Factor on the load of a delegate in another availability zone. */
const REMOTE_ZONE_FACTOR = 1.25
const DEFAULT_ROOM = 1
/** Paths are checked again several times a second. */
const NO_PATHS_RETRY_AFTER_MS = 1000
const READ_TIMEOUT_MS = 1000
/** A delegate ends the request so much earlier, so that its verdict arrives before the deadline. */
const DEADLINE_MARGIN_MS = 20
/** Another delegate may serve a request that was refused for these reasons and has not run. */
const DELEGATE_DEPENDENT_CODES: readonly (ErrorCode | undefined)[] = [ErrorCode.Draining, ErrorCode.NotReady, ErrorCode.NoRoute, ErrorCode.NoUpstream, ErrorCode.UpstreamFailed]

/** Has requests run by other boxes while this one cannot reach any upstream. */
export class Delegator {
  readonly #opts: DelegatorOptions
  /** Requests that each delegate runs for this box, by incarnation. */
  readonly #inFlight = new Map<string, number>()
  #sequence = 0

  constructor (opts: DelegatorOptions) {
    this.#opts = opts
  }

  get isNeeded (): boolean {
    return this.#opts.isNeeded()
  }

  /** Requests that other boxes run for this one. */
  get inFlight (): number {
    return [...this.#inFlight.values()].reduce((sum, count) => sum + count, 0)
  }

  /**
   * Has a request run by another box and passes on its answer. Asks further boxes as long as the request is known not to
   * have run. Throws `ReelspanError` with the verdict if the answer is not complete.
   */
  async run (delegated: DelegateRequest, answer: DelegatedAnswer): Promise<void> {
    const asked = new Set<string>()
    for (;;) {
      const delegate = this.#pick(asked)
      if (!delegate) throw new ReelspanError(ErrorCode.NoUpstream, 'no box that this one knows reaches an upstream', { verdict: Verdict.NotRun, retryAfterMs: NO_PATHS_RETRY_AFTER_MS })
      asked.add(delegate.incarnation)
      delegated.onAsked(delegate)
      try {
        await this.#runAt(delegate, delegated, answer)
        this.#opts.metrics.count('reelspan_delegated_total', { outcome: 'finished' })
        return
      } catch (thrown) {
        const error = toReelspanError(thrown)
        const mayAskAnother = error.verdict === Verdict.NotRun && !(error instanceof RefusedByRelay && !error.dependsOnDelegate) && asked.size < MAX_DELEGATES
        this.#opts.metrics.count('reelspan_delegated_total', { outcome: mayAskAnother ? 'askedAnother' : error.verdict })
        if (!mayAskAnother || delegated.signal.aborted) throw error
      }
    }
  }

  /** The least loaded one of some candidates. */
  #pick (asked: ReadonlySet<string>): Member | undefined {
    const { random, self, delegates } = this.#opts
    const { availabilityZone: ownZone } = self()
    const loadOf = ({ incarnation, availabilityZone, room = DEFAULT_ROOM }: Member) => (1 + (this.#inFlight.get(incarnation) ?? 0)) / room * (availabilityZone === ownZone ? 1 : REMOTE_ZONE_FACTOR)
    const candidates = delegates().filter(({ incarnation }) => !asked.has(incarnation))
    return random.sample(candidates, SAMPLED_DELEGATES).reduce<Member | undefined>((best, member) => best && loadOf(best) <= loadOf(member) ? best : member, undefined)
  }

  async #runAt ({ peerAddress, incarnation }: Member, { request, terms, signal, mayRunElsewhere = () => true }: DelegateRequest, answer: DelegatedAnswer): Promise<void> {
    const { link, self, delegates } = this.#opts
    const { name, incarnation: ownIncarnation } = self()
    const failIfUnresponsive = () => mayRunElsewhere() && delegates().some((other) => other.incarnation !== incarnation)
    const runId = `${ownIncarnation}.${this.#sequence++}`
    const deadlineMs = Math.max(0, terms.deadlineMs - DEADLINE_MARGIN_MS)
    this.#inFlight.set(incarnation, (this.#inFlight.get(incarnation) ?? 0) + 1)
    try {
      const messages = link.stream(peerAddress, { type: MessageType.Delegate, request, terms: { ...terms, deadlineMs, runId, box: name } }, { timeoutMs: terms.deadlineMs, signal, failIfUnresponsive })
      let readBytes = 0
      let reportedBytes = 0
      for await (const message of messages) {
        if (message.type !== MessageType.DelegatedEvent) throw new ReelspanError(ErrorCode.PeerProtocol, `unexpected message ${message.type}`, { verdict: Verdict.MayHaveRun })
        if (await handleEvent(message.event, answer)) return
        if (message.event.kind === DelegatedEventKind.Data) readBytes += message.event.bytes.byteLength
        if (readBytes - reportedBytes < WINDOW_BYTES / 2) continue
        reportedBytes = readBytes
        this.#reportRead(peerAddress, runId, readBytes)
      }
      throw new ReelspanError(ErrorCode.PeerProtocol, `${peerAddress} ended a delegated run without its end`, { verdict: Verdict.MayHaveRun })
    } finally {
      const remaining = (this.#inFlight.get(incarnation) ?? 1) - 1
      if (remaining > 0) this.#inFlight.set(incarnation, remaining)
      else this.#inFlight.delete(incarnation)
    }
  }

  #reportRead (address: string, runId: string, totalBytes: number): void {
    // The link logs a failure. The next report contains these bytes as well.
    this.#opts.link.call(address, { type: MessageType.DelegatedRead, runId, totalBytes }, { timeoutMs: READ_TIMEOUT_MS, repeatable: true }).catch(() => {})
  }
}

/** Returns whether the answer is complete. Throws if it never will be. */
async function handleEvent (event: DelegatedEvent, { onSent, onHead, onData }: DelegatedAnswer): Promise<boolean> {
  switch (event.kind) {
    case DelegatedEventKind.Sent:
      onSent(event.upstream, event.softwareVersion)
      return false
    case DelegatedEventKind.Head:
      onHead(event.status, event.headers)
      return false
    case DelegatedEventKind.Data:
      await onData(event.bytes)
      return false
    case DelegatedEventKind.Finished:
      return true
    case DelegatedEventKind.Aborted:
      throw new ReelspanError(ErrorCode.UpstreamFailed, event.reason, { verdict: Verdict.MayHaveRun })
    case DelegatedEventKind.Refused:
      throw new RefusedByRelay(event.final)
  }
}

/** A delegate has ended a request without an answer of an upstream. */
class RefusedByRelay extends ReelspanError {
  /** Whether another delegate may serve the request. */
  readonly dependsOnDelegate: boolean

  constructor ({ code = ErrorCode.Internal, message = 'the request was not answered', verdict, retryAfterMs }: FinalAnswer) {
    super(code, message, { verdict, retryAfterMs, retryFutile: verdict === Verdict.NotRun && retryAfterMs === undefined })
    this.dependsOnDelegate = DELEGATE_DEPENDENT_CODES.includes(code)
  }
}
