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

/** An owner that a cut-off forwarder cannot reach is tried again after this. */
const REJOIN_BACKOFF_MS = 150
const REJOIN_TRIES = 4
/** The owner ends a request at its deadline; its word of that may take this long. */
const FINAL_ANSWER_SLACK_MS = 500
const MAX_SUCCESSORS = 16
/** An owner must have been known as gone for this long before another box runs its requests. Longer than the pause that it notices. */
const TAKE_OVER_AFTER_MS = 1000

/** Where a request goes from here. */
interface Target {
  /** Undefined when this box is the one. */
  address?: string
  takeOver?: boolean
}

/** Brings each request to the one box that may run it, and its answer back. */
export class RequestRouter {
  readonly #opts: RequestRouterOptions

  constructor (opts: RequestRouterOptions) {
    this.#opts = opts
  }

  /** A key for a request that came without one: this box owns it. */
  createKey (): string {
    const { clock, random, view } = this.#opts
    const { peerAddress, incarnation } = view.self
    return `${formatKeyPrefix({ peerAddress, incarnation, issuedAtMs: clock.nowMs() })}.${random.hex(16)}`
  }

  /** Runs or joins a request. Always ends with a final event. */
  async * submit (request: RoutedRequest, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
    try {
      const { owner } = parseRequestKey(request.key)
      if (!owner && request.notRepeatable) throw keyRequired()
      const target = owner ? this.#targetOf(owner, request) : this.#homeOf(request.key)
      if (target.address === undefined) yield * this.#runHere(request, target.takeOver ?? false, signal)
      else yield * this.#forward(request, target as Required<Target>, owner, signal)
    } catch (thrown) {
      yield finalOf(toReelspanError(thrown))
    }
  }

  /** Cancels a request, wherever it runs. Best effort. */
  async cancel (key: string): Promise<void> {
    const { link, owner } = this.#opts
    const parsed = parseRequestKey(key)
    const { address } = parsed.owner ? this.#addressOf(parsed.owner) : this.#homeOf(key)
    if (address === undefined) return owner.cancel(key)
    await link.call(address, { type: MessageType.Cancel, key }, { timeoutMs: FINAL_ANSWER_SLACK_MS, repeatable: true })
  }

  #targetOf (owner: KeyOwner, request: RoutedRequest): Target {
    const { view, records } = this.#opts
    if (records.get(request.key)) return {}
    const member = view.get(owner.incarnation)
    const lost = member?.health === MemberHealth.Gone && member.successor === undefined
    // Nobody else may run what must not run twice; what may be repeated is run by the box that all would choose,
    // once its owner, if it only sleeps, must notice that it did when it wakes.
    const goneMs = lost ? view.unchangedForMs(owner.incarnation, this.#opts.clock.nowMs()) : 0
    if (lost && !request.notRepeatable && goneMs >= TAKE_OVER_AFTER_MS) return { ...this.#homeOf(request.key), takeOver: true }
    return this.#addressOf(owner)
  }

  /** The box that has an owner's records: the owner's process, or whoever took them over when it stopped. */
  #addressOf ({ incarnation, peerAddress }: KeyOwner): Target {
    const { view, records } = this.#opts
    if (incarnation === view.self.incarnation || records.clockOf(incarnation) !== undefined) return {}
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

  /** The box that owns a key which names none. */
  #homeOf (key: string): Target {
    const { view } = this.#opts
    const home = topByRendezvous(key, view.takingWork(), ({ incarnation }) => incarnation)
    return !home || home.incarnation === view.self.incarnation ? {} : { address: home.peerAddress }
  }

  async * #runHere (request: RoutedRequest, takeOver: boolean, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
    const record = this.#opts.owner.submit(request, { takeOver })
    yield * record.read(0, signal)
  }

  /** Relays the answer from the box that runs the request; after a break it joins again where it left off. */
  async * #forward (request: RoutedRequest, target: Required<Target>, owner: KeyOwner | undefined, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
    const { clock } = this.#opts
    const startedAtMs = clock.nowMs()
    let relayed = 0
    for (let tries = 1; ; tries++) {
      try {
        for await (const event of this.#relay(request, target, relayed, owner, startedAtMs, signal)) {
          relayed++
          yield event
          if (event.kind === AnswerEventKind.Final) return
        }
        throw new PeerLinkError('the owner ended the answer before its end', { mayHaveArrived: true })
      } catch (thrown) {
        if (!(thrown instanceof PeerLinkError)) throw thrown
        if (tries >= REJOIN_TRIES || signal.aborted || this.#isLost(owner)) throw this.#unreachable(owner)
        await clock.sleep(REJOIN_BACKOFF_MS * tries, { signal })
      }
    }
  }

  async * #relay (request: RoutedRequest, target: Required<Target>, fromEvent: number, owner: KeyOwner | undefined, startedAtMs: number, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
    const { clock, link } = this.#opts
    const leftMs = Math.max(1, request.deadlineMs - (clock.nowMs() - startedAtMs))
    const lost = this.#abortWhenLost(owner)
    const message = { type: MessageType.Submit, request: { ...request, deadlineMs: leftMs }, fromEvent, takeOver: target.takeOver } as const
    try {
      const opts = { timeoutMs: leftMs + FINAL_ANSWER_SLACK_MS, signal: AbortSignal.any([signal, lost.signal]) }
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

  /** Waiting for an owner that is known to be gone helps nobody. */
  #abortWhenLost (owner: KeyOwner | undefined): { signal: AbortSignal, stop: () => void } {
    const lost = new AbortController()
    const stopWatching = this.#opts.view.onChange(() => {
      if (this.#isLost(owner)) lost.abort()
    })
    return { signal: lost.signal, stop: stopWatching }
  }

  #unreachable (owner: KeyOwner | undefined): ReelspanError {
    return this.#isLost(owner)
      ? new ReelspanError(ErrorCode.OwnerGone, 'the process that the key names is gone, and its records with it', { verdict: Verdict.MayHaveRun })
      : new ReelspanError(ErrorCode.OwnerUnreachable, 'the box that runs the request cannot be reached', {
        verdict: Verdict.MayHaveRun,
        hint: 'Send the same request with the same key again, through any box.',
      })
  }
}

function keyRequired (): ReelspanError {
  return new ReelspanError(ErrorCode.KeyRequired, 'a request that may not be repeated needs a key from a lookup', {
    hint: 'Ask GET /v1/lookup and send «Idempotency-Key: keyPrefix.your-own-part».',
    retryAfterMs: 0,
  })
}

/** The answer of a request that ended before it began. */
function finalOf (error: ReelspanError): AnswerEvent {
  return {
    kind: AnswerEventKind.Final,
    verdict: error.verdict,
    code: error.code,
    message: error.hint ? `${error.message}. ${error.hint}` : error.message,
    retryAfterMs: error.retryAfterMs,
    eventCount: 0,
  }
}
