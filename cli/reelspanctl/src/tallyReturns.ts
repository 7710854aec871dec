import { type EndedRequest } from './tallyRow.js'
import { Outcome } from './requestEnd.js'

/** What became of requests that were refused: a caller's try has an id of its own, but its prompt has the same hash. */
export interface TallyReturns {
  /** Prompts that were refused at least once. */
  refused: number
  /** Of these, how many came again. */
  cameBack: number
  /** How those that came back ended. */
  ends: { outcome: Outcome, requests: number }[]
}

/** The first of these that any try had is how the request ended. */
const FINAL_FIRST = [Outcome.ServedInTime, Outcome.ServedLate, Outcome.Served, Outcome.Failed, Outcome.Left, Outcome.Refused]

/** Goes by what tries there are and not by their order, since clocks of boxes differ. */
export function tallyReturns (ended: readonly EndedRequest[]): TallyReturns {
  const refused = triesOfPrompts(ended).filter((tries) => tries.includes(Outcome.Refused))
  const ends = refused.filter((tries) => tries.length > 1).map((tries) => FINAL_FIRST.find((outcome) => tries.includes(outcome)))
  return {
    refused: refused.length,
    cameBack: ends.length,
    ends: FINAL_FIRST.map((outcome) => ({ outcome, requests: ends.filter((end) => end === outcome).length })).filter(({ requests }) => requests > 0),
  }
}

function triesOfPrompts (ended: readonly EndedRequest[]): Outcome[][] {
  const tries = new Map<unknown, Outcome[]>()
  ended.filter(({ end }) => end.promptHash !== undefined).forEach(({ end, outcome }) => {
    tries.set(end.promptHash, [...tries.get(end.promptHash) ?? [], outcome])
  })
  return [...tries.values()]
}
