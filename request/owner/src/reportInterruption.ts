import { type RoutedRequest } from '@reelspan/core.messages'
import { identityOfRouted } from '@reelspan/request.identity'
import { type BrokenRuns } from '@reelspan/request.quarantine'
import { UpstreamError } from '@reelspan/upstream.client'
import { type RunContext } from './runContext.js'

/** What was sent to an upstream, and when. */
export interface SentRequest {
  request: RoutedRequest
  upstream: string
  address: string
  sentAtMs: number
}

/** Has an upstream looked at whose answer broke off. A run that was ended here says nothing of the upstream. */
export function reportInterruption (interruptedRuns: BrokenRuns, run: RunContext, { request, upstream, address, sentAtMs }: SentRequest, thrown: unknown): void {
  if (!(thrown instanceof UpstreamError) || !thrown.brokeOff || run.signal.aborted) return
  const { key, route } = request
  void interruptedRuns.record({ request: key, route, identity: identityOfRouted(request), upstream, address, sentAtMs, reason: thrown.message })
}
