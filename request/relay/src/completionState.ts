import { type PromptSizes } from '@reelspan/upstream.client'
import { AttemptRace, type AttemptFailure } from './attemptRace.js'
import { CompletionPlacer } from './completionPlacer.js'
import { EngineChecks } from './engineChecks.js'
import { EventProgress } from './eventProgress.js'
import { type RelayContext } from './relayContext.js'
import { StreamVersion } from './streamVersion.js'

/** What all attempts at one completion share. */
export class CompletionState {
  readonly context: RelayContext
  readonly model: string
  readonly prompt: PromptSizes
  /** Engines that are not tried again. */
  readonly failedEngines = new Set<string>()
  /** Decode engines to which the request was sent, here or by another box. */
  readonly decodeEngines = new Set<string>()
  readonly version: StreamVersion
  readonly checks: EngineChecks
  readonly placer: CompletionPlacer
  readonly race: AttemptRace
  /** Attempts that got a place. */
  placements = 0
  /** The part of the stream that the caller has. */
  progress = new EventProgress()

  constructor (context: RelayContext, model: string, prompt: PromptSizes, onFailedBeside: (failure: AttemptFailure) => void) {
    this.context = context
    this.model = model
    this.prompt = prompt
    this.version = new StreamVersion(context, model)
    this.checks = new EngineChecks(context, this.version, this.failedEngines)
    this.placer = new CompletionPlacer(context, model, prompt, { failed: this.failedEngines, progress: () => this.progress, version: this.version })
    this.race = new AttemptRace(onFailedBeside)
  }

  /** Whether the request may be sent to one more decode engine, apart from the retry budget. */
  get hasAttemptsLeft (): boolean {
    const { resumable, maxAttempts } = this.context.route.spec
    return resumable === true && this.decodeEngines.size < maxAttempts
  }

  /** An answer that has begun can be resumed only behind an event with an id, or if it has no complete event yet. */
  get canResume (): boolean {
    return !this.context.caller.begun || (!this.progress.oversized && (this.progress.lastId !== undefined || this.progress.events === 0))
  }

  /** Whether another engine could continue the request now if this one failed. */
  get mayRetryElsewhere (): boolean {
    return this.hasAttemptsLeft && this.context.budget.left >= 1 && this.canResume
  }

  /** Whether another attempt may be made, apart from the retry budget. */
  get mayAttemptAgain (): boolean {
    const { run, route: { spec } } = this.context
    return this.canResume && !(run.mayHaveRun && !spec.resumable) && this.decodeEngines.size < spec.maxAttempts
  }
}
