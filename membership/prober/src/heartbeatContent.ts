import { type Member, MemberHealth, type MessageOf, type MessageType, RevisionNumbering } from '@reelspan/core.messages'
import { NewsQueue } from './newsQueue.js'
import { type ProberOptions } from './prober.js'
import { type Revisions } from './revisionAnnouncer.js'

export interface HeartbeatContentListeners {
  onReported: (incarnation: string, revisions: Revisions) => void
  onGone: (incarnation: string) => void
}

/** What heartbeats and their answers carry: the sender's own state, and news of other members. */
export class HeartbeatContent {
  readonly #opts: ProberOptions
  readonly #listeners: HeartbeatContentListeners
  readonly #news: NewsQueue
  readonly #peerLoad = new Map<string, number>()
  #comparing = false

  constructor (opts: ProberOptions, listeners: HeartbeatContentListeners) {
    this.#opts = opts
    this.#listeners = listeners
    this.#news = new NewsQueue(opts.watchCount)
    opts.view.onChange((member) => this.#queueNews(member))
  }

  /** Requests in flight at a member, as it last said. */
  loadOf (incarnation: string): number | undefined {
    return this.#peerLoad.get(incarnation)
  }

  /** Resolves once there is news, or the signal is aborted. */
  async waitForNews (signal: AbortSignal): Promise<void> {
    await this.#news.wait(signal)
  }

  /** Takes in members that a comparison of views brought. */
  mergeCompared (members: readonly Member[]): void {
    const { clock, view } = this.#opts
    this.#comparing = true
    members.forEach((member) => view.merge(member, clock.nowMs()))
    this.#comparing = false
  }

  /** Takes in what a peer's heartbeat, or its answer to one, says. */
  take (message: MessageOf<MessageType.Heartbeat> | MessageOf<MessageType.HeartbeatAck>): void {
    const { clock, view, onPeerNewsDigests, onPlatformAnswering } = this.#opts
    const { platformSilentMs: silentMs, platformAnsweredMs: answeredMs = silentMs, platformAnsweringMs: answeringMs = answeredMs } = message
    if (silentMs !== undefined && answeredMs !== undefined && answeringMs !== undefined) onPlatformAnswering({ silentMs, answeredMs, answeringMs })
    const nowMs = clock.nowMs()
    this.#peerLoad.set(message.self.incarnation, message.inFlight)
    const tellers = [message.self, ...message.news]
    tellers.forEach((member) => view.merge(member, nowMs))
    if (message.numbering !== undefined) this.#takeRevisions(message.self, message.revisions)
    onPeerNewsDigests?.(message.self.peerAddress, message)
  }

  #takeRevisions ({ incarnation, peerAddress }: Member, revisions: Revisions): void {
    this.#listeners.onReported(incarnation, revisions)
    this.#opts.onPeerRevisions(peerAddress, revisions)
  }

  /** This box's own state, and news. Whoever is believed to be suspect or gone is told so at once, so that it can refute it, or draw the consequence. */
  own (receiver?: Member, told: readonly Member[] = []) {
    const { view, revisions, inFlight, platformAnswering, newsDigests } = this.#opts
    const answering = platformAnswering()
    const belief = receiver && view.get(receiver.incarnation)
    const doubts = belief && belief.health !== MemberHealth.Alive ? [belief] : []
    return { self: view.self, news: [...doubts, ...this.#drawNews(told)], digest: view.digest, revisions: revisions(), numbering: RevisionNumbering.ByVersionAndEra, inFlight: inFlight(), platformSilentMs: answering?.silentMs, platformAnsweredMs: answering?.answeredMs, platformAnsweringMs: answering?.answeringMs, ...newsDigests?.() }
  }

  /** @param told what the receiver has just told, of which later news is still news */
  #drawNews (told: readonly Member[]): Member[] {
    const known = told.filter((member) => isSameNews(member, this.#opts.view.get(member.incarnation)))
    return this.#news.draw(new Set(known.map(({ incarnation }) => incarnation))).flatMap((incarnation) => this.#opts.view.get(incarnation) ?? [])
  }

  #queueNews (member: Member): void {
    // What a comparison brings is known to others already, and they compare too.
    if (this.#comparing) return
    if (member.health === MemberHealth.Gone) this.#noteGone(member.incarnation)
    this.#news.put(member.incarnation)
  }

  #noteGone (incarnation: string): void {
    this.#peerLoad.delete(incarnation)
    this.#listeners.onGone(incarnation)
  }
}

function isSameNews (told: Member, here?: Member): boolean {
  return here !== undefined && told.version === here.version && told.health === here.health && told.leaving === here.leaving
}
