import { type SeededRandom } from '@reelspan/utils.fakes'
import { askDirectory, requestHeaders } from '@reelspan/utils.platform-stand-ins'
import { Agent, request } from 'undici'
import { type Attempt, RouteKind } from './attempt.js'
import { drawOne } from './drawOne.js'
import { type SoakBox } from './soakFleet.js'

const PATHS: Record<RouteKind, string> = {
  [RouteKind.Once]: '/fetch/1',
  [RouteKind.Repeatable]: '/fetch/status/1',
  [RouteKind.Stream]: '/draft/1',
  [RouteKind.Resumable]: '/reply/1',
}
const CALL_DEADLINE_MS = 1200
const STREAM_DEADLINE_MS = 5000
/** Clients give the connection up this long after their deadline. */
const GIVE_UP_MS = 2000

/** Sends attempts as the platform's clients do: asks a box which addresses to use, keeps the answer, and uses open connections until they close. */
export class SoakClient {
  readonly attempts: Attempt[] = []
  readonly #random: SeededRandom
  readonly #boxes: readonly SoakBox[]
  readonly #name: string
  /** Nothing but planned work goes on, and has for some time. */
  readonly #isCalm: () => boolean
  readonly #agent = new Agent({ connections: 4, pipelining: 1, connect: { timeout: 1000 } })
  #addresses: string[] = []
  #keptUntilMs = 0

  constructor (name: string, opts: { random: SeededRandom, boxes: readonly SoakBox[], isCalm: () => boolean }) {
    this.#name = name
    this.#random = opts.random
    this.#boxes = opts.boxes
    this.#isCalm = opts.isCalm
  }

  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  /** Sends one attempt of a random kind. Resolves with it when it has ended. */
  async send (): Promise<Attempt | undefined> {
    const kind = drawOne(this.#random, Object.values(RouteKind))
    await this.#lookUp()
    if (this.#addresses.length === 0) return undefined
    const box = drawOne(this.#random, this.#addresses)
    const deadlineMs = kind === RouteKind.Stream || kind === RouteKind.Resumable ? STREAM_DEADLINE_MS : CALL_DEADLINE_MS
    const attempt: Attempt = { id: `${this.#name}-${this.attempts.length}`, kind, box, sentAtMs: performance.now(), deadlineMs }
    this.attempts.push(attempt)
    const wasCalm = this.#isCalm()
    await this.#exchange(attempt)
    attempt.endedAtMs = performance.now()
    attempt.calm = wasCalm && this.#isCalm()
    return attempt
  }

  async #exchange (attempt: Attempt): Promise<void> {
    const { id, kind, box, deadlineMs } = attempt
    const isStream = kind === RouteKind.Stream || kind === RouteKind.Resumable
    try {
      const response = await request(`http://${box}${PATHS[kind]}`, {
        method: kind === RouteKind.Repeatable ? 'GET' : 'POST',
        headers: requestHeaders(id, { deadlineMs, prompt: isStream ? Buffer.from(id).toString('hex') : undefined }),
        body: kind === RouteKind.Repeatable ? undefined : 'brief',
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(deadlineMs + GIVE_UP_MS),
      })
      attempt.status = response.statusCode
      attempt.retryAfter = response.headers['retry-after'] as string | undefined
      attempt.body = ''
      for await (const bytes of response.body) attempt.body += String(bytes)
    } catch (thrown) {
      attempt.error = thrown instanceof Error ? `${thrown.name}: ${thrown.message}` : String(thrown)
    }
  }

  async #lookUp (): Promise<void> {
    if (performance.now() < this.#keptUntilMs) return
    const { addresses: { directory } } = drawOne(this.#random, this.#boxes)
    const answer = await askDirectory(directory, this.#agent)
    if (!answer) return
    this.#addresses = answer.addresses
    this.#keptUntilMs = performance.now() + answer.keepMs
  }
}
