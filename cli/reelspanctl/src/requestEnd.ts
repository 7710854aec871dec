import { ErrorCode, Verdict } from '@reelspan/core.error'
import { type LogLine } from './readLogLines.js'

/** How a request ended, as its caller has it. In the order of a table. */
export enum Outcome {
  ServedInTime = 'servedInTime',
  ServedLate = 'servedLate',
  /** Its line does not say what was wanted. */
  Served = 'served',
  Refused = 'refused',
  Failed = 'failed',
  Left = 'left',
}

export interface RequestEnd {
  outcome: Outcome
  /** Why it was refused, without the numbers, or with what it failed. */
  cause?: string
  /** Until the first part of an answer, or until the end of a request that got none. */
  heldMs: number
}

const FIRST_SERVER_ERROR = 500
/** Numbers, addresses and names of machines, which differ from request to request. */
const WORDS_WITH_DIGITS = /\S*\d\S*/g

/** What the line of a request that ended says of it. */
export function requestEnd (line: LogLine): RequestEnd {
  const outcome = outcomeOf(line)
  const served = outcome === Outcome.ServedInTime || outcome === Outcome.ServedLate
  return { outcome, cause: causeOf(outcome, line), heldMs: Number((served ? firstPartMs(line) : undefined) ?? line.durationMs ?? 0) }
}

function outcomeOf (line: LogLine): Outcome {
  const { verdict, code } = line
  if (code === ErrorCode.Cancelled) return Outcome.Left
  if (verdict === Verdict.NotRun) return Outcome.Refused
  if (verdict !== Verdict.Finished || Number(line.status) >= FIRST_SERVER_ERROR) return Outcome.Failed
  if (line.ttftTargetMs === undefined) return Outcome.Served
  return isInTime(line) ? Outcome.ServedInTime : Outcome.ServedLate
}

function isInTime (line: LogLine): boolean {
  const { ttftTargetMs, tbtTargetMs, longestPauseMs } = line
  if (Number(firstPartMs(line)) > Number(ttftTargetMs)) return false
  return tbtTargetMs === undefined || Number(longestPauseMs) <= Number(tbtTargetMs)
}

/** A call is of use to its caller once it is whole. */
function firstPartMs ({ tbtTargetMs, firstMs, durationMs }: LogLine): unknown {
  return tbtTargetMs === undefined ? durationMs : firstMs ?? durationMs
}

function causeOf (outcome: Outcome, { code, reason, status }: LogLine): string | undefined {
  if (outcome === Outcome.Refused) return String(reason ?? code).replace(WORDS_WITH_DIGITS, '#')
  if (outcome === Outcome.Failed) return code === undefined ? `status ${String(status)}` : String(code)
  return undefined
}
