import { ErrorCode, Verdict } from '@reelspan/core.error'
import { LogEvent } from '@reelspan/telemetry.log'
import { notRetriedCause } from './describeSilences.js'
import { type Explanation } from './explanation.js'
import { type LogLine } from './readLogLines.js'

/** Causes that follow from the error code alone. */
const CAUSE_BY_CODE: Partial<Record<string, string>> = {
  [ErrorCode.Overloaded]: 'not enough engine capacity: `reason` says how many requests were queued before it',
  [ErrorCode.RequestQuarantined]: 'upstreams exited one after another while they ran the same request, or requests with the same prompt part: `reason` names them, `quarantineChanged` and `runBrokeOff` have its `contentHash` or `partHashes`',
  [ErrorCode.UpstreamLimit]: 'every remaining upstream advertises a rate limit that was used up: `upstreamsAtLimit` names the upstreams, `upstreamLimitChanged` has the limits',
  [ErrorCode.UpstreamBackoff]: 'every remaining upstream had refused a request of this box and asked it to back off: `upstreamBackoff` says since when and for how long',
  [ErrorCode.StreamOriginUnknown]: 'no box that could be asked knew which software version began its stream: `streamTakenUp` says who was asked, and the attempt that began it was lost with its box, or is older than clients may return',
  [ErrorCode.StreamVersionGone]: 'the software version that began its stream has no engine left that takes work: `upstreamsChanged` names those that left',
  [ErrorCode.NotReady]: 'the box had no declarations yet: it had just started, or neither the platform nor its peers were reachable',
  [ErrorCode.Draining]: 'the box was about to stop',
  [ErrorCode.NoRoute]: 'no route of the declarations in force (`revision`) matches the path',
  [ErrorCode.NoUpstream]: 'no upstream could be reached (`upstreamPathsLost`), or the list in force (`fleetRevision`) has no upstream that accepts requests for the route: `upstreamsChanged` and `upstreamDraining` name those that left',
  [ErrorCode.Cancelled]: 'the caller disconnected before there was an answer',
  [ErrorCode.AccountKey]: 'it had no key, or a key that belongs to no client account of the declarations in force: see `accountRefused` and `revision`',
  [ErrorCode.AccountLimit]: 'its client account exceeded its declared limit: `accountRefused` has the account and the cost',
  [ErrorCode.AccountsUnproved]: 'the box could not prove that it knew of all revoked keys: `accountsProofChanged` and `dependencyLost` say since when',
  [ErrorCode.BadRequest]: 'the request was invalid',
  [ErrorCode.BodyTooLarge]: 'the request was larger than the declared limit',
}

/** Describes the most likely cause of a request's outcome in one sentence. It is a guess from the available lines. */
export function likelyCause ({ trail, suspicions }: Pick<Explanation, 'trail' | 'suspicions'>): string {
  const delegated = trail.findLast(({ event }) => event === LogEvent.RequestDelegated)
  if (!delegated) return causeOfEnd(trail, suspicions)
  const atDelegate = trail.filter(({ box }) => box !== delegated.box)
  const cause = causeOfEnd(atDelegate.some(isEnd) ? atDelegate : trail, suspicions)
  return `${String(delegated.box)} had lost its paths to the upstreams (\`upstreamPathsLost\`) and had it run by ${String(delegated.delegate)}; there: ${cause}`
}

function isEnd ({ event }: LogLine): boolean {
  return event === LogEvent.RequestEnded
}

function causeOfEnd (trail: readonly LogLine[], suspicions: readonly LogLine[]): string {
  const end = trail.findLast(isEnd)
  if (!end) return 'unknown, the end is missing'
  if (end.verdict === Verdict.Finished) return servedSummary(trail, end)
  const known = CAUSE_BY_CODE[String(end.code)]
  if (known) return known
  if (end.code === ErrorCode.DeadlinePassed) return `${lastStage(trail)} until the deadline`
  if (end.code === ErrorCode.UpstreamFailed) return failureCause(trail, suspicions)
  return `see the code ${String(end.code)} in docs/OPERATING.md`
}

function failureCause (trace: readonly LogLine[], suspicions: readonly LogLine[]): string {
  const retries = trace.filter(({ event }) => event === LogEvent.RequestRetried).length
  const notRetried = trace.findLast(({ event }) => event === LogEvent.RequestNotRetried)
  const boxes = new Set(suspicions.map(({ box }) => box)).size
  const where = boxes > 1 ? `: ${boxes} boxes suspected it, so the fault is at the upstream` : ', or the network path to it from this box failed'
  return `an upstream failed${retries > 0 ? `, as in ${retries} earlier attempts` : ''}${where}${notRetried ? `; no other attempt was made, since ${notRetriedCause(notRetried)}` : ''}`
}

function lastStage (trace: readonly LogLine[]): string {
  const last = trace.findLast(({ event }) => event !== LogEvent.RequestEnded)
  if (last?.event === LogEvent.RequestPlaced) return 'a prefill, or its decode engine, did not answer'
  if (last?.event === LogEvent.RequestSent) return 'an upstream had begun to answer and did not finish'
  if (last?.event === LogEvent.ExchangeSilent) return `${String(last.upstream)} was silent`
  return last ? 'its last attempt got no answer' : 'it waited for a slot, or for its upstream'
}

function servedSummary (trace: readonly LogLine[], end: LogLine): string {
  const waitedMs = sumOf(trace, 'waitedMs')
  const prefillMs = sumOf(trace, 'prefillMs')
  const retries = trace.filter(({ event }) => event === LogEvent.RequestRetried).length
  const parts = [`first part after ${String(end.firstMs)} ms`, `longest pause ${String(end.longestPauseMs)} ms`, `waited ${waitedMs} ms for a slot`, `prefill ${prefillMs} ms`, `${retries} retries`]
  return `it was served (${parts.join(', ')})`
}

function sumOf (trace: readonly LogLine[], field: string): number {
  return trace.reduce((sum, line) => sum + (Number(line[field]) || 0), 0)
}
