import { type RelayTarget, UpstreamError } from '@reelspan/upstream.client'
import { type RelayContext } from './relayContext.js'

/** Work that sends the request to an upstream and calls `onSend` right before. */
export type SendingWork<T> = (onSend: () => void) => Promise<T>

/** Runs `work` and records the run if its answer is interrupted, so that the upstream is checked. */
export async function withInterruptionReport<T> ({ opts, run, route, request, identity }: RelayContext, target: RelayTarget, work: SendingWork<T>): Promise<T> {
  let sentAtMs: number | undefined
  try {
    return await work(() => { sentAtMs = opts.clock.nowMs() })
  } catch (thrown) {
    // A run that was ended locally, for example because its caller disconnected, says nothing about the upstream.
    if (sentAtMs !== undefined && thrown instanceof UpstreamError && thrown.interrupted && !run.signal.aborted) {
      void opts.interruptedRuns.record({
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
