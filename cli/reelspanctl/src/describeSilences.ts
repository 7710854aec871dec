import { LogEvent } from '@reelspan/telemetry.log'
import { type LogLine } from './readLogLines.js'

/** Describes what became of the silent exchanges of a request, one sentence for each, and of the attempts made beside them. */
export function describeSilences (trail: readonly LogLine[]): string[] {
  return trail.flatMap((line, i) => {
    switch (line.event) {
      case LogEvent.ExchangeSilent: return trail.slice(i).some((later) => isEndOf(later, line)) ? [] : [`the ${exchangeOf(line)} was silent and stayed open`]
      case LogEvent.ExchangeGivenUp: return [givenUp(line)]
      case LogEvent.AttemptFailed: return [`the attempt at ${String(line.at)} failed (${String(line.reason)})${goesOn(line)}`]
      case LogEvent.RequestNotRetried: return [`the last attempt failed (${String(line.reason)}), and no other one was made: ${notRetriedCause(line)}`]
      default: return []
    }
  })
}

/** Why no other attempt was made after one had failed. */
export function notRetriedCause ({ attemptsLeft, retriesLeft }: LogLine): string {
  if (Number(attemptsLeft) <= 0) return 'its route allows no more'
  if (Number(retriesLeft) < 1) return 'no retry was left in the budget of its box'
  return 'it may not be repeated, or its answer cannot be resumed'
}

function isEndOf (line: LogLine, silent: LogLine): boolean {
  return line.event === LogEvent.ExchangeGivenUp && line.upstream === silent.upstream && line.stage === silent.stage
}

function exchangeOf ({ stage, upstream }: LogLine): string {
  return `${String(stage)} at ${String(upstream)}`
}

function givenUp (line: LogLine): string {
  const { silentMs, cause, by, bothOpenMs } = line
  const why = cause === 'silentToo' ? `since it was silent too while ${String(by)} stayed open` : `since ${String(by)} went on`
  return `the ${exchangeOf(line)}, silent for ${String(silentMs)} ms, was given up ${why}; both were open for ${String(bothOpenMs)} ms`
}

function goesOn ({ goesOn: names }: LogLine): string {
  return Array.isArray(names) && names.length > 0 ? `; ${names.join(', ')} stayed open` : ''
}
