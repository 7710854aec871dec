import { type SeededRandom } from '@reelspan/utils.fakes'
import { askDirectory, requestHeaders } from '@reelspan/utils.platform-stand-ins'
import { Agent, request } from 'undici'
import { type Attempt, isStream, RouteKind } from './attempt.js'
import { drawOne } from './drawOne.js'
import { drawShape, idOfShape } from './requestShape.js'
import { CALLERS_KEY, type SoakBox } from './soakFleet.js'

const PATHS: Record<RouteKind, string> = {
  [RouteKind.Once]: '/fetch/1',
  [RouteKind.Repeatable]: '/fetch/status/1',
  [RouteKind.Stream]: '/draft/1',
  [RouteKind.Resumable]: '/reply/1',
}
const CALL_DEADLINE_MS = 1200
const STREAM_DEADLINE_MS = 5000
/** Past the longest stream, with room for one that is taken up again. */
const LONG_STREAM_DEADLINE_MS = 9000
/** Clients give the connection up this long after their deadline. */
const GIVE_UP_MS = 2000
/** Part of the requests whose caller leaves before the end. */
const LEAVING_SHARE = 0.12
const LONGEST_STAY_MS = 1500
/** How long addresses are used by clients that do not ask again when they were told to. */
const HOLD_MS = 30_000

export interface SoakClientOptions {
  random: SeededRandom
  boxes: readonly SoakBox[]
  /** Uses addresses for long after they should be asked for again. */
  holds: boolean
}

/** Sends attempts as the platform's clients do: asks a box which addresses to use, keeps the answer, and uses open connections until they close. */
export class SoakClient {
  readonly attempts: Attempt[] = []
  readonly #name: string
  readonly #opts: SoakClientOptions
  readonly #agent = new Agent({ connections: 4, pipelining: 1, keepAliveTimeout: HOLD_MS, connect: { timeout: 1000 } })
  #addresses: string[] = []
  #keptUntilMs = 0

  constructor (name: string, opts: SoakClientOptions) {
    this.#name = name
    this.#opts = opts
  }

  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  /** Sends one attempt of a random kind. Resolves with it when it has ended. */
  async send (): Promise<Attempt | undefined> {
    const { random } = this.#opts
    const kind = drawOne(random, Object.values(RouteKind))
    const shape = drawShape(random, kind)
    const stayMs = random.nextFloat() < LEAVING_SHARE ? random.nextFloat() * LONGEST_STAY_MS : undefined
    await this.#lookUp()
    if (this.#addresses.length === 0) return undefined
    const box = drawOne(random, this.#addresses)
    const streamDeadlineMs = shape ? LONG_STREAM_DEADLINE_MS : STREAM_DEADLINE_MS
    const deadlineMs = isStream(kind) ? streamDeadlineMs : CALL_DEADLINE_MS
    const id = idOfShape(`${this.#name}-${this.attempts.length}`, shape)
    const attempt: Attempt = { id, kind, box, events: shape?.events, sentAtMs: performance.now(), deadlineMs }
    this.attempts.push(attempt)
    await this.#exchange(attempt, stayMs)
    attempt.endedAtMs = performance.now()
    return attempt
  }

  async #exchange (attempt: Attempt, stayMs?: number): Promise<void> {
    const { id, kind, box, deadlineMs } = attempt
    const leave = new AbortController()
    const leaving = stayMs === undefined ? undefined : setTimeout(() => leaveNow(attempt, leave), stayMs)
    try {
      const response = await request(`http://${box}${PATHS[kind]}`, {
        method: kind === RouteKind.Repeatable ? 'GET' : 'POST',
        headers: requestHeaders(id, { key: CALLERS_KEY, deadlineMs, prompt: isStream(kind) ? Buffer.from(id).toString('hex') : undefined }),
        body: kind === RouteKind.Repeatable ? undefined : 'brief',
        dispatcher: this.#agent,
        signal: AbortSignal.any([leave.signal, AbortSignal.timeout(deadlineMs + GIVE_UP_MS)]),
      })
      attempt.status = response.statusCode
      attempt.retryAfter = response.headers['retry-after'] as string | undefined
      attempt.body = ''
      for await (const bytes of response.body) attempt.body += String(bytes)
    } catch (thrown) {
      attempt.error = thrown instanceof Error ? `${thrown.name}: ${thrown.message}` : String(thrown)
    } finally {
      clearTimeout(leaving)
    }
  }

  async #lookUp (): Promise<void> {
    if (performance.now() < this.#keptUntilMs) return
    const { addresses: { directory } } = drawOne(this.#opts.random, this.#opts.boxes)
    const answer = await askDirectory(directory, this.#agent)
    if (!answer) return
    this.#addresses = answer.addresses
    this.#keptUntilMs = performance.now() + (this.#opts.holds ? HOLD_MS : answer.keepMs)
  }
}

function leaveNow (attempt: Attempt, leave: AbortController): void {
  attempt.leftAtMs = performance.now()
  leave.abort()
}
