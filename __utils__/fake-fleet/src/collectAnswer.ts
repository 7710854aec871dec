import { type Clock } from '@reelspan/core.env'
import { type ErrorCode, Verdict } from '@reelspan/core.error'
import { type AnswerEvent, AnswerEventKind } from '@reelspan/core.messages'

/** Outcome of a request for its caller. */
export interface Outcome {
  verdict: Verdict
  code?: ErrorCode
  message?: string
  retryAfterMs?: number
  text: string
  /** Arrival times of the tokens, relative to the start of the request. */
  tokenAtMs: number[]
  /** Time of the answer's end, relative to the start of the request. */
  endMs: number
}

/** Reads an answer to its end. If it is interrupted, the verdict is that the request may have run. */
export async function collectAnswer (clock: Clock, events: AsyncIterable<AnswerEvent>): Promise<Outcome> {
  const startedAtMs = clock.nowMs()
  const outcome: Outcome = { verdict: Verdict.MayHaveRun, text: '', tokenAtMs: [], endMs: 0 }
  for await (const event of events) {
    const atMs = clock.nowMs() - startedAtMs
    if (event.kind === AnswerEventKind.Token) {
      outcome.text += event.text
      outcome.tokenAtMs.push(atMs)
    }
    if (event.kind === AnswerEventKind.Response) outcome.text += Buffer.from(event.body).toString()
    if (event.kind === AnswerEventKind.Final) {
      const { verdict, code, message, retryAfterMs } = event
      Object.assign(outcome, { verdict, code, message, retryAfterMs })
    }
  }
  outcome.endMs = clock.nowMs() - startedAtMs
  return outcome
}
