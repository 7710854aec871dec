import { ErrorCode } from '@reelspan/core.error'
import { LogEvent } from '@reelspan/telemetry.log'
import { type SendWait, WaitReason } from '@reelspan/upstream.limits'
import { type RelayContext } from './relayContext.js'

/** Names in one line of the log or one refusal; a large pool has thousands. */
const MAX_NAMES = 40

/** Upstreams that a request may not be sent to now, and why. */
export class BlockedUpstreams {
  readonly #blocks = new Map<string, SendWait>()

  get size (): number {
    return this.#blocks.size
  }

  /** All of them ask this box to wait. */
  get allBackingOff (): boolean {
    return this.size > 0 && this.names(WaitReason.RateLimit).length === 0
  }

  /** Until the first of them may be sent a request. */
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

  /** Their names; those with one reason where it is given. */
  names (reason?: WaitReason): string[] {
    return [...this.#blocks].filter(([, wait]) => reason === undefined || wait.reason === reason).map(([upstream]) => upstream)
  }

  /** Their names, for a refusal. */
  describe (): string {
    const names = this.names()
    const more = names.length - MAX_NAMES
    return `${names.slice(0, MAX_NAMES).join(', ')}${more > 0 ? ` and ${more} more` : ''}`
  }

  /** Logs that a request did not go to them, a line for each reason. */
  log ({ logDecision }: Pick<RelayContext, 'logDecision'>, outcome: { instead?: string, retryAfterMs?: number }): void {
    const atLimit = this.names(WaitReason.RateLimit)
    const backingOff = this.names(WaitReason.Backoff)
    if (atLimit.length > 0) logDecision(LogEvent.UpstreamsAtLimit, { upstreams: atLimit.slice(0, MAX_NAMES), ...outcome })
    if (backingOff.length > 0) logDecision(LogEvent.UpstreamsBackingOff, { upstreams: backingOff.slice(0, MAX_NAMES), ...outcome })
  }
}
