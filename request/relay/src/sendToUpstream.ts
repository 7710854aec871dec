import { type PrefilledPrompt, type RelayAnswer, type RelayCallOptions, type RelayRunOptions, type RelayTarget, UpstreamError } from '@reelspan/upstream.client'
import { dropAnswer } from './dropAnswer.js'
import { type RelayContext } from './relayContext.js'

/**
 * Sends a request to an upstream that will run it. Once it is sent it may have run,
 * unless the upstream says that it did not. Throws `UpstreamError`.
 */
export function sendToUpstream (context: RelayContext, target: RelayTarget, runOptions: RelayRunOptions): Promise<RelayAnswer> {
  const { opts, run, request } = context
  return run.dispatchWhenSent(async (sent) => {
    const onSend = () => {
      sent()
      runOptions.onSend?.()
    }
    const answer = await opts.upstreams.run(target, request, notingAnswer(context, target, { ...runOptions, onSend }))
    if (!answer.notRun) return answer
    void dropAnswer(answer)
    throw new UpstreamError(`${target.instance} answered ${answer.status} and did not run the request`, { mayHaveRun: false, refused: true })
  })
}

/** Has an engine compute the KV cache of a request's prompt. Throws `UpstreamError`. */
export function prefillAtUpstream (context: RelayContext, target: RelayTarget, callOptions: RelayCallOptions): Promise<PrefilledPrompt> {
  const { opts, request } = context
  return opts.upstreams.prefill(target, request, notingAnswer(context, target, callOptions))
}

/** Takes in what the answer says of the upstream. */
function notingAnswer<T extends RelayCallOptions> ({ opts: { clock, statedLimits } }: RelayContext, { instance }: RelayTarget, callOptions: T): T {
  let sentAtMs = clock.nowMs()
  return {
    ...callOptions,
    onSend: () => {
      sentAtMs = clock.nowMs()
      callOptions.onSend?.()
    },
    onAnswer: (said) => statedLimits.noteAnswer(instance, said, sentAtMs),
  }
}
