import { type MessageOf, MessageType, type PeerMessage } from '@reelspan/core.messages'
import { EvenShareLimiter, CoordinatedLimiter, TokenBucketStore } from '@reelspan/membership.limits'
import { planPermitBucket, PermitMessages, RetryTimes, SendPermits } from '@reelspan/upstream.limits'
import { type UpstreamStates } from '@reelspan/upstream.signals'
import { type BoxParts } from './boxParts.js'
import { reachableShare, singleBoxShare } from './limitShares.js'

/**
 * Token buckets of the upstreams whose permits this box coordinates. They start empty, since a previous
 * coordinator may have granted permits that this box does not know of.
 */
export function createPermitBuckets ({ clock, upstreamStates, view }: BoxParts): TokenBucketStore {
  return new TokenBucketStore({ clock, configOf: (upstream) => permitBucketOf(upstreamStates, upstream, reachableShare(view), 0) })
}

export function createPermitLimiter (parts: BoxParts): CoordinatedLimiter {
  const { clock, link, permitBuckets, random, upstreamStates, view } = parts
  // Boxes that lose their coordinator at the same moment start with random bucket levels, so that their first permits are spread over time.
  const localLimiter = new EvenShareLimiter({ clock, configOf: (upstream) => permitBucketOf(upstreamStates, upstream, singleBoxShare(view), random.nextFloat()) })
  const limiter = new CoordinatedLimiter({
    clock,
    link,
    messages: new PermitMessages((upstream) => upstreamStates.updateOf(upstream)),
    buckets: permitBuckets,
    local: localLimiter,
    onCoordinatorAnswered: (upstream) => localLimiter.forget(upstream),
    members: () => view.takingWork(),
    self: () => view.self,
  })
  view.onChange(() => permitBuckets.retain((upstream) => limiter.isCoordinator(upstream)))
  return limiter
}

export function createPermits ({ backoffs, clock, metrics, permitLimiter, upstreamStates }: BoxParts): SendPermits {
  return new SendPermits({ clock, states: upstreamStates, backoffs, limiter: permitLimiter, metrics })
}

export function createRetryTimes ({ clock, view }: BoxParts): RetryTimes {
  return new RetryTimes({ clock, boxCount: () => view.takingWork().length })
}

/** Answers a box that asks for permits of an upstream, since it considers this box their coordinator. */
export function acquirePermits ({ upstreamStates, permitBuckets }: Pick<BoxParts, 'upstreamStates' | 'permitBuckets'>, { upstream, cost, said }: MessageOf<MessageType.UpstreamTake>): PeerMessage {
  if (said) upstreamStates.add(said)
  return { type: MessageType.UpstreamTaken, waitMs: permitBuckets.acquire(upstream, cost) }
}

function permitBucketOf (upstreamStates: UpstreamStates, upstream: string, share: number, initialLevel: number) {
  const perSecond = upstreamStates.perSecond(upstream)
  return perSecond === undefined ? undefined : planPermitBucket(perSecond, share, initialLevel)
}
