import { setTimeout as sleep } from 'node:timers/promises'
import { type SeededRandom } from '@reelspan/utils.fakes'
import { requestHeaders, Role } from '@reelspan/utils.platform-stand-ins'
import { Agent, type Dispatcher, request } from 'undici'
import { type Attempt } from './attempt.js'
import { CRASH_VARIANTS, CRASHING_PREFIX, isOfCrashPhase } from './crashVariant.js'
import { drawOne } from './drawOne.js'
import { DEFAULT_KEY, type SoakFleet } from './soakFleet.js'

export interface CrashPhaseOptions {
  fleet: SoakFleet
  random: SeededRandom
  /** All attempts of the clients so far. */
  attempts: () => readonly Attempt[]
}

const CRASHING_PART = 'cc'
const DURATION_MS = 9000
const SEND_INTERVALS_MS = [200, 400, 800]
const MAX_CHANCE_EXITS = 2
const CHANCE_EXIT_DOWN_MS = 1000
const DEADLINE_MS = 4000
/** Boxes know of an exit by then, and no time bound holds before. */
const CONTACT_MS = 1000
const KNOWN_AFTER_EXITS = 5
const MAX_LATE_REQUESTS = 3
/** With three decode engines, exits one after the other take most of them down until the part is known. */
const MIN_SERVED_SHARE = 0.9
const MIN_ATTEMPTS = 10
/** Retry delays of refusals for other reasons are far shorter. */
const MIN_QUARANTINE_S = 60

/** Requests with one prompt part crash the engines that write an answer to it, no two alike, in one of several ways, while clients go on and engines exit by chance. */
export class CrashPhase {
  readonly violations: string[] = []
  readonly log: string[] = []
  readonly #opts: CrashPhaseOptions
  readonly #agent = new Agent({ connections: 8, pipelining: 1 })

  constructor (opts: CrashPhaseOptions) {
    this.#opts = opts
  }

  async run (): Promise<void> {
    const { fleet, random } = this.#opts
    const fromMs = performance.now()
    const everyMs = drawOne(random, SEND_INTERVALS_MS)
    const position = random.nextInt(2)
    const chanceExits = this.#exitByChance(random.nextInt(MAX_CHANCE_EXITS + 1))
    const variant = drawOne(random, CRASH_VARIANTS)
    fleet.crashing = { ...variant, part: CRASHING_PART }
    const sending: Promise<void>[] = []
    for (let i = 0; performance.now() < fromMs + DURATION_MS; i++) {
      sending.push(this.#send(i, position))
      await sleep(everyMs)
    }
    const toMs = performance.now()
    await Promise.all([...sending, chanceExits])
    await this.#agent.destroy()
    this.#check({ fromMs, toMs, everyMs, variant: variant.name })
  }

  async #exitByChance (count: number): Promise<void> {
    const { fleet, random } = this.#opts
    for (let i = 0; i < count; i++) {
      await sleep(DURATION_MS / (2 * MAX_CHANCE_EXITS))
      const running = fleet.replicas.filter(({ role, listed, leaving }) => role === Role.Decode && listed && !leaving)
      if (running.length > 1) await fleet.crashUpstream(drawOne(random, running), CHANCE_EXIT_DOWN_MS)
    }
  }

  async #send (nth: number, position: number): Promise<void> {
    const { fleet, random } = this.#opts
    const id = `${CRASHING_PREFIX}${nth}`
    const sharedParts = ['aa', `b${nth % 3}`].toSpliced(position, 0, CRASHING_PART)
    const headers = requestHeaders(id, { key: DEFAULT_KEY, deadlineMs: DEADLINE_MS, prompt: Buffer.from(id).toString('hex'), sharedParts })
    const { addresses } = drawOne(random, fleet.boxes)
    // What becomes of these requests is seen at the engines.
    await request(`http://${addresses.front}/reply/1`, { method: 'POST', headers, body: 'brief', dispatcher: this.#agent, signal: AbortSignal.timeout(DEADLINE_MS) })
      .then(({ body }) => this.#readAnswer(body))
      .catch(() => {})
  }

  async #readAnswer (body: Dispatcher.ResponseData['body']): Promise<void> {
    const leaveAfterMs = this.#opts.fleet.crashing?.leaveAfterMs
    if (leaveAfterMs === undefined) return body.dump()
    body.on('error', () => {})
    await sleep(leaveAfterMs)
    body.destroy()
  }

  #check ({ fromMs, toMs, everyMs, variant }: { fromMs: number, toMs: number, everyMs: number, variant: string }): void {
    const { fleet, attempts } = this.#opts
    const crashes = fleet.crashes.filter(({ atMs }) => atMs >= fromMs)
    const knownAtMs = (crashes[KNOWN_AFTER_EXITS - 1] ?? crashes.at(-1))?.atMs ?? fromMs
    const late = new Set(fleet.arrivals.filter(({ id, atMs }) => isOfCrashPhase(id) && crashes.length >= KNOWN_AFTER_EXITS && atMs > knownAtMs + CONTACT_MS).map(({ id }) => id))
    const later = attempts().filter(({ sentAtMs, endedAtMs, abortedAtMs, wasStalled, resumes }) =>
      resumes === undefined && sentAtMs >= knownAtMs + 2 * CONTACT_MS && sentAtMs < toMs && endedAtMs !== undefined && abortedAtMs === undefined && !wasStalled)
    const served = later.filter(({ status, error }) => status === 200 && error === undefined).length
    const quarantined = attempts().filter(({ status, retryAfter = '' }) => status === 503 && Number(retryAfter) > MIN_QUARANTINE_S)
    this.log.push(`a crashing prompt part every ${everyMs} ms, ${variant}: ${crashes.length} crashes, ${late.size} late requests, ${served} of ${later.length} others served afterwards`)
    if (crashes.length === 0) this.violations.push('no engine crashed because of the prompt part')
    if (late.size > MAX_LATE_REQUESTS) this.violations.push(`${late.size} requests with a crashing prompt part reached engines though it must have been known`)
    if (later.length >= MIN_ATTEMPTS && served < MIN_SERVED_SHARE * later.length) this.violations.push(`beside a crashing prompt part only ${served} of ${later.length} attempts were served`)
    if (quarantined.length > 0) this.violations.push(`attempts without the crashing prompt part were quarantined: ${quarantined.map(({ id }) => id).join(', ')}`)
  }
}
