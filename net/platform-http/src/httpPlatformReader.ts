import { type Clock, withDeadline } from '@reelspan/core.env'
import { ErrorCode, errorMessage, ReelspanError } from '@reelspan/core.error'
import { PlatformReader, type PlatformReadOptions, type RevisionedContent } from '@reelspan/config.store'
import { type Collection } from '@reelspan/core.messages'
import { AnswerKind, type OversizedAnswerListener, readAnswer } from '@reelspan/net.system-env'
import { Agent, request } from 'undici'
import { z } from 'zod'

export interface HttpPlatformReaderOptions {
  clock: Clock
  /** `ip:port` of the platform's read service; tried in order. */
  addresses: readonly string[]
  /** Timeout of a response, from the end of its wait. */
  timeoutMs: number
  onOversized?: OversizedAnswerListener
}

const contentSchema = z.object({
  revision: z.number().int().nonnegative(),
  full: z.boolean(),
  changes: z.array(z.object({
    kind: z.string(),
    name: z.string(),
    revision: z.number().int().nonnegative(),
    spec: z.unknown(),
  })),
})

const MAX_CONNECTIONS = 4
/** A collection also passes between boxes, in one message of at most this size. */
const MAX_CONTENT_BYTES = 16_000_000

/** Reads the platform's published collections: `GET /v1/<collection>?since=<revision>&waitMs=<ms>`. */
export class HttpPlatformReader extends PlatformReader {
  readonly #opts: HttpPlatformReaderOptions
  #agent = new Agent({ connections: MAX_CONNECTIONS })
  #lastAnswerMs = Number.NEGATIVE_INFINITY

  constructor (opts: HttpPlatformReaderOptions) {
    super()
    this.#opts = opts
  }

  /** When the platform last answered, on this process's clock. */
  get lastAnswerMs (): number {
    return this.#lastAnswerMs
  }

  async read (collection: Collection, sinceRevision: number, opts: PlatformReadOptions): Promise<RevisionedContent> {
    const failures: string[] = []
    for (const address of this.#opts.addresses) {
      try {
        return await this.#readFrom(address, collection, sinceRevision, opts)
      } catch (thrown) {
        failures.push(`${address}: ${errorMessage(thrown)}`)
      }
    }
    throw new ReelspanError(ErrorCode.PlatformUnavailable, failures.join('; '))
  }

  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  async #readFrom (address: string, collection: Collection, sinceRevision: number, { waitMs, signal }: PlatformReadOptions): Promise<RevisionedContent> {
    const { clock, timeoutMs, onOversized } = this.#opts
    const agent = this.#agent
    return withDeadline(clock, { timeoutMs: waitMs + timeoutMs, signal }, async (deadlineSignal) => {
      try {
        const response = await request(`http://${address}/v1/${collection}?since=${sinceRevision}&waitMs=${waitMs}`, { dispatcher: agent, signal: deadlineSignal, headersTimeout: 0, bodyTimeout: 0 })
        if (response.statusCode !== 200) {
          await response.body.dump()
          throw new ReelspanError(ErrorCode.PlatformUnavailable, `status ${response.statusCode}`)
        }
        const content = contentSchema.parse(JSON.parse((await readAnswer(response.body, { kind: AnswerKind.Platform, address, maxBytes: MAX_CONTENT_BYTES, onOversized })).toString()))
        this.#lastAnswerMs = clock.nowMs()
        return content
      } finally {
        if (deadlineSignal.aborted && !signal?.aborted) this.#replaceAgent(agent)
      }
    })
  }

  /** Opens new connections for the next reads, since all may have become unresponsive at once. Old ones are closed after their pending responses or timeouts. */
  #replaceAgent (agent: Agent): void {
    if (this.#agent !== agent) return
    this.#agent = new Agent({ connections: MAX_CONNECTIONS })
    void agent.close()
  }
}
