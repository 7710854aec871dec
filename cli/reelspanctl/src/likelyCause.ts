import { ErrorCode, Verdict } from '@reelspan/core.error'
import { LogEvent } from '@reelspan/telemetry.log'
import { type Explanation } from './explainRequest.js'
import { type LogLine } from './readLogLines.js'

/** Each code that says by itself why a request was refused. */
const CAUSE_OF_CODE: Partial<Record<string, string>> = {
  [ErrorCode.Overloaded]: 'engines were short: `reason` has what waited before it',
  [ErrorCode.RequestQuarantined]: 'upstreams that ran the same request before ended under it: `reason` names them, `quarantineChanged` and `runBrokeOff` have its `contentHash`',
  [ErrorCode.UpstreamLimit]: 'each upstream that was left for it names a limit and had got as many requests as it takes: `upstreamsAtLimit` names them, `upstreamLimitChanged` has the limits',
  [ErrorCode.UpstreamBackoff]: 'each upstream that was left for it had refused a request of this box and asked it to wait: `upstreamBackoff` says since when and for how long',
  [ErrorCode.NotReady]: 'the box had no declarations yet, soon after its start or with the platform and its peers away',
  [ErrorCode.Draining]: 'the box was about to stop',
  [ErrorCode.NoRoute]: 'no route of the declarations in force (`revision`) takes the path',
  [ErrorCode.NoUpstream]: 'the list in force (`fleetRevision`) has nobody who takes work for the route: `upstreamsChanged` and `upstreamDraining` say who left',
  [ErrorCode.Cancelled]: 'the caller went away before there was an answer',
  [ErrorCode.AccountKey]: 'it had no key, or one that no client account of the declarations in force has: `accountRefused` says which, and `revision`',
  [ErrorCode.AccountLimit]: 'its client account had asked more than its declaration allows: `accountRefused` has the account and the cost',
  [ErrorCode.AccountsUnproved]: 'the box could not prove that it knew of all keys that were taken away: `accountsProofChanged` and `dependencyLost` say since when',
  [ErrorCode.BadRequest]: 'the request itself was wrong',
  [ErrorCode.BodyTooLarge]: 'the request was larger than the declared limit',
}

/** The most likely cause of how a request ended, in a sentence. A guess from the lines that there are. */
export function likelyCause ({ trail, suspicions }: Pick<Explanation, 'trail' | 'suspicions'>): string {
  const end = trail.findLast(({ event }) => event === LogEvent.RequestEnded)
  if (!end) return 'not known, the end is missing'
  if (end.verdict === Verdict.Finished) return causeOfDelay(trail, end)
  const known = CAUSE_OF_CODE[String(end.code)]
  if (known) return known
  if (end.code === ErrorCode.DeadlinePassed) return `${whereItStood(trail)} until the deadline`
  if (end.code === ErrorCode.UpstreamFailed) return causeOfFailure(trail, suspicions)
  return `see the code ${String(end.code)} in docs/OPERATING.md`
}

function causeOfFailure (trail: readonly LogLine[], suspicions: readonly LogLine[]): string {
  const tries = trail.filter(({ event }) => event === LogEvent.RequestRetried).length
  const boxes = new Set(suspicions.map(({ box }) => box)).size
  const where = boxes > 1 ? `: ${boxes} boxes suspected it, so the fault is at the upstream` : ', or the way to it from this box'
  return `an upstream failed it${tries > 0 ? `, and so did ${tries} before` : ''}${where}`
}

function whereItStood (trail: readonly LogLine[]): string {
  const last = trail.findLast(({ event }) => event !== LogEvent.RequestEnded)
  if (last?.event === LogEvent.RequestPlaced) return 'a prefill, or its decode engine, did not answer'
  if (last?.event === LogEvent.RequestSent) return 'an upstream had begun to answer and went on'
  return last ? 'its last try got no answer' : 'it waited for a place, or for its upstream'
}

function causeOfDelay (trail: readonly LogLine[], end: LogLine): string {
  const waitedMs = sumOf(trail, 'waitedMs')
  const prefillMs = sumOf(trail, 'prefillMs')
  const tries = trail.filter(({ event }) => event === LogEvent.RequestRetried).length
  const parts = [`first part after ${String(end.firstMs)} ms`, `longest pause ${String(end.longestPauseMs)} ms`, `waited ${waitedMs} ms for a place`, `prefill ${prefillMs} ms`, `${tries} more tries`]
  return `it was served (${parts.join(', ')})`
}

function sumOf (trail: readonly LogLine[], field: string): number {
  return trail.reduce((sum, line) => sum + (Number(line[field]) || 0), 0)
}
