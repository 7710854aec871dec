import { type FleetList, type ListedUpstream, softwareVersionOf } from '@reelspan/config.fleet'
import { type Clock } from '@reelspan/core.env'
import { Verdict } from '@reelspan/core.error'
import { type CachedPart, type EngineTraces, UpstreamError } from '@reelspan/upstream.client'

export interface EngineWitnessesOptions {
  clock: Clock
  /** Reads what an engine knows of its runs. Undefined if it does not tell. May throw. */
  readTraces: (engine: ListedUpstream, opts: { timeoutMs: number }) => Promise<EngineTraces | undefined>
  fleet: () => FleetList
  /** The pools of each model. */
  poolsOfModels: () => ReadonlyMap<string, readonly string[]>
}

/** A stream that engines may have run. */
export interface SoughtRun {
  /** The attempt that began it. */
  attempt?: string
  model: string
  /** The part of its prompt that no other request shares. */
  ownPart?: CachedPart
}

/** What engines tell of a stream. */
export interface Testimony {
  /** Versions of the engines that have generated something for it. */
  versions: string[]
  /** Whether an engine of another version may have run it too, since it accepts connections and did not answer. */
  isContested: boolean
  /** Names of the engines that have generated something for it. */
  witnesses: string[]
  /** Names of the engines that were asked and did not answer. */
  unanswered: string[]
  /** Whether any of them accepts connections, so that another try may bring more. */
  isIncomplete: boolean
  asked: number
}

type Answer = EngineTraces | NoAnswer

interface Reading {
  atMs: number
  answer: Promise<Answer>
}

/** Why an engine tells nothing. */
enum NoAnswer {
  /** It accepts no connections, so it is most likely gone. */
  Unreachable,
  Unanswered,
}

/** An engine that does not answer is asked again, for longer: this box may have been held up itself. */
const READ_TIMEOUTS_MS: readonly number[] = [100, 300]
/** Streams that are taken up together share one reading. */
const MAX_READING_AGE_MS = 300
/** With more engines none is asked: each box would ask all of them. */
const MAX_ENGINES = 128

/** Finds out from the engines themselves which software version ran a stream. */
export class EngineWitnesses {
  readonly #opts: EngineWitnessesOptions
  /** The last reading of each engine, by name. */
  readonly #readings = new Map<string, Reading>()

  constructor (opts: EngineWitnessesOptions) {
    this.#opts = opts
  }

  /** Asks all engines of the stream's model. */
  async find (sought: SoughtRun): Promise<Testimony> {
    const engines = this.#enginesOf(sought.model)
    if (engines.length > MAX_ENGINES) return { versions: [], isContested: false, witnesses: [], unanswered: [], isIncomplete: false, asked: 0 }
    this.#retain(engines)
    const answers = await Promise.all(engines.map(async (engine) => ({ engine, answer: await this.#read(engine) })))
    const witnesses = answers.filter(({ answer }) => typeof answer === 'object' && hasGenerated(answer, sought)).map(({ engine }) => engine)
    const versions = [...new Set(witnesses.map(softwareVersionOf))]
    return {
      versions,
      isContested: versions.length > 0 && answers.some(({ engine, answer }) => answer === NoAnswer.Unanswered && !versions.includes(softwareVersionOf(engine))),
      witnesses: witnesses.map(({ name }) => name),
      unanswered: answers.filter(({ answer }) => typeof answer !== 'object').map(({ engine: { name } }) => name),
      isIncomplete: answers.some(({ answer }) => answer === NoAnswer.Unanswered),
      asked: engines.length,
    }
  }

  /** Engines that change their role keep what they have cached. */
  #enginesOf (model: string): ListedUpstream[] {
    const pools = this.#opts.poolsOfModels().get(model) ?? []
    return this.#opts.fleet().upstreams.filter(({ pool }) => pools.includes(pool))
  }

  #read (engine: ListedUpstream): Promise<Answer> {
    const nowMs = this.#opts.clock.nowMs()
    const last = this.#readings.get(engine.name)
    if (last && nowMs - last.atMs <= MAX_READING_AGE_MS) return last.answer
    const answer = this.#ask(engine)
    this.#readings.set(engine.name, { atMs: nowMs, answer })
    return answer
  }

  async #ask (engine: ListedUpstream, [timeoutMs, ...laterTimeoutsMs] = READ_TIMEOUTS_MS): Promise<Answer> {
    try {
      return await this.#opts.readTraces(engine, { timeoutMs }) ?? NoAnswer.Unanswered
    } catch (thrown) {
      // The client logs the failure.
      if (thrown instanceof UpstreamError && thrown.unreachable && thrown.verdict === Verdict.NotRun) return NoAnswer.Unreachable
      return laterTimeoutsMs.length > 0 ? this.#ask(engine, laterTimeoutsMs) : NoAnswer.Unanswered
    }
  }

  #retain (engines: readonly ListedUpstream[]): void {
    const names = new Set(engines.map(({ name }) => name));
    [...this.#readings.keys()].filter((name) => !names.has(name)).forEach((name) => this.#readings.delete(name))
  }
}

/** A prompt that was only computed is cached without anything behind it. */
function hasGenerated ({ runs, cachedParts }: EngineTraces, { attempt, ownPart }: SoughtRun): boolean {
  return runs.some(({ requestId, events }) => requestId === attempt && events > 0) ||
    cachedParts.some(({ digest, tokens }) => digest === ownPart?.digest && tokens > ownPart.tokens)
}
