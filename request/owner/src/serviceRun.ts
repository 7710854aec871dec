import { type FleetList, type ListedUpstream } from '@reelspan/config.fleet'
import { type Configuration } from '@reelspan/config.resources'
import { type Clock, type Random } from '@reelspan/core.env'
import { ErrorCode, ReelspanError, toReelspanError } from '@reelspan/core.error'
import { AnswerEventKind, type ServiceRequest } from '@reelspan/core.messages'
import { type ServiceClient, type ServiceReply, UpstreamError } from '@reelspan/upstream.client'
import { type RunEnds } from '@reelspan/request.quarantine'
import { reportInterruption } from './reportInterruption.js'
import { type RunContext } from './runContext.js'

export interface ServiceRunOptions {
  clock: Clock
  random: Random
  services: ServiceClient
  configuration: () => Configuration
  fleet: () => FleetList
  /** Records answers of upstreams that were interrupted. */
  runEnds: RunEnds
}

const NO_UPSTREAM_RETRY_AFTER_MS = 1000
const MAX_ATTEMPTS = 4

/** Runs one call to a service upstream. */
export class ServiceRun {
  readonly #opts: ServiceRunOptions
  readonly #run: RunContext
  readonly #request: ServiceRequest
  readonly #tried = new Set<string>()

  constructor (opts: ServiceRunOptions, run: RunContext, request: ServiceRequest) {
    this.#opts = opts
    this.#run = run
    this.#request = request
  }

  async execute (): Promise<void> {
    const { clock } = this.#opts
    for (let attempt = 1; ; attempt++) {
      await this.#run.checkBeforeSend()
      const upstream = this.#pick()
      try {
        const reply = await this.#send(upstream)
        this.#run.record.append({ kind: AnswerEventKind.Response, status: reply.status, contentType: reply.contentType, body: reply.body }, clock.nowMs())
        this.#run.finish()
        return
      } catch (thrown) {
        this.#run.throwIfEnded()
        this.#tried.add(upstream.name)
        if (!this.#mayRetry(thrown, attempt)) throw toReelspanError(thrown)
      }
    }
  }

  async #send (upstream: ListedUpstream): Promise<ServiceReply> {
    const { clock, services, runEnds } = this.#opts
    const { name, address } = upstream
    const { key, method, path, contentType, body } = this.#request
    const call = { requestKey: key, method, path, contentType, body }
    const sentAtMs = clock.nowMs()
    const reply = await this.#run.dispatch(() =>
      services.call(address, call, { timeoutMs: this.#run.remainingMs, signal: this.#run.signal }))
      .catch((thrown: unknown) => {
        reportInterruption(runEnds, this.#run, { request: this.#request, upstream: name, address, sentAtMs }, thrown)
        throw thrown
      })
    if (reply.requestKey !== key) throw new UpstreamError(`${name} returned the answer of a different request`, { mayHaveRun: true })
    return reply
  }

  /** A call that may have run is retried only if the caller declared it repeatable. */
  #mayRetry (thrown: unknown, attempt: number): boolean {
    if (!(thrown instanceof UpstreamError) || attempt >= MAX_ATTEMPTS) return false
    if (this.#run.mayHaveRun && this.#request.notRepeatable) return false
    return this.#run.tryAcquireRetry()
  }

  #pick (): ListedUpstream {
    const { random, fleet, configuration } = this.#opts
    const pool = configuration().route(this.#request.route)?.pool
    if (pool === undefined) throw new ReelspanError(ErrorCode.NoRoute, `route ${this.#request.route} no longer exists`)
    const candidates = fleet().takingWork(pool).filter(({ name }) => !this.#tried.has(name))
    const [upstream] = random.sample(candidates, 1)
    if (!upstream) {
      throw new ReelspanError(ErrorCode.NoUpstream, `pool ${pool} has no upstream that takes work`, { retryAfterMs: NO_UPSTREAM_RETRY_AFTER_MS })
    }
    return upstream
  }
}
