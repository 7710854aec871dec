import { AnswerFraming, type RelayAnswer } from '@reelspan/upstream.client'

/** Whether an answer that has ended is known to be whole. One that ends with its connection looks the same if its upstream exits between two events. */
export function endsVisibly ({ framing }: Pick<RelayAnswer, 'framing'>): boolean {
  return framing !== AnswerFraming.Connection
}
