import { storeRevisionOf } from '@reelspan/config.store'
import { UpstreamError } from '@reelspan/upstream.client'
import { type RelayContext } from './relayContext.js'
import { type StreamVersion } from './streamVersion.js'
import { targetVersionOf } from './targetVersionOf.js'

/** Checks engines right before each send, since what a scheduler knew when it placed a request may have changed. */
export class EngineChecks {
  readonly #context: RelayContext
  readonly #version: StreamVersion
  readonly #failedEngines: Set<string>

  /** @param failedEngines receives the engines that are refused */
  constructor (context: RelayContext, version: StreamVersion, failedEngines: Set<string>) {
    this.#context = context
    this.#version = version
    this.#failedEngines = failedEngines
  }

  /** The engine may have begun to drain or asked this box to back off after the scheduler's last update. */
  checkMaySend (engine: string): void {
    const { opts } = this.#context
    const backoffMs = opts.backoffs.remainingMs(engine)
    if (opts.fleet().takesWork(engine) && backoffMs === 0) return
    const reason = backoffMs > 0 ? `asked this box to back off for another ${Math.ceil(backoffMs)} ms` : `does not accept new work according to revision ${storeRevisionOf(opts.fleetRevision()).revision} of the upstream list`
    this.#refuse(engine, `${engine} ${reason}`)
  }

  /** A scheduler of an earlier build does not know which software version began the stream, and an engine's entry may have changed since it placed it. */
  checkMayDecode (engine: string): void {
    this.checkMaySend(engine)
    const { opts, identity } = this.#context
    const isBanned = opts.quarantine.bannedVersions(identity).includes(targetVersionOf(this.#context, engine))
    if (isBanned) this.#refuse(engine, `parts of the prompt crash engines of the software version of ${engine}`)
    if (!this.#version.allows(engine)) this.#refuse(engine, `${engine} is not of the software version «${this.#version.fixed}» that began the stream`)
  }

  #refuse (engine: string, reason: string): never {
    this.#failedEngines.add(engine)
    throw new UpstreamError(reason, { mayHaveRun: false, refused: true })
  }
}
