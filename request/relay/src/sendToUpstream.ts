import { type PrefilledPrompt, type RelayAnswer, type RelayCallOptions, type RelayRunOptions, type RelayTarget, UpstreamError } from '@reelspan/upstream.client'
import { type SendPermit } from '@reelspan/upstream.limits'
import { drainAnswer } from './drainAnswer.js'
import { type RelayContext } from './relayContext.js'

/**
 * An upstream, and the permit to send it one request. Nothing is sent without one: an upstream's limit is for all
 * boxes together, and no box sees what the others send.
 */
export interface PermittedTarget {
  target: RelayTarget
  permit: SendPermit
}

/**
 * Sends a request to an upstream that will run it. Once it is sent it may have run,
 * unless the upstream says that it did not. Throws `UpstreamError`.
 */
export function sendToUpstream (context: RelayContext, to: PermittedTarget, runOptions: RelayRunOptions): Promise<RelayAnswer> {
  const { opts, run, request } = context
  const { target } = to
  return run.dispatchOnSend(async (sent) => {
    const onSend = () => {
      sent()
      runOptions.onSend?.()
    }
    const answer = await opts.upstreams.run(target, request, withAccounting(context, to, { ...runOptions, onSend }))
    if (!answer.notRun) return answer
    void drainAnswer(answer)
    throw new UpstreamError(`${target.instance} answered ${answer.status} and did not run the request`, { mayHaveRun: false, refused: true })
  })
}

/** Has an engine compute the KV cache of a request's prompt. Throws `UpstreamError`. */
export function prefillAtUpstream (context: RelayContext, to: PermittedTarget, callOptions: RelayCallOptions): Promise<PrefilledPrompt> {
  const { opts, request } = context
  return opts.upstreams.prefill(to.target, request, withAccounting(context, to, callOptions))
}

/** Uses the permit when the request is sent, and observes what the response advertises. */
function withAccounting<T extends RelayCallOptions> ({ opts: { clock, signals } }: RelayContext, { target, permit }: PermittedTarget, callOptions: T): T {
  let sentAtMs = clock.nowMs()
  return {
    ...callOptions,
    onSend: () => {
      sentAtMs = clock.nowMs()
      permit.noteSent()
      callOptions.onSend?.()
    },
    onSignals: (advertised) => signals.observe(target.instance, advertised, sentAtMs),
  }
}
