import { type Member, MemberHealth, type MessageOf, type MessageType, RevisionNumbering } from '@reelspan/core.messages'
import { UpdateQueue } from './updateQueue.js'
import { type ProberOptions } from './prober.js'
import { type Revisions } from './revisionAnnouncer.js'

export interface HeartbeatContentListeners {
  onReported: (incarnation: string, revisions: Revisions) => void
  onGone: (incarnation: string) => void
}

/** Composes and reads the content of heartbeats and their answers: the sender's own state and updates about other members. */
export class HeartbeatContent {
  readonly #opts: ProberOptions
  readonly #listeners: HeartbeatContentListeners
  readonly #updates: UpdateQueue
  readonly #peerLoad = new Map<string, number>()
  #mergingPulled = false

  constructor (opts: ProberOptions, listeners: HeartbeatContentListeners) {
    this.#opts = opts
    this.#listeners = listeners
    this.#updates = new UpdateQueue(opts.watchCount)
    opts.view.onChange((member) => this.#queueUpdate(member))
  }

  /** Requests in flight at a member, as it last reported. */
  loadOf (incarnation: string): number | undefined {
    return this.#peerLoad.get(incarnation)
  }

  /** Resolves when an update is queued or the signal is aborted. */
  async waitForUpdates (signal: AbortSignal): Promise<void> {
    await this.#updates.wait(signal)
  }

  /** Merges members that were pulled because views differed. */
  mergePulled (members: readonly Member[]): void {
    const { clock, view } = this.#opts
    this.#mergingPulled = true
    members.forEach((member) => view.merge(member, clock.nowMs()))
    this.#mergingPulled = false
  }

  /** Processes a peer's heartbeat or its answer to one. */
  receive (message: MessageOf<MessageType.Heartbeat> | MessageOf<MessageType.HeartbeatAck>): void {
    const { clock, view, onPeerUpdateDigests, onPlatformAvailability } = this.#opts
    const { platformSilentMs: silentMs, platformAnsweredMs: answeredMs = silentMs, platformAnsweringMs: answeringMs = answeredMs } = message
    if (silentMs !== undefined && answeredMs !== undefined && answeringMs !== undefined) onPlatformAvailability({ silentMs, answeredMs, answeringMs })
    const nowMs = clock.nowMs()
    this.#peerLoad.set(message.self.incarnation, message.inFlight)
    const members = [message.self, ...message.news]
    members.forEach((member) => view.merge(member, nowMs))
    if (message.numbering !== undefined) this.#receiveRevisions(message.self, message.revisions)
    onPeerUpdateDigests?.(message.self.peerAddress, message)
  }

  #receiveRevisions ({ incarnation, peerAddress }: Member, revisions: Revisions): void {
    this.#listeners.onReported(incarnation, revisions)
    this.#opts.onPeerRevisions(peerAddress, revisions)
  }

  /** Composes this box's state and updates. A receiver that is suspect or gone here gets its own entry, so that it can refute it or take a new incarnation. */
  compose (receiver?: Member, received: readonly Member[] = []) {
    const { view, revisions, inFlight, platformAvailability, updateDigests } = this.#opts
    const availability = platformAvailability()
    const known = receiver && view.get(receiver.incarnation)
    const suspicion = known && known.health !== MemberHealth.Alive ? [known] : []
    return { self: view.self, news: [...suspicion, ...this.#nextUpdates(received)], digest: view.digest, revisions: revisions(), numbering: RevisionNumbering.ByVersionAndEra, inFlight: inFlight(), platformSilentMs: availability?.silentMs, platformAnsweredMs: availability?.answeredMs, platformAnsweringMs: availability?.answeringMs, ...updateDigests?.() }
  }

  /** @param received members that the receiver has just sent; those whose state is newer here are still included */
  #nextUpdates (received: readonly Member[]): Member[] {
    const known = received.filter((member) => isSameUpdate(member, this.#opts.view.get(member.incarnation)))
    return this.#updates.nextBatch(new Set(known.map(({ incarnation }) => incarnation))).flatMap((incarnation) => this.#opts.view.get(incarnation) ?? [])
  }

  #queueUpdate (member: Member): void {
    // Pulled members are already known to other boxes, which compare their views as well.
    if (this.#mergingPulled) return
    if (member.health === MemberHealth.Gone) this.#recordGone(member.incarnation)
    this.#updates.put(member.incarnation)
  }

  #recordGone (incarnation: string): void {
    this.#peerLoad.delete(incarnation)
    this.#listeners.onGone(incarnation)
  }
}

function isSameUpdate (received: Member, here?: Member): boolean {
  return here !== undefined && received.version === here.version && received.health === here.health && received.leaving === here.leaving
}
