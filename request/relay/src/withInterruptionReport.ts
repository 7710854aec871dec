import { type RelayTarget, UpstreamError } from '@reelspan/upstream.client'
import { type RelayContext } from './relayContext.js'

/** Work that sends the request to an upstream, and says so right before. */
export type SendingWork<T> = (onSend: () => void) => Promise<T>

/** Does work that sends the request to an upstream, and has the upstream looked at when it breaks off. */
export async function withInterruptionReport<T> ({ opts, run, route, request, identity }: RelayContext, target: RelayTarget, work: SendingWork<T>): Promise<T> {
  let sentAtMs: number | undefined
  try {
    return await work(() => { sentAtMs = opts.clock.nowMs() })
  } catch (thrown) {
    // A run that was ended here, as when its caller has left, says nothing of the upstream.
    if (sentAtMs !== undefined && thrown instanceof UpstreamError && thrown.brokeOff && !run.signal.aborted) {
      void opts.brokenRuns.record({
        request: request.id,
        route: route.name,
        identity: identity(),
        upstream: target.instance,
        address: target.address,
        sentAtMs,
        reason: thrown.message,
      })
    }
    throw thrown
  }
}
