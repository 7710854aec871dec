import { type MessageOf, MessageType, type PeerMessage } from '@reelspan/core.messages'
import { EvenShareLimiter, HomeLimiter, LimitBook } from '@reelspan/membership.limits'
import { permitBucket, PermitMessages, ReturnTimes, SendPermits } from '@reelspan/upstream.limits'
import { type UpstreamStates } from '@reelspan/upstream.signals'
import { type BoxParts } from './boxParts.js'
import { sideShare, singleShare } from './limitShares.js'

/** The buckets of permits whose home is this box. It does not know what another home gave out before, so they begin empty. */
export function createPermitBook ({ clock, upstreamStates, view }: BoxParts): LimitBook {
  return new LimitBook({ clock, planOf: (upstream) => permitBucketOf(upstreamStates, upstream, sideShare(view), 0) })
}

export function createPermitLimiter (parts: BoxParts): HomeLimiter {
  const { clock, link, permitBook, random, upstreamStates, view } = parts
  // Boxes that lose a home at the same moment begin at different points of the way to their first permit.
  const alone = new EvenShareLimiter({ clock, planOf: (upstream) => permitBucketOf(upstreamStates, upstream, singleShare(view), random.nextFloat()) })
  const limiter = new HomeLimiter({
    clock,
    link,
    messages: new PermitMessages((upstream) => upstreamStates.updateOf(upstream)),
    book: permitBook,
    alone,
    onHomeAnswered: (upstream) => alone.forget(upstream),
    members: () => view.takingWork(),
    self: () => view.self,
  })
  view.onChange(() => permitBook.retain((upstream) => limiter.isHome(upstream)))
  return limiter
}

export function createPermits ({ backoffs, clock, metrics, permitLimiter, upstreamStates }: BoxParts): SendPermits {
  return new SendPermits({ clock, limits: upstreamStates, backoffs, limiter: permitLimiter, metrics })
}

export function createReturnTimes ({ clock, view }: BoxParts): ReturnTimes {
  return new ReturnTimes({ clock, boxCount: () => view.takingWork().length })
}

/** Answers a box that asks for permits of an upstream whose home this box is, as that box sees the members. */
export function givePermits ({ upstreamStates, permitBook }: Pick<BoxParts, 'upstreamStates' | 'permitBook'>, { upstream, cost, said }: MessageOf<MessageType.UpstreamTake>): PeerMessage {
  if (said) upstreamStates.add(said)
  return { type: MessageType.UpstreamTaken, waitMs: permitBook.take(upstream, cost) }
}

function permitBucketOf (upstreamStates: UpstreamStates, upstream: string, share: number, firstLevel: number) {
  const perSecond = upstreamStates.perSecond(upstream)
  return perSecond === undefined ? undefined : permitBucket(perSecond, share, firstLevel)
}
