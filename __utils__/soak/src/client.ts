import { SeededRandom } from '@reelspan/utils.fakes'
import { queryDirectory, requestHeaders, signatureOf } from '@reelspan/utils.platform-stand-ins'
import { Agent, request } from 'undici'
import { type Attempt, isStream, RouteKind } from './attempt.js'
import { drawOne } from './drawOne.js'
import { drawLongShape, drawShape, appendShape, parseShape } from './requestShape.js'
import { DEFAULT_KEY } from './soakFleet.js'
import { type SoakBox } from './soakMembers.js'

const PATHS: Record<RouteKind, string> = {
  [RouteKind.Once]: '/fetch/1',
  [RouteKind.Repeatable]: '/fetch/status/1',
  [RouteKind.Stream]: '/draft/1',
  [RouteKind.Resumable]: '/reply/1',
}
const STREAM_KINDS = Object.values(RouteKind).filter(isStream)
const OK = 200
const CALL_DEADLINE_MS = 1200
const STREAM_DEADLINE_MS = 5000
/** Longer than the longest stream, including one that is resumed. */
const LONG_STREAM_DEADLINE_MS = 9000
/** Clients close the connection this long after the deadline of a request. */
const CLIENT_TIMEOUT_SLACK_MS = 2000
/** Share of the requests that the client aborts before their end. */
const ABORTED_SHARE = 0.12
const MAX_ABORT_DELAY_MS = 1500
const MAX_TAKE_UPS = 2
/** Take-ups have a sequence of their own, so that the requests of a seed stay the same. */
const TAKE_UP_SEED = 56
/** How long clients that ignore the TTL of addresses use them, and how long all clients keep idle connections. */
const LONG_RETENTION_MS = 30_000

export interface SoakClientOptions {
  random: SeededRandom
  boxes: readonly SoakBox[]
  /** Whether the client uses addresses long past their TTL. */
  holds: boolean
  /** Whether it requests long streams alone. */
  longStreams?: boolean
}

/** Sends requests as the platform's clients do: asks a box which addresses to use, caches the answer, and reuses open connections until they close. */
export class SoakClient {
  readonly attempts: Attempt[] = []
  readonly #name: string
  readonly #opts: SoakClientOptions
  readonly #takeUpRandom = new SeededRandom(TAKE_UP_SEED)
  readonly #agent = new Agent({ connections: 4, pipelining: 1, keepAliveTimeout: LONG_RETENTION_MS, connect: { timeout: 1000 } })
  #addresses: string[] = []
  #addressesExpireAtMs = 0

  constructor (name: string, opts: SoakClientOptions) {
    this.#name = name
    this.#opts = opts
  }

  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  /** Sends one request of a random kind. Resolves with the attempt when it has ended, or with nothing while no box address is known. */
  async send (): Promise<Attempt | undefined> {
    const { random, longStreams } = this.#opts
    const kind = drawOne(random, longStreams ? STREAM_KINDS : Object.values(RouteKind))
    const shape = longStreams ? drawLongShape(random, kind) : drawShape(random, kind)
    const abortAfterMs = random.nextFloat() < ABORTED_SHARE ? random.nextFloat() * MAX_ABORT_DELAY_MS : undefined
    await this.#refreshAddresses()
    if (this.#addresses.length === 0) return undefined
    const box = drawOne(random, this.#addresses)
    const streamDeadlineMs = shape ? LONG_STREAM_DEADLINE_MS : STREAM_DEADLINE_MS
    const deadlineMs = isStream(kind) ? streamDeadlineMs : CALL_DEADLINE_MS
    const id = appendShape(`${this.#name}-${this.attempts.length}`, shape)
    const attempt: Attempt = { id, kind, box, events: shape?.events, sentAtMs: performance.now(), deadlineMs }
    this.attempts.push(attempt)
    await this.#exchange(attempt, abortAfterMs)
    await this.#takeUp(attempt)
    return attempt
  }

  /** Takes a stream up that has broken off, at most twice, each time at a box drawn anew. */
  async #takeUp (first: Attempt): Promise<void> {
    let last = first
    let after = lastEventOf(first)
    for (let tries = 0; tries < MAX_TAKE_UPS && last.kind === RouteKind.Resumable && last.error !== undefined && after !== undefined; tries++) {
      await this.#refreshAddresses()
      if (this.#addresses.length === 0) return
      const { kind, deadlineMs, events } = first
      const shape = parseShape(first.id)
      const id = appendShape(`${this.#name}-${this.attempts.length}`, shape)
      last = { id, kind, deadlineMs, events, box: drawOne(this.#takeUpRandom, this.#addresses), sentAtMs: performance.now(), resumes: { attempt: first.id, after } }
      this.attempts.push(last)
      await this.#exchange(last)
      after = lastEventOf(last) ?? after
    }
  }

  async #exchange (attempt: Attempt, abortAfterMs?: number): Promise<void> {
    const { id, kind, box, deadlineMs, resumes } = attempt
    const abortController = new AbortController()
    const abortTimer = abortAfterMs === undefined ? undefined : setTimeout(() => abortAttempt(attempt, abortController), abortAfterMs)
    try {
      const response = await request(`http://${box}${PATHS[kind]}`, {
        method: kind === RouteKind.Repeatable ? 'GET' : 'POST',
        headers: {
          ...requestHeaders(id, { key: DEFAULT_KEY, deadlineMs, prompt: isStream(kind) ? Buffer.from(resumes?.attempt ?? id).toString('hex') : undefined }),
          ...resumes === undefined ? {} : { 'Last-Event-Id': String(resumes.after), Resumes: resumes.attempt },
        },
        body: kind === RouteKind.Repeatable ? undefined : 'brief',
        dispatcher: this.#agent,
        signal: AbortSignal.any([abortController.signal, AbortSignal.timeout(deadlineMs + CLIENT_TIMEOUT_SLACK_MS)]),
      })
      attempt.status = response.statusCode
      attempt.retryAfter = response.headers['retry-after'] as string | undefined
      attempt.unsigned = signatureOf(response.headers) === undefined
      attempt.body = ''
      for await (const bytes of response.body) attempt.body += String(bytes)
    } catch (thrown) {
      attempt.error = thrown instanceof Error ? `${thrown.name}: ${thrown.message}` : String(thrown)
    } finally {
      clearTimeout(abortTimer)
      attempt.endedAtMs = performance.now()
    }
  }

  async #refreshAddresses (): Promise<void> {
    if (performance.now() < this.#addressesExpireAtMs) return
    const { addresses: { directory } } = drawOne(this.#opts.random, this.#opts.boxes)
    const answer = await queryDirectory(directory, this.#agent)
    if (!answer) return
    this.#addresses = answer.addresses
    this.#addressesExpireAtMs = performance.now() + (this.#opts.holds ? LONG_RETENTION_MS : answer.keepMs)
  }
}

/** Id of the last complete event that a client received of a stream. */
function lastEventOf ({ status, body = '' }: Attempt): number | undefined {
  const ids = status === OK ? body.split('\n\n').slice(0, -1).map((event) => Number(/^id: (\d+)/.exec(event)?.[1])) : []
  return ids.at(-1)
}

function abortAttempt (attempt: Attempt, abortController: AbortController): void {
  attempt.abortedAtMs = performance.now()
  abortController.abort()
}
