import { LogEvent } from '@reelspan/telemetry.log'
import { type PrefillSource, type PromptSizes } from '@reelspan/upstream.client'
import { type RelayContext } from './relayContext.js'

/** Timeout of the single attempt to free a handle. The engine frees it by itself soon after. */
const FREE_TIMEOUT_MS = 500

/** Frees the handle of a prompt that is not used, without waiting. A handle that is not freed expires soon. */
export function freeHandle ({ opts, logDecision }: RelayContext, source: PrefillSource, { promptTokens }: PromptSizes): void {
  opts.metrics.count('reelspan_wasted_prefill_tokens_total', {}, promptTokens)
  opts.upstreams.free(source, { timeoutMs: FREE_TIMEOUT_MS }).catch((thrown: unknown) =>
    logDecision(LogEvent.HandleLeft, { upstream: source.address, reason: String(thrown) }))
}
