import { type EndedRequest } from './tallyRow.js'
import { Outcome } from './requestEnd.js'

/** Outcomes of refused requests that were retried. Each attempt has its own id, so attempts are matched by the hash of their prompt. */
export interface TallyRetries {
  /** Prompts that were refused at least once. */
  refused: number
  /** How many of these were retried. */
  cameBack: number
  /** Final outcomes of the retried ones. */
  ends: { outcome: Outcome, requests: number }[]
}

/** A request's final outcome is the first of these that any of its attempts had. */
const OUTCOME_PRECEDENCE = [Outcome.ServedInTime, Outcome.ServedLate, Outcome.Served, Outcome.Failed, Outcome.Cancelled, Outcome.Refused]

/** Ignores the order of attempts, since clocks of boxes differ. */
export function tallyRetries (ended: readonly EndedRequest[]): TallyRetries {
  const refused = outcomesPerPrompt(ended).filter((outcomes) => outcomes.includes(Outcome.Refused))
  const ends = refused.filter((outcomes) => outcomes.length > 1).map((outcomes) => OUTCOME_PRECEDENCE.find((outcome) => outcomes.includes(outcome)))
  return {
    refused: refused.length,
    cameBack: ends.length,
    ends: OUTCOME_PRECEDENCE.map((outcome) => ({ outcome, requests: ends.filter((end) => end === outcome).length })).filter(({ requests }) => requests > 0),
  }
}

function outcomesPerPrompt (ended: readonly EndedRequest[]): Outcome[][] {
  const byPrompt = new Map<unknown, Outcome[]>()
  ended.filter(({ end }) => end.promptHash !== undefined).forEach(({ end, outcome }) => {
    byPrompt.set(end.promptHash, [...byPrompt.get(end.promptHash) ?? [], outcome])
  })
  return [...byPrompt.values()]
}
