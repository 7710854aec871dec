import { type Clock } from '@reelspan/core.env'
import { AnswerFraming, type PrefilledPrompt, type PrefillSource, type RelayAnswer, type RelayCallOptions, RelayClient, type RelayedRequest, type RelayRunOptions, type RelayTarget, UpstreamError, type UpstreamSignals } from '@reelspan/upstream.client'
import { type FakeNetwork, LinkFault } from './fakeNetwork.js'
import { type SlottedUpstream } from './slottedUpstream.js'
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
  /** Whether it was sent for its prefill only. */
  prefill: boolean
  /** The event behind which a stream goes on. */
  resumeAfter?: string
}

export interface RelayedUpstreamsOptions {
  clock: Clock
  /** Whether an upstream's process runs at an address. */
  isRunning: (address: string) => boolean
  /** Ends an upstream's process. */
  end: (address: string) => void
}

/** Timeout of a connection attempt, as at real boxes. */
const CONNECT_TIMEOUT_MS = 400
const BROKEN_OFF_AT_EVENT = 5
const PREFILL_MS = 50
const LOST_AFTER_MS = 6

/** How long requests run at upstreams. */
export interface RunTiming {
  events: number
  eventMs: number
  /** How long a request runs before it crashes its upstream. */
  crashDelayMs: number
}

/** Simulates how the upstreams of a deployment run relayed requests, and records which requests reach them. */
export class RelayedUpstreams {
  readonly arrivals: RelayedArrival[] = []
  /** Crashes of upstreams caused by requests, in order. */
  readonly crashes: { id: string, target: string, address: string, atMs: number }[] = []
  /** Most requests that ran at an upstream at once, prefills not counted. One that is cancelled runs until its upstream reads that. */
  readonly peakRuns = new Map<string, number>()
  readonly #runs = new Map<string, number>()
  readonly timing: RunTiming = { events: 20, eventMs: 40, crashDelayMs: 60 }
  /** Decides whether the request crashes the upstream that runs it. */
  crashesUpstream: (request: RelayedRequest) => boolean = () => false
  /** Decides whether a run ends inside an event, with its framing complete. */
  breaksOffInsideEvent: (request: RelayedRequest) => boolean = () => false
  /** How the answer to a request is framed. One that ends with its connection looks whole if its upstream exits. */
  framingOf: (request: RelayedRequest) => AnswerFraming | undefined = () => undefined
  /** Decides whether the answer to a request is interrupted before its first event, while the upstream goes on with it. */
  losesAnswer: (request: RelayedRequest) => boolean = () => false
  /** Whether an upstream that exits resets its connections, so that its answers do not look whole. */
  resetsConnections = false
  /** Signals that an upstream advertises in its responses to a box. */
  signalsOf: (upstream: string, boxAddress: string) => Partial<UpstreamSignals> = () => ({})
  /** Status with which an upstream refuses requests of a box without running them; undefined if it runs them. */
  refusalStatusOf: (upstream: string, boxAddress: string) => number | undefined = () => undefined
  /** Upstreams that run a limited number of requests at once, by name. Others run all that they get. */
  readonly slotted = new Map<string, SlottedUpstream>()
  readonly #opts: RelayedUpstreamsOptions
  /** By address; aborted when the process there exits. */
  readonly #processes = new Map<string, AbortController>()

  constructor (opts: RelayedUpstreamsOptions) {
    this.#opts = opts
  }

  recordRunStart (upstream: string): void {
    const runs = (this.#runs.get(upstream) ?? 0) + 1
    this.#runs.set(upstream, runs)
    this.peakRuns.set(upstream, Math.max(runs, this.peakRuns.get(upstream) ?? 0))
  }

  recordRunEnd (upstream: string): void {
    this.#runs.set(upstream, (this.#runs.get(upstream) ?? 0) - 1)
  }

  /** Interrupts all requests that run at an address, whose process has exited. */
  abortRuns (address: string): void {
    this.#processes.get(address)?.abort()
    this.#processes.delete(address)
  }

  async prefill (target: RelayTarget, signal: AbortSignal): Promise<PrefilledPrompt> {
    const process = this.#processAt(target.address)
    await this.#opts.clock.sleep(PREFILL_MS, { signal: AbortSignal.any([signal, process]) })
    if (process.aborted || signal.aborted) throw connectionClosed(target.address)
    return { handle: 'handle', promptTokens: 1 }
  }

  run (target: RelayTarget, request: RelayedRequest, { signal, resumeAfter }: RelayRunOptions): RelayAnswer {
    const process = this.#processAt(target.address)
    if (this.crashesUpstream(request)) void this.#crashDuring(target.address, request)
    const from = resumeAfter === undefined ? 0 : Number(resumeAfter) + 1
    const brokenOffAt = this.breaksOffInsideEvent(request) ? BROKEN_OFF_AT_EVENT : this.timing.events
    const framing = this.framingOf(request)
    return { status: 200, notRun: false, headers: ['Content-Type', 'text/event-stream'], framing, body: this.losesAnswer(request) ? this.#lostBody(target.address) : this.#body(target.address, { from, brokenOffAt, framing }, signal, process) }
  }

  async * #lostBody (address: string): AsyncGenerator<Uint8Array> {
    await this.#opts.clock.sleep(LOST_AFTER_MS)
    throw connectionClosed(address)
  }

  async * #body (address: string, { from, brokenOffAt, framing }: { from: number, brokenOffAt: number, framing?: AnswerFraming }, signal: AbortSignal, process: AbortSignal): AsyncGenerator<Uint8Array> {
    for (let i = from; i < this.timing.events; i++) {
      await this.#opts.clock.sleep(this.timing.eventMs, { signal: AbortSignal.any([signal, process]) })
      if (process.aborted && framing === AnswerFraming.Connection && !this.resetsConnections) return
      if (process.aborted || signal.aborted) throw connectionClosed(address)
      if (i === brokenOffAt) {
        yield Buffer.from(`id: ${i}\n`)
        return
      }
      yield Buffer.from(`id: ${i}\ndata: ${i}\n\n`)
    }
  }

  async #crashDuring (address: string, { id, target }: RelayedRequest): Promise<void> {
    await this.#opts.clock.sleep(this.timing.crashDelayMs)
    if (!this.#opts.isRunning(address)) return
    this.crashes.push({ id, target, address, atMs: this.#opts.clock.nowMs() })
    this.#opts.end(address)
  }

  #processAt (address: string): AbortSignal {
    if (!this.#opts.isRunning(address)) throw new UpstreamError(`${address} cannot be reached`, { mayHaveRun: false, unreachable: true })
    const existing = this.#processes.get(address)
    if (existing) return existing.signal
    const process = new AbortController()
    this.#processes.set(address, process)
    return process.signal
  }
}

export interface FakeRelayClientOptions {
  clock: NodeClock
  network: FakeNetwork
  /** Address of the sending box. */
  address: string
  upstreams: RelayedUpstreams
  /** Called when a part of an answer was received. */
  onReceived?: (address: string) => void
}

export class FakeRelayClient extends RelayClient {
  readonly #opts: FakeRelayClientOptions
  /** Open connections without an exchange, by address. */
  readonly #idleConnections = new Map<string, number>()

  constructor (opts: FakeRelayClientOptions) {
    super()
    this.#opts = opts
  }

  async run (target: RelayTarget, request: RelayedRequest, opts: RelayRunOptions): Promise<RelayAnswer> {
    await this.#deliver(target, request, opts, { prefill: false, resumeAfter: opts.resumeAfter })
    const status = this.#refusalStatusOf(target)
    if (status !== undefined) return this.#refuse(target, opts, status)
    const slotted = this.#opts.upstreams.slotted.get(target.instance)
    if (slotted) return this.#runSlotted(slotted, target, opts)
    const { upstreams } = this.#opts
    const answer = upstreams.run(target, request, opts)
    upstreams.recordRunStart(target.instance)
    await this.#advertise(target, opts, true)
    return { ...answer, body: this.#receiveRun(target, answer.body, opts.signal) }
  }

  async prefill (target: RelayTarget, request: RelayedRequest, opts: RelayCallOptions): Promise<PrefilledPrompt> {
    await this.#deliver(target, request, opts, { prefill: true })
    const status = this.#refusalStatusOf(target)
    if (status !== undefined) {
      await this.#refuse(target, opts, status)
      throw new UpstreamError(`${target.instance} answered a prefill with ${status}`, { mayHaveRun: false, refused: true })
    }
    const prefilled = await this.#opts.upstreams.prefill(target, opts.signal)
    await this.#checkReceives(target.address, opts.signal)
    this.#keepIdle(target.address)
    await this.#advertise(target, opts, true)
    return prefilled
  }

  hasIdleConnection (address: string): boolean {
    this.#closeIfReset(address)
    return (this.#idleConnections.get(address) ?? 0) > 0
  }

  async free (_source: PrefillSource): Promise<void> {}

  async #runSlotted (slotted: SlottedUpstream, target: RelayTarget, opts: RelayRunOptions): Promise<RelayAnswer> {
    if (slotted.isFull) return this.#refuse(target, opts, 503)
    await slotted.run(opts.signal)
    if (opts.signal.aborted) throw connectionClosed(target.address)
    return { status: 200, notRun: false, headers: [], body: oneChunk() }
  }

  #refusalStatusOf ({ instance }: RelayTarget): number | undefined {
    const { upstreams, address } = this.#opts
    return upstreams.refusalStatusOf(instance, address)
  }

  async #refuse (target: RelayTarget, opts: RelayCallOptions, status: number): Promise<RelayAnswer> {
    await this.#advertise(target, opts, false)
    return { status, notRun: true, headers: [], body: emptyBody() }
  }

  /** A box that is held up reads the signals later. */
  async #advertise ({ instance }: RelayTarget, { onSignals }: RelayCallOptions, succeeded: boolean): Promise<void> {
    const { clock, upstreams, address } = this.#opts
    const signals = { succeeded, ...upstreams.signalsOf(instance, address) }
    if (clock.paused) await clock.waitUntilRunning()
    onSignals?.(signals)
  }

  async #deliver (target: RelayTarget, { id, target: path }: RelayedRequest, { onSend, signal }: RelayCallOptions, work: Pick<RelayedArrival, 'prefill' | 'resumeAfter'>): Promise<void> {
    const { clock, network, address, upstreams } = this.#opts
    const sentAtMs = clock.nowMs()
    await clock.waitUntilRunning()
    this.#closeIfReset(target.address)
    const isConnected = this.#acquireIdle(target.address)
    const fault = network.faultOf(address, target.address)
    if (fault === LinkFault.Reset || (fault === LinkFault.RefusesNew && !isConnected)) throw unreachable(target.address)
    if (!await network.deliver(address, target.address)) {
      if (isConnected) onSend?.()
      return isConnected ? rejectOnceAborted(signal, target.address) : this.#failToConnect(signal, target.address)
    }
    onSend?.()
    upstreams.arrivals.push({ id, target: path, upstream: target.instance, from: address, sentAtMs, atMs: clock.nowMs(), ...work })
  }

  async #failToConnect (signal: AbortSignal, address: string): Promise<never> {
    await this.#opts.clock.sleep(CONNECT_TIMEOUT_MS, { signal })
    throw unreachable(address)
  }

  async * #receiveRun ({ instance, address }: RelayTarget, body: AsyncIterable<Uint8Array>, signal: AbortSignal): AsyncGenerator<Uint8Array> {
    const { network, upstreams } = this.#opts
    try {
      yield * this.#receive(address, body, signal)
    } finally {
      void network.waitUntilRunning(address).then(() => upstreams.recordRunEnd(instance))
    }
  }

  async * #receive (address: string, body: AsyncIterable<Uint8Array>, signal: AbortSignal): AsyncGenerator<Uint8Array> {
    for await (const bytes of body) {
      await this.#checkReceives(address, signal)
      yield bytes
    }
    this.#keepIdle(address)
  }

  /** Fails like an exchange whose link failed after its request was sent. */
  async #checkReceives (from: string, signal: AbortSignal): Promise<void> {
    const { network, address } = this.#opts
    if (network.isPaused(from)) await Promise.race([network.waitUntilRunning(from), rejectOnceAborted(signal, from)])
    const fault = network.faultOf(from, address)
    if (fault === LinkFault.Reset) throw connectionClosed(from)
    if (fault === LinkFault.Blocked) await rejectOnceAborted(signal, from)
    this.#opts.onReceived?.(from)
  }

  #closeIfReset (address: string): void {
    if (this.#opts.network.faultOf(this.#opts.address, address) === LinkFault.Reset) this.#idleConnections.delete(address)
  }

  #acquireIdle (address: string): boolean {
    const idle = this.#idleConnections.get(address) ?? 0
    if (idle > 0) this.#idleConnections.set(address, idle - 1)
    return idle > 0
  }

  #keepIdle (address: string): void {
    this.#idleConnections.set(address, (this.#idleConnections.get(address) ?? 0) + 1)
  }
}

/** A request that was sent on a blocked link gets no answer; it fails once the exchange is aborted. */
function rejectOnceAborted (signal: AbortSignal, address: string): Promise<never> {
  return new Promise((_resolve, reject) => {
    const rejectUnreachable = () => reject(connectionClosed(address))
    if (signal.aborted) rejectUnreachable()
    else signal.addEventListener('abort', rejectUnreachable, { once: true })
  })
}

async function * oneChunk (): AsyncGenerator<Uint8Array> {
  yield Buffer.from('done')
}

async function * emptyBody (): AsyncGenerator<Uint8Array> {}

function unreachable (address: string): UpstreamError {
  return new UpstreamError(`${address} cannot be reached`, { mayHaveRun: false, unreachable: true })
}

function connectionClosed (address: string): UpstreamError {
  return new UpstreamError(`${address} closed the connection`, { mayHaveRun: true, unreachable: true })
}
