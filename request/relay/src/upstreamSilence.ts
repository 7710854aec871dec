import { type Clock, Notifier, STOPPED } from '@reelspan/core.env'

interface Silence {
  /** Exchanges in which nothing is received for longer than their time. */
  exchanges: Set<symbol>
  /** When something was last received from the upstream, on any connection. */
  lastReceivedAtMs: number
}

/** Upstreams that owe answers to this box and send nothing on any connection. */
export class UpstreamSilence {
  readonly #clock: Clock
  readonly #silences = new Map<string, Silence>()
  readonly #heard = new Notifier()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Records that nothing was received in an exchange since `sinceMs`. Does not count if the upstream sent something in another one since. */
  recordSilent (upstream: string, exchange: symbol, sinceMs: number): void {
    const silence = this.#silences.get(upstream) ?? { exchanges: new Set(), lastReceivedAtMs: Number.NEGATIVE_INFINITY }
    this.#silences.set(upstream, silence)
    if (silence.lastReceivedAtMs <= sinceMs) silence.exchanges.add(exchange)
  }

  /** Records that something was received from an upstream. */
  recordReceived (upstream: string): void {
    const silence = this.#silences.get(upstream)
    if (!silence) return
    silence.lastReceivedAtMs = this.#clock.nowMs()
    silence.exchanges.clear()
    this.#heard.notify()
  }

  /** Records that an exchange has ended, however it did. */
  recordEnd (upstream: string, exchange: symbol): void {
    this.#silences.get(upstream)?.exchanges.delete(exchange)
  }

  /** Drops what is known of upstreams that are no longer listed. */
  retain (names: ReadonlySet<string>): void {
    [...this.#silences.keys()].filter((upstream) => !names.has(upstream)).forEach((upstream) => this.#silences.delete(upstream))
    this.#heard.notify()
  }

  isSilent (upstream: string): boolean {
    return (this.#silences.get(upstream)?.exchanges.size ?? 0) > 0
  }

  /** The upstreams that are silent now. */
  upstreams (): string[] {
    return [...this.#silences.keys()].filter((upstream) => this.isSilent(upstream))
  }

  /** Resolves once something is received from an upstream, it is no longer listed, or the time is over. */
  async waitUntilHeard (upstream: string, timeoutMs: number, signal: AbortSignal): Promise<void> {
    const sinceMs = this.#clock.nowMs()
    const ended = new AbortController()
    const until = AbortSignal.any([signal, ended.signal])
    void this.#clock.sleep(timeoutMs, { signal: until }).then(() => ended.abort(STOPPED))
    const isHeard = () => (this.#silences.get(upstream)?.lastReceivedAtMs ?? Number.POSITIVE_INFINITY) >= sinceMs
    while (!isHeard() && !until.aborted) await this.#heard.wait(until)
    ended.abort(STOPPED)
  }
}
