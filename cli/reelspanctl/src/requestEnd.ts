import { ErrorCode, Verdict } from '@reelspan/core.error'
import { type LogLine } from './readLogLines.js'

/** Outcome of a request for its caller, in the order of the table's rows. */
export enum Outcome {
  ServedInTime = 'servedInTime',
  ServedLate = 'servedLate',
  /** Its log line has no latency target to compare with. */
  Served = 'served',
  Refused = 'refused',
  Failed = 'failed',
  /** Cancelled before it was answered, usually because the caller disconnected. */
  Cancelled = 'left',
}

export interface RequestEnd {
  outcome: Outcome
  /** Reason of a refusal, with numbers removed, or error code or status of a failure. */
  cause?: string
  /** Time to the first part of a streamed answer that was served, otherwise to the end of the request. */
  heldMs: number
}

const FIRST_SERVER_ERROR = 500
/** Numbers, addresses and machine names differ between requests, so they are removed to group refusals by reason. */
const WORDS_WITH_DIGITS = /\S*\d\S*/g

/** Reads outcome, cause and latency from a `requestEnded` line. */
export function requestEnd (line: LogLine): RequestEnd {
  const outcome = outcomeOf(line)
  const served = outcome === Outcome.ServedInTime || outcome === Outcome.ServedLate
  return { outcome, cause: causeOf(outcome, line), heldMs: Number((served ? latencyMs(line) : undefined) ?? line.durationMs ?? 0) }
}

function outcomeOf (line: LogLine): Outcome {
  const { verdict, code } = line
  if (code === ErrorCode.Cancelled) return Outcome.Cancelled
  if (verdict === Verdict.NotRun) return Outcome.Refused
  if (verdict !== Verdict.Finished || Number(line.status) >= FIRST_SERVER_ERROR) return Outcome.Failed
  if (line.ttftTargetMs === undefined) return Outcome.Served
  return metTargets(line) ? Outcome.ServedInTime : Outcome.ServedLate
}

function metTargets (line: LogLine): boolean {
  const { ttftTargetMs, tbtTargetMs, longestPauseMs } = line
  if (Number(latencyMs(line)) > Number(ttftTargetMs)) return false
  return tbtTargetMs === undefined || Number(longestPauseMs) <= Number(tbtTargetMs)
}

/** Time compared with the TTFT target: to the first part for streams, to the end for calls, since a caller needs the complete answer. */
function latencyMs ({ tbtTargetMs, firstMs, durationMs }: LogLine): unknown {
  return tbtTargetMs === undefined ? durationMs : firstMs ?? durationMs
}

function causeOf (outcome: Outcome, { code, reason, status }: LogLine): string | undefined {
  if (outcome === Outcome.Refused) return String(reason ?? code).replace(WORDS_WITH_DIGITS, '#')
  if (outcome === Outcome.Failed) return code === undefined ? `status ${String(status)}` : String(code)
  return undefined
}
