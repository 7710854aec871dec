import { type ListedUpstream } from '@reelspan/config.fleet'
import { type Attempt } from './attempt.js'
import { type AttemptFailure, AttemptRace } from './attemptRace.js'
import { NextUpstream } from './nextUpstream.js'
import { pickPermittedUpstream } from './pickPermittedUpstream.js'
import { type RelayContext } from './relayContext.js'

/** Bound on attempts including failed connections, which do not count toward the attempts of a route. */
export const MAX_ATTEMPTS = 6

/** What all attempts at one call to a service share. */
export class ServiceState {
  readonly context: RelayContext
  readonly pool: string
  readonly race: AttemptRace
  readonly next: NextUpstream
  /** Upstreams of the attempts. */
  readonly tried = new Set<string>()
  /** Attempts that were begun. */
  attempts = 0
  /** Times that the request was sent to an upstream. */
  sent = 0
  /** Whether an upstream has answered. */
  answered = false

  constructor (context: RelayContext, pool: string, onFailedBeside: (failure: AttemptFailure) => void) {
    this.context = context
    this.pool = pool
    this.race = new AttemptRace(onFailedBeside)
    this.next = new NextUpstream(async () => (await pickPermittedUpstream(context, pool, this.tried)).picked)
  }

  /** Calls of different routes to one pool differ in duration. */
  get kind (): string {
    return `${this.context.route.name}|${this.pool}`
  }

  get candidates (): readonly ListedUpstream[] {
    return this.context.opts.fleet().takingWork(this.pool)
  }

  /** Whether the request may be sent once more beside the attempts that are open, apart from the retry budget. */
  get mayRepeat (): boolean {
    const { notRepeatable, maxAttempts } = this.context.route.spec
    return !notRepeatable && this.sent < maxAttempts && this.attempts < MAX_ATTEMPTS
  }

  /** Called before an attempt passes on a part of the answer. Throws if another one has done so first. */
  claim (attempt: Attempt): void {
    this.race.claim(attempt)
    this.next.close()
  }
}
