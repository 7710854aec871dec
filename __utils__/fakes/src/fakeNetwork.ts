import { setMaxListeners } from 'node:events'
import { AsyncQueue, type Clock, Notifier, raceTimeout, type Random, TimedOut } from '@reelspan/core.env'
import { ReelspanError } from '@reelspan/core.error'
import { type PeerCallOptions, type PeerHandler, PeerLink, PeerLinkError, type PeerMessage } from '@reelspan/core.messages'
import { NodeClock } from './nodeClock.js'
import { rejectOnAbort } from './rejectOnAbort.js'

/** A process on the fake network. */
interface Node {
  clock: NodeClock
  handler?: PeerHandler
  /** Aborted when the process exits. */
  killed: AbortController
}

/** How a link between two addresses fails. */
export enum LinkFault {
  /** Messages are lost, and connections hang. */
  Blocked = 'blocked',
  /** Open connections are reset, and new ones are refused. */
  Reset = 'reset',
  /** Open connections work, and new ones are refused. */
  RefusesNew = 'refusesNew',
}

export interface FakeNetworkOptions {
  clock: Clock
  random: Random
  latencyMs?: number
  jitterMs?: number
}

/** Carries calls between simulated processes with latency and jitter. Messages are lost on blocked links and if a process has exited. */
export class FakeNetwork {
  readonly #opts: Required<FakeNetworkOptions>
  readonly #nodes = new Map<string, Node>()
  readonly #faults = new Map<string, LinkFault>()
  readonly #healed = new Notifier()
  readonly #paused = new Set<string>()
  readonly #resumed = new Notifier()
  /** Share of the calls that are delivered twice. */
  duplicateShare = 0

  constructor (opts: FakeNetworkOptions) {
    this.#opts = { latencyMs: 1, jitterMs: 0.5, ...opts }
  }

  /** Adds a process at an address. */
  addNode (address: string): { clock: NodeClock, link: PeerLink } {
    const node: Node = { clock: new NodeClock(this.#opts.clock), killed: new AbortController() }
    setMaxListeners(0, node.killed.signal)
    this.#nodes.set(address, node)
    return { clock: node.clock, link: new FakePeerLink(this, address, node) }
  }

  /** Simulates an abrupt exit of the process: it sends nothing more. */
  kill (address: string): void {
    this.#nodes.get(address)?.killed.abort()
    this.#nodes.delete(address)
  }

  isAlive (address: string): boolean {
    return this.#nodes.has(address)
  }

  /** Drops all messages from one address to the other until `healAll`. */
  block (from: string, to: string): void {
    this.#faults.set(`${from}>${to}`, LinkFault.Blocked)
  }

  /** Makes the link between two addresses fail in both directions until it is healed. */
  failBoth (a: string, b: string, fault: LinkFault): void {
    this.#faults.set(`${a}>${b}`, fault)
    this.#faults.set(`${b}>${a}`, fault)
  }

  healBoth (a: string, b: string): void {
    this.#faults.delete(`${a}>${b}`)
    this.#faults.delete(`${b}>${a}`)
  }

  faultOf (from: string, to: string): LinkFault | undefined {
    return this.#faults.get(`${from}>${to}`)
  }

  blockBoth (a: string, b: string): void {
    this.block(a, b)
    this.block(b, a)
  }

  healAll (): void {
    this.#faults.clear()
    this.#healed.notify()
  }

  /** Makes a process stand still: it reads and writes nothing until it is resumed, and its connections stay. */
  pause (address: string): void {
    this.#paused.add(address)
  }

  resume (address: string): void {
    this.#paused.delete(address)
    this.#resumed.notify()
  }

  isPaused (address: string): boolean {
    return this.#paused.has(address)
  }

  async waitUntilRunning (address: string): Promise<void> {
    while (this.isPaused(address)) await this.#resumed.wait()
  }

  /** Simulates the delivery of a message. Resolves with false if the link lost it when it was sent or when it would have arrived. */
  async deliver (from: string, to: string): Promise<boolean> {
    const { clock, random, latencyMs, jitterMs } = this.#opts
    if (this.#losesMessages(from, to)) return false
    await clock.sleep(latencyMs + random.nextFloat() * jitterMs)
    await this.waitUntilRunning(from)
    await this.waitUntilRunning(to)
    return !this.#losesMessages(from, to)
  }

  #losesMessages (from: string, to: string): boolean {
    const fault = this.faultOf(from, to)
    return fault !== undefined && fault !== LinkFault.RefusesNew
  }

  node (address: string): Node | undefined {
    return this.#nodes.get(address)
  }

  shouldDuplicate (): boolean {
    return this.duplicateShare > 0 && this.#opts.random.nextFloat() < this.duplicateShare
  }
}

class FakePeerLink extends PeerLink {
  readonly #network: FakeNetwork
  readonly #address: string
  readonly #node: Node

  constructor (network: FakeNetwork, address: string, node: Node) {
    super()
    this.#network = network
    this.#address = address
    this.#node = node
  }

  serve (handler: PeerHandler): void {
    this.#node.handler = handler
  }

  async close (): Promise<void> {
    if (this.#network.node(this.#address) === this.#node) this.#network.kill(this.#address)
  }

  async call (address: string, message: PeerMessage, opts: PeerCallOptions): Promise<PeerMessage> {
    const outcome = await raceTimeout(this.#node.clock, rejectOnAbort(this.#exchange(address, message), [opts.signal, this.#node.killed.signal], abortedError), opts.timeoutMs)
    if (outcome === TimedOut) throw new PeerLinkError(`${address} did not answer in time`, { mayHaveArrived: true })
    return outcome
  }

  async * stream (address: string, message: PeerMessage, opts: PeerCallOptions): AsyncGenerator<PeerMessage> {
    const parts = new AsyncQueue<PeerMessage>()
    const stopped = new AbortController()
    void this.#receive(address, message, parts, stopped.signal)
    const iterator = parts[Symbol.asyncIterator]()
    try {
      while (true) {
        const part = await raceTimeout(this.#node.clock, rejectOnAbort(iterator.next(), [opts.signal, this.#node.killed.signal], abortedError), opts.timeoutMs)
        if (part === TimedOut) throw new PeerLinkError(`${address} did not answer in time`, { mayHaveArrived: true })
        if (part.done) return
        yield part.value
      }
    } finally {
      stopped.abort()
    }
  }

  async #exchange (address: string, message: PeerMessage): Promise<PeerMessage> {
    const target = await this.#deliverTo(address)
    const deliver = () => (target.handler as PeerHandler).onCall(structuredClone(message)).catch(toErrorAnswer)
    if (this.#network.shouldDuplicate()) void deliver()
    const answer = await deliver()
    await this.#deliverAnswer(address, target)
    if (answer instanceof ReelspanError) throw answer
    return structuredClone(answer)
  }

  async #receive (address: string, message: PeerMessage, parts: AsyncQueue<PeerMessage>, stopped: AbortSignal): Promise<void> {
    try {
      const target = await this.#deliverTo(address)
      const stop = AbortSignal.any([stopped, target.killed.signal])
      for await (const part of (target.handler as PeerHandler).onStream(structuredClone(message), stop)) {
        if (target.killed.signal.aborted) throw new PeerLinkError(`${address} exited`, { mayHaveArrived: true })
        await this.#deliverAnswer(address, target)
        parts.push(structuredClone(part))
      }
      if (target.killed.signal.aborted) throw new PeerLinkError(`${address} exited`, { mayHaveArrived: true })
      parts.end()
    } catch (thrown) {
      parts.fail(thrown)
    }
  }

  /** Resolves with the process that received the message; never if the message was lost. */
  async #deliverTo (address: string): Promise<Node> {
    await this.#node.clock.waitUntilRunning()
    if (this.#node.killed.signal.aborted) return never()
    if (!await this.#network.deliver(this.#address, address)) return never()
    const target = this.#network.node(address)
    if (!target?.handler) throw new PeerLinkError(`${address} refused the connection`, { mayHaveArrived: false, refused: true })
    await target.clock.waitUntilRunning()
    return target
  }

  async #deliverAnswer (address: string, target: Node): Promise<void> {
    await target.clock.waitUntilRunning()
    if (target.killed.signal.aborted) throw new PeerLinkError(`${address} exited`, { mayHaveArrived: true })
    if (!await this.#network.deliver(address, this.#address)) return never()
    await this.#node.clock.waitUntilRunning()
  }
}

function never (): Promise<never> {
  return new Promise(() => {})
}

function toErrorAnswer (thrown: unknown): ReelspanError {
  if (thrown instanceof ReelspanError) return thrown
  throw thrown
}

function abortedError (): PeerLinkError {
  return new PeerLinkError('the exchange was aborted', { mayHaveArrived: true })
}
