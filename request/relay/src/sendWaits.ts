import { ErrorCode } from '@reelspan/core.error'
import { LogEvent } from '@reelspan/telemetry.log'
import { type SendWait, WaitReason } from '@reelspan/upstream.limits'
import { type RelayContext } from './relayContext.js'

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

  /** Logs that a request did not go to them, a line for each reason. */
  log ({ decided }: Pick<RelayContext, 'decided'>, outcome: { instead?: string, retryAfterMs?: number }): void {
    const atLimit = this.upstreams(WaitReason.RateLimit)
    const backingOff = this.upstreams(WaitReason.Backoff)
    if (atLimit.length > 0) decided(LogEvent.UpstreamsAtLimit, { upstreams: atLimit, ...outcome })
    if (backingOff.length > 0) decided(LogEvent.UpstreamsBackingOff, { upstreams: backingOff, ...outcome })
  }
}
