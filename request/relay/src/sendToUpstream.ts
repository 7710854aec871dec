import { STOPPED } from '@reelspan/core.env'
import { LogEvent } from '@reelspan/telemetry.log'
import { type PrefilledPrompt, type RelayAnswer, type RelayCallOptions, type RelayRunOptions, type RelayTarget, UpstreamError } from '@reelspan/upstream.client'
import { type SendPermit } from '@reelspan/upstream.limits'
import { listedVersion } from './listedVersion.js'
import { withCheckedEnd } from './answerEnd.js'
import { discardAnswer } from './discardAnswer.js'
import { isRepeatable } from './isRepeatable.js'
import { isUnsignedSuccess } from './isUnsignedSuccess.js'
import { type RelayContext } from './relayContext.js'
import { withCheckedStart } from './withCheckedStart.js'

/** The answer of another start than the expected one. */
const MISDIRECTED = 421
/** How upstreams refuse requests that exceed their capacity. Other refusals, such as that of a later start at the same address, say nothing about it. */
const FULL_STATUSES: readonly number[] = [429, 503]

/** To callers these statuses promise that a request has not run. Upstreams that do not say so themselves may have run it. */
const PROMISING_STATUSES: readonly number[] = [408, MISDIRECTED, ...FULL_STATUSES]

/**
 * An upstream with the permit to send it one request. Every request needs a permit: an upstream's limit is shared
 * by all boxes, and no box sees what the others send.
 */
export interface PermittedTarget {
  target: RelayTarget
  permit: SendPermit
}

/**
 * Sends a request to the upstream that runs it. From then on it may have run, unless the
 * upstream reports that it did not. Throws `UpstreamError`, as does the answer's body if it is not whole.
 */
export function sendToUpstream (context: RelayContext, to: PermittedTarget, runOptions: RelayRunOptions): Promise<RelayAnswer> {
  const { opts, run, request, route, logDecision, caller } = context
  const { buffer } = caller
  const { target } = to
  if (request.account !== undefined) buffer?.assignTo(request.account)
  return run.dispatchOnSend(async (sent) => {
    let sentAtMs = opts.clock.nowMs()
    const onSend = () => {
      sentAtMs = opts.clock.nowMs()
      sent()
      context.onSent?.(target.instance, listedVersion(opts, target.instance) ?? '')
      runOptions.onSend?.()
    }
    const cancelled = new AbortController()
    const signal = AbortSignal.any([runOptions.signal, cancelled.signal])
    const answer = { ...await opts.upstreams.run(target, request, withAccounting(context, to, { ...runOptions, signal, buffer, onSend })), cancel: () => cancelled.abort(STOPPED) }
    if (answer.status !== MISDIRECTED) opts.runEnds.onSignOfLife(target.instance, sentAtMs)
    if (answer.notRun) {
      logDecision(LogEvent.UpstreamRefused, { upstream: target.instance, status: answer.status, ...answer.use, sentAgoMs: Math.round(opts.clock.nowMs() - sentAtMs), atMs: Math.round(run.elapsedMs) })
      discardAnswer(context, target.instance, answer)
      throw new UpstreamError(`${target.instance} responded with ${answer.status} without running the request`, { mayHaveRun: false, refused: true, full: FULL_STATUSES.includes(answer.status) })
    }
    if (PROMISING_STATUSES.includes(answer.status) && !isRepeatable(route.spec)) {
      discardAnswer(context, target.instance, answer)
      throw new UpstreamError(`${target.instance} responded with ${answer.status} and may have run the request`, { mayHaveRun: true, failed: true })
    }
    // A continued answer keeps the head of its first upstream.
    if (isUnsignedSuccess(answer) && !caller.begun) {
      opts.metrics.count('reelspan_unsigned_answers_total')
      logDecision(LogEvent.AnswerUnsigned, { upstream: target.instance, status: answer.status, ...answer.use, sentAgoMs: Math.round(opts.clock.nowMs() - sentAtMs), atMs: Math.round(run.elapsedMs) })
      discardAnswer(context, target.instance, answer)
      answer.cancel()
      throw new UpstreamError(`${target.instance} responded with ${answer.status} without its signature`, { mayHaveRun: true, failed: true })
    }
    return withCheckedEnd(withCheckedStart(answer, { sender: target.instance, resumeAfter: runOptions.resumeAfter }), { sender: target.instance, metrics: opts.metrics })
  })
}

/** Requests the prefill of a prompt from an engine. Throws `UpstreamError`. */
export async function prefillAtUpstream (context: RelayContext, to: PermittedTarget, callOptions: RelayCallOptions): Promise<PrefilledPrompt> {
  const { opts, request } = context
  let sentAtMs = opts.clock.nowMs()
  const onSend = () => {
    sentAtMs = opts.clock.nowMs()
    callOptions.onSend?.()
  }
  const prefilled = await opts.upstreams.prefill(to.target, request, withAccounting(context, to, { ...callOptions, onSend }))
  opts.runEnds.onSignOfLife(to.target.instance, sentAtMs)
  return prefilled
}

/** Adds callbacks that consume the permit when the request is sent and process the signals that the response advertises. */
function withAccounting<T extends RelayCallOptions> ({ opts: { clock, signals } }: RelayContext, { target, permit }: PermittedTarget, callOptions: T): T {
  let sentAtMs = clock.nowMs()
  return {
    ...callOptions,
    onSend: () => {
      sentAtMs = clock.nowMs()
      permit.recordSent()
      callOptions.onSend?.()
    },
    onSignals: (advertised) => signals.observe(target.instance, advertised, sentAtMs),
  }
}
