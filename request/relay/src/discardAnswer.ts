import { type RelayAnswer } from '@reelspan/upstream.client'
import { boundError } from './boundError.js'
import { drainAnswer } from './drainAnswer.js'
import { type RelayContext } from './relayContext.js'

/** Drains an answer of `sender` that is not passed on, without waiting. Counts and logs one that is too long. */
export function discardAnswer (context: Pick<RelayContext, 'opts' | 'logDecision'>, sender: string, answer: RelayAnswer): void {
  void drainAnswer(answer, { clock: context.opts.clock, onExceeded: (exceeded, readBytes) => { boundError(context, sender, readBytes, exceeded) } })
}
