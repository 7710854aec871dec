import { type RoutedRequest } from '@reelspan/core.messages'
import { identityOfRouted } from '@reelspan/request.identity'
import { type RunEnds } from '@reelspan/request.quarantine'
import { UpstreamError } from '@reelspan/upstream.client'
import { type RunContext } from './runContext.js'

/** A request, the upstream that it was sent to, and the time of sending. */
export interface SentRequest {
  request: RoutedRequest
  upstream: string
  address: string
  sentAtMs: number
}

/** Records an interrupted answer, so that its upstream is checked. Skips runs that were ended locally, since those say nothing about the upstream. */
export function reportInterruption (runEnds: RunEnds, run: RunContext, { request, upstream, address, sentAtMs }: SentRequest, thrown: unknown): void {
  if (!(thrown instanceof UpstreamError) || !thrown.interrupted || run.signal.aborted) return
  const { key, route } = request
  void runEnds.recordInterrupted({ request: key, route, identity: identityOfRouted(request), upstream, address, sentAtMs, reason: thrown.message })
}
