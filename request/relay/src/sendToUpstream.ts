import { type RelayAnswer, type RelayRunOptions, type RelayTarget, UpstreamError } from '@reelspan/upstream.client'
import { dropAnswer } from './dropAnswer.js'
import { type RelayContext } from './relayContext.js'

/**
 * Sends a request to an upstream that will run it. Once it is sent it may have run,
 * unless the upstream says that it did not. Throws `UpstreamError`.
 */
export function sendToUpstream ({ opts, run, request }: RelayContext, target: RelayTarget, runOptions: RelayRunOptions): Promise<RelayAnswer> {
  return run.dispatchWhenSent(async (sent) => {
    const onSend = () => {
      sent()
      runOptions.onSend?.()
    }
    const answer = await opts.upstreams.run(target, request, { ...runOptions, onSend })
    if (!answer.notRun) return answer
    void dropAnswer(answer)
    throw new UpstreamError(`${target.instance} answered ${answer.status} and did not run the request`, { mayHaveRun: false, refused: true })
  })
}
