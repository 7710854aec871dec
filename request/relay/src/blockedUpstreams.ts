import { ErrorCode } from '@reelspan/core.error'
import { LogEvent } from '@reelspan/telemetry.log'
import { type SendWait, WaitReason } from '@reelspan/upstream.limits'
import { type RelayContext } from './relayContext.js'

/** Maximum number of names in a log line or refusal; a large pool has thousands. */
const MAX_NAMES = 40

/** Upstreams to which a request may not be sent now, with the reasons. */
export class BlockedUpstreams {
  readonly #blocks = new Map<string, SendWait>()

  get size (): number {
    return this.#blocks.size
  }

  /** Whether all of them asked this box to back off. */
  get allBackingOff (): boolean {
    return this.size > 0 && this.names(WaitReason.RateLimit).length === 0
  }

  /** Time until the first of them may receive a request. */
  get shortestWaitMs (): number {
    return Math.min(...[...this.#blocks.values()].map(({ durationMs }) => durationMs))
  }

  get errorCode (): ErrorCode {
    return this.allBackingOff ? ErrorCode.UpstreamBackoff : ErrorCode.UpstreamLimit
  }

  add (upstream: string, wait: SendWait): void {
    this.#blocks.set(upstream, wait)
  }

  has (upstream: string): boolean {
    return this.#blocks.has(upstream)
  }

  clear (): void {
    this.#blocks.clear()
  }

  /** Names of the upstreams, optionally only of those with one reason. */
  names (reason?: WaitReason): string[] {
    return [...this.#blocks].filter(([, wait]) => reason === undefined || wait.reason === reason).map(([upstream]) => upstream)
  }

  /** Lists the names for a refusal. */
  describe (): string {
    const names = this.names()
    const omittedCount = names.length - MAX_NAMES
    return `${names.slice(0, MAX_NAMES).join(', ')}${omittedCount > 0 ? ` and ${omittedCount} more` : ''}`
  }

  /** Logs that a request was not sent to them, with one line per reason. */
  log ({ logDecision }: Pick<RelayContext, 'logDecision'>, outcome: { instead?: string, retryAfterMs?: number }): void {
    const atLimit = this.names(WaitReason.RateLimit)
    const backingOff = this.names(WaitReason.Backoff)
    if (atLimit.length > 0) logDecision(LogEvent.UpstreamsAtLimit, { upstreams: atLimit.slice(0, MAX_NAMES), ...outcome })
    if (backingOff.length > 0) logDecision(LogEvent.UpstreamsBackingOff, { upstreams: backingOff.slice(0, MAX_NAMES), ...outcome })
  }
}
