import { type UpstreamStateUpdate } from '@reelspan/core.messages'
import { Gossip } from '@reelspan/membership.prober'
import { Backoffs, SignalObserver, UpstreamStateMessages, UpstreamStates } from '@reelspan/upstream.signals'
import { type BoxParts } from './boxParts.js'

/** Rate limits and draining that upstreams advertise in their responses, to this box or any other. */
export function createUpstreamStates (parts: BoxParts): UpstreamStates {
  const { clock, log } = parts
  return new UpstreamStates({
    clock,
    log,
    earliestArrivalMs: () => parts.pauseDetector.earliestArrivalMs(),
    isListed: (upstream) => parts.fleet.value.upstream(upstream) !== undefined,
    onChanged: (update) => parts.upstreamStateGossip.announce([update]),
    onDraining: () => parts.box.onFleetChange(),
  })
}

export function createUpstreamStateGossip (parts: BoxParts): Gossip<UpstreamStateUpdate> {
  const { clock, link, upstreamStates } = parts
  return new Gossip({
    clock,
    link,
    store: upstreamStates,
    messages: new UpstreamStateMessages(),
    watchedAddresses: () => parts.prober.watchedAddresses(),
    mayForward: (update) => upstreamStates.mayForward(update),
    onTaskError: (thrown) => parts.failures.recordTask('upstreamStateGossip', thrown),
  })
}

export function createBackoffs (parts: BoxParts): Backoffs {
  return new Backoffs(parts)
}

export function createSignalObserver ({ clock, log, upstreamStates: states, backoffs }: BoxParts): SignalObserver {
  return new SignalObserver({ clock, log, states, backoffs })
}
