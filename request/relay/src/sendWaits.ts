import { ErrorCode } from '@reelspan/core.error'
import { LogEvent } from '@reelspan/telemetry.log'
import { type SendWait, WaitReason } from '@reelspan/upstream.limits'
import { type RelayContext } from './relayContext.js'

/** Names in one line of the log or one refusal; a large pool has thousands. */
const MAX_NAMES = 40

/** Upstreams that a request may not be sent to now, and why. */
export class SendWaits {
  readonly #waits = new Map<string, SendWait>()

  get size (): number {
    return this.#waits.size
  }

  /** All of them ask this box to wait. */
  get areBackoffs (): boolean {
    return this.size > 0 && this.upstreams(WaitReason.RateLimit).length === 0
  }

  /** Until the first of them may be sent a request. */
  get soonestMs (): number {
    return Math.min(...[...this.#waits.values()].map(({ durationMs }) => durationMs))
  }

  get errorCode (): ErrorCode {
    return this.areBackoffs ? ErrorCode.UpstreamBackoff : ErrorCode.UpstreamLimit
  }

  add (upstream: string, wait: SendWait): void {
    this.#waits.set(upstream, wait)
  }

  has (upstream: string): boolean {
    return this.#waits.has(upstream)
  }

  clear (): void {
    this.#waits.clear()
  }

  /** Their names; those with one reason where it is given. */
  upstreams (reason?: WaitReason): string[] {
    return [...this.#waits].filter(([, wait]) => reason === undefined || wait.reason === reason).map(([upstream]) => upstream)
  }

  /** Their names, for a refusal. */
  describe (): string {
    const names = this.upstreams()
    const more = names.length - MAX_NAMES
    return `${names.slice(0, MAX_NAMES).join(', ')}${more > 0 ? ` and ${more} more` : ''}`
  }

  /** Logs that a request did not go to them, a line for each reason. */
  log ({ decided }: Pick<RelayContext, 'decided'>, outcome: { instead?: string, retryAfterMs?: number }): void {
    const atLimit = this.upstreams(WaitReason.RateLimit)
    const backingOff = this.upstreams(WaitReason.Backoff)
    if (atLimit.length > 0) decided(LogEvent.UpstreamsAtLimit, { upstreams: atLimit.slice(0, MAX_NAMES), ...outcome })
    if (backingOff.length > 0) decided(LogEvent.UpstreamsBackingOff, { upstreams: backingOff.slice(0, MAX_NAMES), ...outcome })
  }
}
