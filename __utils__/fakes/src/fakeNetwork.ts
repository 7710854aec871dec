import { setMaxListeners } from 'node:events'
import { AsyncQueue, type Clock, Notifier, raceTimeout, type Random, TimedOut } from '@reelspan/core.env'
import { ReelspanError } from '@reelspan/core.error'
import { type PeerCallOptions, type PeerHandler, PeerLink, PeerLinkError, type PeerMessage } from '@reelspan/core.messages'
import { NodeClock } from './nodeClock.js'
import { orAborted } from './orAborted.js'

/** A process on the fake network. */
interface Node {
  clock: NodeClock
  handler?: PeerHandler
  /** Aborted when the process dies. */
  killed: AbortController
}

export interface FakeNetworkOptions {
  clock: Clock
  random: Random
  latencyMs?: number
  jitterMs?: number
}

/** Carries calls between processes in one program: slowly, and not at all across cuts or to the dead. */
export class FakeNetwork {
  readonly #opts: Required<FakeNetworkOptions>
  readonly #nodes = new Map<string, Node>()
  readonly #cuts = new Set<string>()
  readonly #healed = new Notifier()
  /** Part of the calls that are delivered twice. */
  doubledShare = 0

  constructor (opts: FakeNetworkOptions) {
    this.#opts = { latencyMs: 1, jitterMs: 0.5, ...opts }
  }

  /** Starts a process at an address. */
  addNode (address: string): { clock: NodeClock, link: PeerLink } {
    const node: Node = { clock: new NodeClock(this.#opts.clock), killed: new AbortController() }
    setMaxListeners(0, node.killed.signal)
    this.#nodes.set(address, node)
    return { clock: node.clock, link: new FakePeerLink(this, address, node) }
  }

  /** The process dies at once. Nothing of it is sent any more. */
  kill (address: string): void {
    this.#nodes.get(address)?.killed.abort()
    this.#nodes.delete(address)
  }

  isAlive (address: string): boolean {
    return this.#nodes.has(address)
  }

  /** Nothing passes from one address to the other until it is healed. */
  cut (from: string, to: string): void {
    this.#cuts.add(`${from}>${to}`)
  }

  cutBoth (a: string, b: string): void {
    this.cut(a, b)
    this.cut(b, a)
  }

  healAll (): void {
    this.#cuts.clear()
    this.#healed.notify()
  }

  /** A message's way. It is lost in a cut and by the death of either side. Resolves with whether it arrived. */
  async travel (from: string, to: string): Promise<boolean> {
    const { clock, random, latencyMs, jitterMs } = this.#opts
    if (this.#cuts.has(`${from}>${to}`)) return false
    await clock.sleep(latencyMs + random.nextFloat() * jitterMs)
    return !this.#cuts.has(`${from}>${to}`)
  }

  node (address: string): Node | undefined {
    return this.#nodes.get(address)
  }

  isDoubled (): boolean {
    return this.doubledShare > 0 && this.#opts.random.nextFloat() < this.doubledShare
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
    const outcome = await raceTimeout(this.#node.clock, orAborted(this.#exchange(address, message), [opts.signal, this.#node.killed.signal], givenUp), opts.timeoutMs)
    if (outcome === TimedOut) throw new PeerLinkError(`${address} did not answer in time`, { mayHaveArrived: true })
    return outcome
  }

  async * stream (address: string, message: PeerMessage, opts: PeerCallOptions): AsyncGenerator<PeerMessage> {
    const parts = new AsyncQueue<PeerMessage>()
    const gone = new AbortController()
    void this.#receive(address, message, parts, gone.signal)
    const iterator = parts[Symbol.asyncIterator]()
    try {
      while (true) {
        const part = await raceTimeout(this.#node.clock, orAborted(iterator.next(), [opts.signal, this.#node.killed.signal], givenUp), opts.timeoutMs)
        if (part === TimedOut) throw new PeerLinkError(`${address} did not answer in time`, { mayHaveArrived: true })
        if (part.done) return
        yield part.value
      }
    } finally {
      gone.abort()
    }
  }

  async #exchange (address: string, message: PeerMessage): Promise<PeerMessage> {
    const target = await this.#reach(address)
    const deliver = () => (target.handler as PeerHandler).onCall(structuredClone(message)).catch(failed)
    if (this.#network.isDoubled()) void deliver()
    const answer = await deliver()
    await this.#comeBack(address, target)
    if (answer instanceof ReelspanError) throw answer
    return structuredClone(answer)
  }

  async #receive (address: string, message: PeerMessage, parts: AsyncQueue<PeerMessage>, gone: AbortSignal): Promise<void> {
    try {
      const target = await this.#reach(address)
      const stop = AbortSignal.any([gone, target.killed.signal])
      for await (const part of (target.handler as PeerHandler).onStream(structuredClone(message), stop)) {
        if (target.killed.signal.aborted) throw new PeerLinkError(`${address} died`, { mayHaveArrived: true })
        await this.#comeBack(address, target)
        parts.push(structuredClone(part))
      }
      if (target.killed.signal.aborted) throw new PeerLinkError(`${address} died`, { mayHaveArrived: true })
      parts.end()
    } catch (thrown) {
      parts.fail(thrown)
    }
  }

  /** Resolves with the process that got the message. Never, when a cut swallowed it. */
  async #reach (address: string): Promise<Node> {
    await this.#node.clock.whileRunning()
    if (this.#node.killed.signal.aborted) return never()
    if (!await this.#network.travel(this.#address, address)) return never()
    const target = this.#network.node(address)
    if (!target?.handler) throw new PeerLinkError(`${address} refused the connection`, { mayHaveArrived: false, refused: true })
    await target.clock.whileRunning()
    return target
  }

  async #comeBack (address: string, target: Node): Promise<void> {
    await target.clock.whileRunning()
    if (target.killed.signal.aborted) throw new PeerLinkError(`${address} died`, { mayHaveArrived: true })
    if (!await this.#network.travel(address, this.#address)) return never()
    await this.#node.clock.whileRunning()
  }
}

function never (): Promise<never> {
  return new Promise(() => {})
}

function failed (thrown: unknown): ReelspanError {
  if (thrown instanceof ReelspanError) return thrown
  throw thrown
}

function givenUp (): PeerLinkError {
  return new PeerLinkError('the exchange was given up', { mayHaveArrived: true })
}
