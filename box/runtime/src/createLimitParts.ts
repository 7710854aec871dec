import { type LimitSaying, type MessageOf, MessageType, type PeerMessage } from '@reelspan/core.messages'
import { EvenShareLimiter, HomeLimiter, LimitBook } from '@reelspan/membership.limits'
import { Gossip } from '@reelspan/membership.prober'
import { LimitNews, permitBucket, PermitMessages, ReturnTimes, SendPermits, StatedLimits } from '@reelspan/upstream.limits'
import { type BoxParts } from './boxParts.js'
import { sideShare, singleShare } from './limitShares.js'

/** Limits that upstreams name in their answers, to this or any other box. */
export function createStatedLimits (parts: BoxParts): StatedLimits {
  const { clock, log, fleet } = parts
  return new StatedLimits({
    clock,
    log,
    isListed: (upstream) => fleet.value.upstream(upstream) !== undefined,
    onChanged: (saying) => parts.limitGossip.tell([saying]),
  })
}

export function createLimitGossip (parts: BoxParts): Gossip<LimitSaying> {
  const { clock, link, statedLimits } = parts
  return new Gossip({
    clock,
    link,
    book: statedLimits,
    messages: new LimitNews(),
    watchedAddresses: () => parts.prober.watchedAddresses(),
    mayTell: (saying) => statedLimits.mayTell(saying),
    onTaskError: (thrown) => parts.failures.noteTask('limitGossip', thrown),
  })
}

/** The buckets of permits whose home is this box. It does not know what another home gave out before, so they begin empty. */
export function createPermitBook ({ clock, statedLimits, view }: BoxParts): LimitBook {
  return new LimitBook({ clock, planOf: (upstream) => permitBucketOf(statedLimits, upstream, sideShare(view), 0) })
}

export function createPermitLimiter (parts: BoxParts): HomeLimiter {
  const { clock, link, permitBook, random, statedLimits, view } = parts
  // Boxes that lose a home at the same moment begin at different points of the way to their first permit.
  const alone = new EvenShareLimiter({ clock, planOf: (upstream) => permitBucketOf(statedLimits, upstream, singleShare(view), random.nextFloat()) })
  const limiter = new HomeLimiter({
    clock,
    link,
    messages: new PermitMessages((upstream) => statedLimits.sayingOf(upstream)),
    book: permitBook,
    alone,
    onHomeAnswered: (upstream) => alone.forget(upstream),
    members: () => view.takingWork(),
    self: () => view.self,
  })
  view.onChange(() => permitBook.retain((upstream) => limiter.isHome(upstream)))
  return limiter
}

export function createPermits ({ clock, metrics, permitLimiter, statedLimits }: BoxParts): SendPermits {
  return new SendPermits({ clock, limits: statedLimits, limiter: permitLimiter, metrics })
}

export function createReturnTimes ({ clock, view }: BoxParts): ReturnTimes {
  return new ReturnTimes({ clock, boxCount: () => view.takingWork().length })
}

/** Answers a box that asks for permits of an upstream whose home this box is, as that box sees the members. */
export function givePermits ({ statedLimits, permitBook }: Pick<BoxParts, 'statedLimits' | 'permitBook'>, { upstream, cost, said }: MessageOf<MessageType.UpstreamTake>): PeerMessage {
  if (said) statedLimits.add(said)
  return { type: MessageType.UpstreamTaken, waitMs: permitBook.take(upstream, cost) }
}

function permitBucketOf (statedLimits: StatedLimits, upstream: string, share: number, firstLevel: number) {
  const perSecond = statedLimits.perSecond(upstream)
  return perSecond === undefined ? undefined : permitBucket(perSecond, share, firstLevel)
}
