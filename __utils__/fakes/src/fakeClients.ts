import { PlatformReader, type PlatformReadOptions, type RevisionedContent } from '@reelspan/config.store'
import { type Clock, raceTimeout, TimedOut } from '@reelspan/core.env'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { type Collection, type HoldLabel } from '@reelspan/core.messages'
import { type CacheEventPage, type DecodeEvent, type DecodeRequest, EngineClient, type EngineOrder, type EngineReport, type PrefillRequest, type PrefillResult, ServiceClient, type ServiceCall, type ServiceReply, type UpstreamCallOptions, UpstreamError, UpstreamProbeResult, UpstreamProbe } from '@reelspan/upstream.client'
import { rejectOnAbort } from './rejectOnAbort.js'
import { type EngineModel } from './engineModel.js'
import { type FakeNetwork, LinkFault } from './fakeNetwork.js'
import { type NodeClock } from './nodeClock.js'
import { type PlatformModel } from './platformModel.js'
import { type ServiceModel } from './serviceModel.js'

export interface FakeClientOptions<T> {
  clock: NodeClock
  network: FakeNetwork
  /** Address of the calling process. */
  address: string
  models: Map<string, T>
}

/** Carries calls from one process to upstreams over the fake network. */
class FakeChannel<T> {
  readonly #opts: FakeClientOptions<T>

  constructor (opts: FakeClientOptions<T>) {
    this.#opts = opts
  }

  async call<R> (address: string, work: (model: T) => Promise<R> | R, { timeoutMs, signal }: UpstreamCallOptions): Promise<R> {
    const outcome = await raceTimeout(this.#opts.clock, rejectOnAbort(this.#exchange(address, work), [signal], abortedError), timeoutMs)
    if (outcome === TimedOut) throw new UpstreamError(`${address}: no answer in time`, { mayHaveRun: true })
    return outcome
  }

  async * stream<R> (address: string, work: (model: T) => AsyncIterable<R>, opts: UpstreamCallOptions): AsyncGenerator<R> {
    const iterator = (await this.call(address, async (model) => work(model)[Symbol.asyncIterator](), opts))
    while (true) {
      const part = await this.#withTimeout(this.#nextPart(address, iterator), opts)
      if (opts.signal?.aborted) throw abortedError()
      if (part.done) return
      yield part.value
    }
  }

  async #nextPart<R> (address: string, iterator: AsyncIterator<R>): Promise<IteratorResult<R>> {
    const part = await iterator.next()
    if (!await this.#opts.network.deliver(address, this.#opts.address)) return never()
    await this.#opts.clock.waitUntilRunning()
    return part
  }

  async #withTimeout<R> (work: Promise<R>, { timeoutMs, signal }: UpstreamCallOptions): Promise<R> {
    const outcome = await raceTimeout(this.#opts.clock, rejectOnAbort(work, [signal], abortedError), timeoutMs)
    if (outcome === TimedOut) throw new UpstreamError('no data in time', { mayHaveRun: true })
    return outcome
  }

  async #exchange<R> (address: string, work: (model: T) => Promise<R> | R): Promise<R> {
    const { network, models, clock, address: from } = this.#opts
    await clock.waitUntilRunning()
    if (!network.isAlive(from)) return never()
    if (network.faultOf(from, address) === LinkFault.Reset) throw new UpstreamError(`${address}: connection refused`, { mayHaveRun: false })
    if (!await network.deliver(from, address)) return never()
    const model = models.get(address)
    if (!model) throw new UpstreamError(`${address}: connection refused`, { mayHaveRun: false })
    const answer = await work(model)
    if (!models.has(address)) throw new UpstreamError(`${address}: process exited`, { mayHaveRun: true })
    if (!await network.deliver(address, from)) return never()
    await clock.waitUntilRunning()
    return answer
  }
}

export class FakeEngineClient extends EngineClient {
  readonly #channel: FakeChannel<EngineModel>

  constructor (opts: FakeClientOptions<EngineModel>) {
    super()
    this.#channel = new FakeChannel(opts)
  }

  prefill (address: string, request: PrefillRequest, opts: UpstreamCallOptions): Promise<PrefillResult> {
    return this.#channel.call(address, (engine) => engine.prefill(request), opts)
  }

  decode (address: string, request: DecodeRequest, opts: UpstreamCallOptions): AsyncIterable<DecodeEvent> {
    return this.#channel.stream(address, (engine) => engine.decode(request), opts)
  }

  release (address: string, label: HoldLabel, opts: UpstreamCallOptions): Promise<void> {
    return this.#channel.call(address, (engine) => engine.release(label), opts)
  }

  report (address: string, opts: UpstreamCallOptions): Promise<EngineReport> {
    return this.#channel.call(address, (engine) => engine.report(), opts)
  }

  cacheEvents (address: string, sinceSequence: number, opts: UpstreamCallOptions): Promise<CacheEventPage> {
    return this.#channel.call(address, (engine) => engine.cacheEvents(sinceSequence), opts)
  }

  order (address: string, order: EngineOrder, opts: UpstreamCallOptions): Promise<void> {
    return this.#channel.call(address, async (engine) => {
      // The engine accepts the order at once and executes it afterwards.
      const execution = engine.order(order)
      await Promise.race([execution, Promise.resolve()])
      execution.catch(() => {})
    }, opts)
  }
}

export class FakeServiceClient extends ServiceClient {
  readonly #channel: FakeChannel<ServiceModel>

  constructor (opts: FakeClientOptions<ServiceModel>) {
    super()
    this.#channel = new FakeChannel(opts)
  }

  call (address: string, call: ServiceCall, opts: UpstreamCallOptions): Promise<ServiceReply> {
    return this.#channel.call(address, (service) => service.call(call), opts)
  }
}

export interface FakeUpstreamProbeOptions {
  clock: NodeClock
  network: FakeNetwork
  /** Address of the probing process. */
  address: string
  /** Whether an upstream's process listens at an address. */
  isListening: (address: string) => boolean
}

export class FakeUpstreamProbe extends UpstreamProbe {
  readonly #opts: FakeUpstreamProbeOptions

  constructor (opts: FakeUpstreamProbeOptions) {
    super()
    this.#opts = opts
  }

  async probe (address: string): Promise<UpstreamProbeResult> {
    const { clock, network, address: from, isListening } = this.#opts
    await clock.waitUntilRunning()
    const fault = network.faultOf(from, address)
    if (fault !== undefined && fault !== LinkFault.Blocked) return UpstreamProbeResult.Refused
    const arrived = await network.deliver(from, address) && await network.deliver(address, from)
    await clock.waitUntilRunning()
    if (!arrived) return UpstreamProbeResult.Unresponsive
    return isListening(address) ? UpstreamProbeResult.Listening : UpstreamProbeResult.Refused
  }
}

export interface FakePlatformReaderOptions {
  clock: Clock
  platform: PlatformModel
  /** Address of the reader. */
  address: string
}

/** After this time, a connection attempt to an unresponsive platform fails. */
const PLATFORM_CONNECT_TIMEOUT_MS = 500
/** Added to the requested wait of a watch to get the timeout for its answer. */
const PLATFORM_ANSWER_TIMEOUT_MS = 1000

/** Reads from the platform model, which may be unresponsive to some readers only. */
export class FakePlatformReader extends PlatformReader {
  readonly #opts: FakePlatformReaderOptions
  #lastAnswerMs = Number.NEGATIVE_INFINITY

  constructor (opts: FakePlatformReaderOptions) {
    super()
    this.#opts = opts
  }

  get lastAnswerMs (): number {
    return this.#lastAnswerMs
  }

  async read (collection: Collection, sinceRevision: number, { waitMs, signal }: PlatformReadOptions): Promise<RevisionedContent> {
    const { clock, platform, address } = this.#opts
    const askedAtMs = clock.nowMs()
    if (platform.unresponsiveTo.has(address)) await failAfter(clock, PLATFORM_CONNECT_TIMEOUT_MS, signal)
    const content = await platform.read(collection, sinceRevision, waitMs, signal)
    if (platform.unresponsiveTo.has(address)) await failAfter(clock, askedAtMs + waitMs + PLATFORM_ANSWER_TIMEOUT_MS - clock.nowMs(), signal)
    await clock.awaitPendingInput()
    this.#lastAnswerMs = clock.nowMs()
    return structuredClone(content)
  }
}

async function failAfter (clock: Clock, durationMs: number, signal?: AbortSignal): Promise<never> {
  await clock.sleep(durationMs, { signal })
  throw new ReelspanError(ErrorCode.PlatformUnavailable, 'the platform did not answer in time')
}

function abortedError (): UpstreamError {
  return new UpstreamError('aborted', { mayHaveRun: true })
}

function never (): Promise<never> {
  return new Promise(() => {})
}
