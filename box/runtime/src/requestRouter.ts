import { type Clock, type Random } from '@reelspan/core.env'
import { ErrorCode, ReelspanError, toReelspanError, Verdict } from '@reelspan/core.error'
import { topByRendezvous } from '@reelspan/core.hashing'
import { type AnswerEvent, AnswerEventKind, type Member, MemberHealth, MessageType, type PeerLink, PeerLinkError, type RoutedRequest } from '@reelspan/core.messages'
import { type MembershipView } from '@reelspan/membership.view'
import { formatKeyPrefix, type KeyOwner, parseRequestKey } from '@reelspan/request.key'
import { type Owner } from '@reelspan/request.owner'
import { type RecordStore } from '@reelspan/request.records'

export interface RequestRouterOptions {
  clock: Clock
  random: Random
  link: PeerLink
  view: MembershipView
  owner: Owner
  records: RecordStore
}

/** Base delay before a forwarding box that lost its connection to the owner tries again; it grows with each attempt. */
const REJOIN_BACKOFF_MS = 150
const MAX_REJOIN_ATTEMPTS = 4
/** The owner ends a request at its deadline; the final event may take this long to arrive. */
const FINAL_EVENT_SLACK_MS = 500
const MAX_SUCCESSORS = 16
/**
 * How long an owner must have been known as gone before another box runs its requests.
 * Longer than the shortest pause that a process detects in itself.
 */
const MIN_GONE_BEFORE_TAKEOVER_MS = 1000

/** The box to which a request is routed. */
interface Target {
  /** Undefined if it is this box. */
  address?: string
  takeOver?: boolean
}

/** Forwards each request to the one box that may run it, and streams the answer back. */
export class RequestRouter {
  readonly #opts: RequestRouterOptions

  constructor (opts: RequestRouterOptions) {
    this.#opts = opts
  }

  /** Creates a key for a request without one. This box becomes the owner. */
  createKey (): string {
    const { clock, random, view } = this.#opts
    const { peerAddress, incarnation } = view.self
    return `${formatKeyPrefix({ peerAddress, incarnation, issuedAtMs: clock.nowMs() })}.${random.hex(16)}`
  }

  /** Runs a request, or joins it if it already runs. Always ends with a final event. */
  async * submit (request: RoutedRequest, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
    try {
      const { owner } = parseRequestKey(request.key)
      if (!owner && request.notRepeatable) throw keyRequiredError()
      const target = owner ? this.#targetOf(owner, request) : this.#defaultOwnerOf(request.key)
      if (target.address === undefined) yield * this.#runHere(request, target.takeOver ?? false, signal)
      else yield * this.#forward(request, target as Required<Target>, owner, signal)
    } catch (thrown) {
      yield finalEventOf(toReelspanError(thrown))
    }
  }

  /** Cancels a request at its owner. Best effort. */
  async cancel (key: string): Promise<void> {
    const { link, owner } = this.#opts
    const parsed = parseRequestKey(key)
    const { address } = parsed.owner ? this.#addressOf(parsed.owner) : this.#defaultOwnerOf(key)
    if (address === undefined) return owner.cancel(key)
    await link.call(address, { type: MessageType.Cancel, key }, { timeoutMs: FINAL_EVENT_SLACK_MS, repeatable: true })
  }

  #targetOf (owner: KeyOwner, request: RoutedRequest): Target {
    const { view, records } = this.#opts
    if (records.get(request.key)) return {}
    const member = view.get(owner.incarnation)
    const lost = member?.health === MemberHealth.Gone && member.successor === undefined
    // A request that must not run twice is never taken over. A repeatable one is taken over by the box that all boxes
    // agree on, after a delay: an owner that was only paused is certain to detect a pause of that length when it resumes.
    const goneForMs = lost ? view.unchangedForMs(owner.incarnation, this.#opts.clock.nowMs()) : 0
    if (lost && !request.notRepeatable && goneForMs >= MIN_GONE_BEFORE_TAKEOVER_MS) return { ...this.#defaultOwnerOf(request.key), takeOver: true }
    return this.#addressOf(owner)
  }

  /** The box that has an owner's records: the owner's process, or the successor that received them when it stopped. */
  #addressOf ({ incarnation, peerAddress }: KeyOwner): Target {
    const { view, records } = this.#opts
    if (incarnation === view.self.incarnation || records.estimateClockMs(incarnation) !== undefined) return {}
    const address = this.#followSuccessors(incarnation) ?? peerAddress
    return address === view.self.peerAddress ? {} : { address }
  }

  #followSuccessors (incarnation: string): string | undefined {
    const { view } = this.#opts
    const follow = (successor: Member['successor'], hopsLeft: number): string | undefined => {
      const next = successor && hopsLeft > 0 ? view.get(successor.incarnation)?.successor : undefined
      return next ? follow(next, hopsLeft - 1) : successor?.peerAddress
    }
    return follow(view.get(incarnation)?.successor, MAX_SUCCESSORS)
  }

  /** The owner of a key that names no owner, chosen by rendezvous hashing. */
  #defaultOwnerOf (key: string): Target {
    const { view } = this.#opts
    const defaultOwner = topByRendezvous(key, view.takingWork(), ({ incarnation }) => incarnation)
    return !defaultOwner || defaultOwner.incarnation === view.self.incarnation ? {} : { address: defaultOwner.peerAddress }
  }

  async * #runHere (request: RoutedRequest, takeOver: boolean, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
    const record = this.#opts.owner.submit(request, { takeOver })
    yield * record.read(0, signal)
  }

  /** Streams the answer from the owner; after a lost connection it rejoins from the next event. */
  async * #forward (request: RoutedRequest, target: Required<Target>, owner: KeyOwner | undefined, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
    const { clock } = this.#opts
    const startedAtMs = clock.nowMs()
    let relayed = 0
    for (let attempt = 1; ; attempt++) {
      try {
        for await (const event of this.#relay(request, target, relayed, owner, startedAtMs, signal)) {
          relayed++
          yield event
          if (event.kind === AnswerEventKind.Final) return
        }
        throw new PeerLinkError('the owner closed the answer stream before the final event', { mayHaveArrived: true })
      } catch (thrown) {
        if (!(thrown instanceof PeerLinkError)) throw thrown
        if (attempt >= MAX_REJOIN_ATTEMPTS || signal.aborted || this.#isLost(owner)) throw this.#unreachableError(owner)
        await clock.sleep(REJOIN_BACKOFF_MS * attempt, { signal })
      }
    }
  }

  async * #relay (request: RoutedRequest, target: Required<Target>, fromEvent: number, owner: KeyOwner | undefined, startedAtMs: number, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
    const { clock, link } = this.#opts
    const leftMs = Math.max(1, request.deadlineMs - (clock.nowMs() - startedAtMs))
    const lost = this.#abortWhenLost(owner)
    const message = { type: MessageType.Submit, request: { ...request, deadlineMs: leftMs }, fromEvent, takeOver: target.takeOver } as const
    try {
      const opts = { timeoutMs: leftMs + FINAL_EVENT_SLACK_MS, signal: AbortSignal.any([signal, lost.signal]) }
      for await (const part of link.stream(target.address, message, opts)) {
        if (part.type === MessageType.Answer) yield part.event
      }
    } finally {
      lost.stop()
    }
  }

  #isLost (owner: KeyOwner | undefined): boolean {
    const member = owner && this.#opts.view.get(owner.incarnation)
    return member?.health === MemberHealth.Gone && member.successor === undefined
  }

  /** Aborts the wait for an owner as soon as it is known to be gone. */
  #abortWhenLost (owner: KeyOwner | undefined): { signal: AbortSignal, stop: () => void } {
    const lost = new AbortController()
    const stopWatching = this.#opts.view.onChange(() => {
      if (this.#isLost(owner)) lost.abort()
    })
    return { signal: lost.signal, stop: stopWatching }
  }

  #unreachableError (owner: KeyOwner | undefined): ReelspanError {
    return this.#isLost(owner)
      ? new ReelspanError(ErrorCode.OwnerGone, 'the process that the key names is gone and its records are lost', { verdict: Verdict.MayHaveRun })
      : new ReelspanError(ErrorCode.OwnerUnreachable, 'the box that runs the request cannot be reached', {
        verdict: Verdict.MayHaveRun,
        hint: 'Send the same request with the same key again, through any box.',
      })
  }
}

function keyRequiredError (): ReelspanError {
  return new ReelspanError(ErrorCode.KeyRequired, 'a request that may not be repeated needs a key from a lookup', {
    hint: 'Ask GET /v1/lookup and send «Idempotency-Key: keyPrefix.your-own-part».',
    retryAfterMs: 0,
  })
}

/** The final event of a request that failed before it was forwarded or run. */
function finalEventOf (error: ReelspanError): AnswerEvent {
  return {
    kind: AnswerEventKind.Final,
    verdict: error.verdict,
    code: error.code,
    message: error.hint ? `${error.message}. ${error.hint}` : error.message,
    retryAfterMs: error.retryAfterMs,
    eventCount: 0,
  }
}
