import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { type SeededRandom } from '@reelspan/utils.fakes'
import { requestHeaders } from '@reelspan/utils.platform-stand-ins'
import { Agent, request } from 'undici'
import { drawOne } from './drawOne.js'
import { measureMemory } from './measureMemory.js'
import { appendShape } from './requestShape.js'
import { OVERLOAD_KEY, DEFAULT_KEY } from './soakFleet.js'
import { type SoakBox } from './soakMembers.js'

export interface LoadPhaseOptions {
  random: SeededRandom
  boxes: readonly SoakBox[]
}

const DURATION_MS = 4000
const OVERLOAD_PREFIX = 'overload-'
const SLOW_PREFIX = 'slow-'
/** Each holds a stream of a fifth of an engine's memory for a second, several times what three engines have room for. */
const OVERLOAD_CALLERS = 30
const OVERLOAD_STREAM = { events: 10, workMs: 100 }
const OVERLOAD_TOKEN_COUNT = '100,200'
/** Callers of the overloading account retry at once, whatever delay they are given. */
const OVERLOAD_RETRIES = 3
const OVERLOAD_DEADLINE_MS = 5000
const SLOW_READERS = 4
const LARGE_ANSWER_BYTES = 30_000_000
const MEMORY_POLL_INTERVAL_MS = 250

/** Whether a request was sent by the load phase, whose attempts are not recorded one by one. */
export function isOfLoadPhase (id: string): boolean {
  return id.startsWith(OVERLOAD_PREFIX) || id.startsWith(SLOW_PREFIX)
}

/** One account floods the engines with streams and retries, and some callers read nothing of large answers, while the other clients go on. */
export class LoadPhase {
  /** Memory of the largest box during the phase. */
  maxBoxMb = 0
  readonly #opts: LoadPhaseOptions
  readonly #agent = new Agent({ connections: OVERLOAD_CALLERS, pipelining: 1 })
  #attempts = 0
  #untilMs = 0

  constructor (opts: LoadPhaseOptions) {
    this.#opts = opts
  }

  async run (): Promise<void> {
    this.#untilMs = performance.now() + DURATION_MS
    const readers = Array.from({ length: SLOW_READERS }, (_, i) => this.#openSlowReader(i))
    try {
      await Promise.all([...Array.from({ length: OVERLOAD_CALLERS }, () => this.#sendContinuously()), this.#sampleMemory()])
    } finally {
      readers.forEach((reader) => reader.destroy())
      await this.#agent.destroy()
    }
  }

  async #sendContinuously (): Promise<void> {
    while (performance.now() < this.#untilMs) {
      for (let retries = 0; retries <= OVERLOAD_RETRIES && !await this.#sendStream(); retries++);
    }
  }

  /** Returns whether the stream was served. */
  async #sendStream (): Promise<boolean> {
    const id = appendShape(`${OVERLOAD_PREFIX}${this.#attempts++}`, OVERLOAD_STREAM)
    const { addresses } = drawOne(this.#opts.random, this.#opts.boxes)
    try {
      const { statusCode, body } = await request(`http://${addresses.front}/draft/1`, {
        method: 'POST',
        headers: requestHeaders(id, { key: OVERLOAD_KEY, deadlineMs: OVERLOAD_DEADLINE_MS, prompt: Buffer.from(id).toString('hex'), tokenCount: OVERLOAD_TOKEN_COUNT }),
        body: 'brief',
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(OVERLOAD_DEADLINE_MS),
      })
      await body.dump()
      return statusCode === 200
    } catch {
      // Lost answers are injected; what they mean for other clients is checked there.
      return false
    }
  }

  /** Requests a large answer and does not read it. */
  #openSlowReader (i: number): Socket {
    const { addresses } = drawOne(this.#opts.random, this.#opts.boxes)
    const [host, port] = addresses.front.split(':')
    const id = appendShape(`${SLOW_PREFIX}${i}`, { events: 1, workMs: 0, answerBytes: LARGE_ANSWER_BYTES })
    const headers = Object.entries(requestHeaders(id, { key: DEFAULT_KEY })).map(([name, value]) => `${name}: ${value}\r\n`)
    const socket = connect({ host, port: Number(port) })
    socket.on('error', () => {})
    socket.pause()
    socket.write(`GET /fetch/status/1 HTTP/1.1\r\n${headers.join('')}\r\n`)
    return socket
  }

  async #sampleMemory (): Promise<void> {
    while (performance.now() < this.#untilMs) {
      const sizesMb = this.#opts.boxes.filter(({ process }) => process.running).map(({ process }) => measureMemory([process.pid]).pssMb)
      this.maxBoxMb = Math.max(this.maxBoxMb, ...sizesMb)
      await sleep(MEMORY_POLL_INTERVAL_MS)
    }
  }
}
