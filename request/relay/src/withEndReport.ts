import { type ListedUpstream } from '@reelspan/config.fleet'
import { errorMessage } from '@reelspan/core.error'
import { sharedPartsOf } from '@reelspan/request.identity'
import { type EndedRun } from '@reelspan/request.quarantine'
import { type RelayTarget, UpstreamError } from '@reelspan/upstream.client'
import { AnswerFinish, ExchangeProgress } from './exchangeProgress.js'
import { type RelayContext } from './relayContext.js'
import { targetVersionOf } from './targetVersionOf.js'

/** Work that sends the request to an upstream. Records right before that it is sent, and the events of its answer. */
export type SendingWork<T> = (progress: ExchangeProgress) => Promise<T>

/**
 * Runs `work` as an outstanding request, and records how it ended unless its upstream is known to have refused or failed it.
 *
 * @param signal aborted when the work is not needed any more
 */
export async function withEndReport<T> (context: RelayContext, target: RelayTarget, work: SendingWork<T>, signal: AbortSignal): Promise<T> {
  const { opts } = context
  const { runEnds, quarantine } = opts
  const record = new RunRecord(context, target)
  const { progress } = record
  const end = context.paths.trackRequest()
  try {
    const result = await work(progress)
    if (progress.finish === AnswerFinish.Whole) record.recordSound()
    if (progress.finish === AnswerFinish.WithConnection) runEnds.recordUnconfirmed(record.ended('its answer ended with the connection'), (endedAgoMs) => record.recordSound(endedAgoMs))
    return result
  } catch (thrown) {
    if (thrown instanceof UpstreamError && thrown.unreachable && !signal.aborted) context.paths.recordFailure()
    if (progress.sentAtMs === undefined) {
      if (thrown instanceof UpstreamError && thrown.unreachable) runEnds.onUnreachable(target.instance)
      throw thrown
    }
    const answered = thrown instanceof UpstreamError && (thrown.refused || thrown.failed)
    if (answered) throw thrown
    quarantine.recordInterruption(context.identity)
    if (progress.abandoned) runEnds.recordAbandoned(record.ended(errorMessage(thrown)), () => context.silence.recordReceived(target.instance))
    else if (thrown instanceof UpstreamError && thrown.interrupted) void runEnds.recordInterrupted(record.ended(thrown.message))
    throw thrown
  } finally {
    end()
  }
}

/** What is recorded of one run at an upstream. */
class RunRecord {
  readonly progress: ExchangeProgress
  readonly #context: RelayContext
  readonly #target: RelayTarget
  // Determined in advance, since the upstream may have left the list when its answer is interrupted.
  readonly #targetVersion: string
  readonly #upstream?: ListedUpstream

  constructor (context: RelayContext, target: RelayTarget) {
    this.#context = context
    this.#target = target
    this.#targetVersion = targetVersionOf(context, target.instance)
    this.#upstream = context.opts.fleet().upstream(target.instance)
    this.progress = new ExchangeProgress({ clock: context.opts.clock, onSound: (writtenMs) => this.#recordWritten(writtenMs) })
  }

  /** Records that the answer was whole and its upstream has not exited. */
  recordSound (endedAgoMs = 0): void {
    const { opts, identity } = this.#context
    opts.quarantine.recordFinished(identity, endedAgoMs)
    this.#recordWritten(Number.POSITIVE_INFINITY)
  }

  ended (reason: string): EndedRun {
    const { request, route, identity } = this.#context
    return {
      request: request.id,
      route: route.name,
      identity: identity(),
      upstream: this.#target.instance,
      address: this.#target.address,
      sentAtMs: this.progress.sentAtMs as number,
      writtenMs: this.progress.writtenMs,
      targetVersion: this.#targetVersion,
      pool: this.#upstream?.pool,
      availabilityZone: this.#upstream?.availabilityZone,
      reason,
    }
  }

  #recordWritten (writtenMs: number): void {
    const { opts, request } = this.#context
    opts.quarantine.recordSound({ model: request.prompt?.model ?? '', parts: sharedPartsOf(request.prompt), targetVersion: this.#targetVersion }, writtenMs)
  }
}
