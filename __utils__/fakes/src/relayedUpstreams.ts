import { type Clock } from '@reelspan/core.env'
import { type PrefilledPrompt, type PrefillSource, type RelayAnswer, type RelayCallOptions, RelayClient, type RelayedRequest, type RelayRunOptions, type RelayTarget, UpstreamError, type UpstreamSignals } from '@reelspan/upstream.client'
import { type FakeNetwork } from './fakeNetwork.js'
import { type NodeClock } from './nodeClock.js'

/** A relayed request that has reached an upstream. */
export interface RelayedArrival {
  id: string
  target: string
  upstream: string
  /** Address of the box that sent it. */
  from: string
  /** When the box sent it. */
  sentAtMs: number
  /** When it reached the upstream. */
  atMs: number
  /** Its prompt is only read. */
  prefill: boolean
}

export interface RelayedUpstreamsOptions {
  clock: Clock
  /** Whether an upstream's process runs at an address. */
  isThere: (address: string) => boolean
  /** An upstream's process ends. */
  end: (address: string) => void
}

/** Time for which a request runs before its upstream ends under it. */
const ENDS_AFTER_MS = 60
const EVENTS = 20
const MS_PER_EVENT = 40
const PREFILL_MS = 50

/** The upstreams of a deployment, as far as relayed requests are concerned: what reaches and runs on which of them. */
export class RelayedUpstreams {
  readonly arrivals: RelayedArrival[] = []
  /** Upstreams that have ended under a request, in order. */
  readonly endedUnder: { id: string, target: string, address: string, atMs: number }[] = []
  /** Whether an upstream that begins to run the request ends. */
  endsUpstream: (request: RelayedRequest) => boolean = () => false
  /** What an upstream advertises in its responses to a box. */
  signalsOf: (upstream: string, boxAddress: string) => Partial<UpstreamSignals> = () => ({})
  /** The status with which an upstream refuses a request without running it, if it does. */
  refusalStatusOf: (upstream: string, boxAddress: string) => number | undefined = () => undefined
  readonly #opts: RelayedUpstreamsOptions
  /** Aborted when the process at the address ends. */
  readonly #processes = new Map<string, AbortController>()

  constructor (opts: RelayedUpstreamsOptions) {
    this.#opts = opts
  }

  /** What runs at an address ends with its process. */
  breakOff (address: string): void {
    this.#processes.get(address)?.abort()
    this.#processes.delete(address)
  }

  async prefill (target: RelayTarget, signal: AbortSignal): Promise<PrefilledPrompt> {
    const process = this.#processAt(target.address)
    await this.#opts.clock.sleep(PREFILL_MS, { signal: AbortSignal.any([signal, process]) })
    if (process.aborted || signal.aborted) throw brokenOff(target.address)
    return { handle: 'handle', promptTokens: 1 }
  }

  run (target: RelayTarget, request: RelayedRequest, { signal, resumeAfter }: RelayRunOptions): RelayAnswer {
    const process = this.#processAt(target.address)
    if (this.endsUpstream(request)) void this.#endUnder(target.address, request)
    const from = resumeAfter === undefined ? 0 : Number(resumeAfter) + 1
    return { status: 200, notRun: false, headers: [], body: this.#body(target.address, from, signal, process) }
  }

  async * #body (address: string, from: number, signal: AbortSignal, process: AbortSignal): AsyncGenerator<Uint8Array> {
    for (let i = from; i < EVENTS; i++) {
      await this.#opts.clock.sleep(MS_PER_EVENT, { signal: AbortSignal.any([signal, process]) })
      if (process.aborted || signal.aborted) throw brokenOff(address)
      yield Buffer.from(`id: ${i}\ndata: ${i}\n\n`)
    }
  }

  async #endUnder (address: string, { id, target }: RelayedRequest): Promise<void> {
    await this.#opts.clock.sleep(ENDS_AFTER_MS)
    if (!this.#opts.isThere(address)) return
    this.endedUnder.push({ id, target, address, atMs: this.#opts.clock.nowMs() })
    this.#opts.end(address)
  }

  #processAt (address: string): AbortSignal {
    if (!this.#opts.isThere(address)) throw new UpstreamError(`${address} cannot be reached`, { mayHaveRun: false, unreachable: true })
    const known = this.#processes.get(address)
    if (known) return known.signal
    const process = new AbortController()
    this.#processes.set(address, process)
    return process.signal
  }
}

export interface FakeRelayClientOptions {
  clock: NodeClock
  network: FakeNetwork
  /** Address of the box that sends. */
  address: string
  upstreams: RelayedUpstreams
}

export class FakeRelayClient extends RelayClient {
  readonly #opts: FakeRelayClientOptions

  constructor (opts: FakeRelayClientOptions) {
    super()
    this.#opts = opts
  }

  async run (target: RelayTarget, request: RelayedRequest, opts: RelayRunOptions): Promise<RelayAnswer> {
    await this.#arrive(target, request, opts, false)
    const status = this.#refusalStatusOf(target)
    if (status !== undefined) return this.#refused(target, opts, status)
    const answer = this.#opts.upstreams.run(target, request, opts)
    this.#advertise(target, opts, true)
    return answer
  }

  async prefill (target: RelayTarget, request: RelayedRequest, opts: RelayCallOptions): Promise<PrefilledPrompt> {
    await this.#arrive(target, request, opts, true)
    const status = this.#refusalStatusOf(target)
    if (status !== undefined) {
      this.#refused(target, opts, status)
      throw new UpstreamError(`${target.instance} answered a prefill with ${status}`, { mayHaveRun: false, refused: true })
    }
    const prefilled = await this.#opts.upstreams.prefill(target, opts.signal)
    this.#advertise(target, opts, true)
    return prefilled
  }

  async free (_source: PrefillSource): Promise<void> {}

  #refusalStatusOf ({ instance }: RelayTarget): number | undefined {
    const { upstreams, address } = this.#opts
    return upstreams.refusalStatusOf(instance, address)
  }

  #refused (target: RelayTarget, opts: RelayCallOptions, status: number): RelayAnswer {
    this.#advertise(target, opts, false)
    return { status, notRun: true, headers: [], body: nothing() }
  }

  #advertise ({ instance }: RelayTarget, { onSignals }: RelayCallOptions, succeeded: boolean): void {
    const { upstreams, address } = this.#opts
    onSignals?.({ succeeded, ...upstreams.signalsOf(instance, address) })
  }

  async #arrive (target: RelayTarget, { id, target: path }: RelayedRequest, { onSend, signal }: RelayCallOptions, prefill: boolean): Promise<void> {
    const { clock, network, address, upstreams } = this.#opts
    const sentAtMs = clock.nowMs()
    await clock.whileRunning()
    if (!await network.travel(address, target.address)) return givenUp(signal, target.address)
    onSend?.()
    upstreams.arrivals.push({ id, target: path, upstream: target.instance, from: address, sentAtMs, atMs: clock.nowMs(), prefill })
  }
}

/** A way that is cut says nothing until the exchange is given up. */
function givenUp (signal: AbortSignal, address: string): Promise<never> {
  return new Promise((_resolve, reject) => {
    const giveUp = () => reject(new UpstreamError(`${address} cannot be reached`, { mayHaveRun: false, unreachable: true }))
    if (signal.aborted) giveUp()
    else signal.addEventListener('abort', giveUp, { once: true })
  })
}

async function * nothing (): AsyncGenerator<Uint8Array> {}

function brokenOff (address: string): UpstreamError {
  return new UpstreamError(`${address} closed the connection`, { mayHaveRun: true, unreachable: true })
}
