import { type Mechanism } from './mechanism.js'

const CRASHING_REQUEST = 'box/runtime/test.lib/crashingRequest.js'
const CRASHING_PROMPT_PART = 'box/runtime/test.lib/crashingPromptPart.js'
const SHARED_UPSTREAM_LIMIT = 'box/runtime/test.lib/upstreamLimitShared.js'
const REQUEST_DECISION = 'request/quarantine/test.lib/judgeRequest.js'
const RUNS_AT_EXITS = 'box/runtime/test.lib/runsAtExits.js'
const RUN_ENDS = 'request/quarantine/test.lib/runEnds.js'
const PART_DECISION = 'request/quarantine/test.lib/judgeParts.js'
const QUARANTINE = 'request/quarantine/test.lib/quarantine.js'

/** Mechanisms by which requests that crash upstreams are found and refused. */
export const QUARANTINE_MECHANISMS: readonly Mechanism[] = [
  {
    name: 'a request that crashes upstreams is quarantined',
    file: 'request/owner/src/runContext.ts',
    find: `if (refusal) this.end(refusal)
    if (this.remainingMs <= 0)`,
    replace: 'if (this.remainingMs <= 0)',
    tests: [CRASHING_REQUEST],
  },
  {
    name: 'crashes of upstreams are broadcast to other boxes immediately',
    file: 'membership/prober/src/broadcaster.ts',
    find: 'await Promise.all(watchedAddresses().map(',
    replace: 'await Promise.all([].map(',
    tests: [CRASHING_REQUEST],
  },
  {
    name: 'boxes whose update digests differ pull the missing updates',
    file: 'membership/prober/src/gossip.ts',
    find: 'this.#tasks.run(() => this.#pull(address))',
    replace: '',
    tests: [CRASHING_REQUEST, SHARED_UPSTREAM_LIMIT],
  },
  {
    name: 'upstream crashes that end overlapping runs of a request count once',
    file: 'request/quarantine/src/sequentialRuns.ts',
    find: 'previous === undefined || run.beganAtMs >= previous.endedAtMs',
    replace: 'true',
    tests: [CRASHING_REQUEST, REQUEST_DECISION],
  },
  {
    name: 'quarantine: an upstream exit counts once, also if runs were sent there before it was known',
    file: 'request/quarantine/src/sequentialRuns.ts',
    find: "if (!follows || isLateForExit(run, lastExits.get(run.upstream ?? ''))) return",
    replace: "if (!follows || (isLateForExit(run, lastExits.get(run.upstream ?? '')) && false)) return",
    tests: [REQUEST_DECISION, QUARANTINE],
  },
  {
    name: 'quarantine: a prompt part is refused after several exits',
    file: 'request/quarantine/src/quarantine.ts',
    find: ': this.#parts.refusalOf(request, targetVersions)',
    replace: ': undefined',
    tests: [CRASHING_PROMPT_PART, QUARANTINE],
  },
  {
    name: 'quarantine: runs that go on clear their prompt parts',
    file: 'request/quarantine/src/clearanceStore.ts',
    find: 'writtenMs >= minWrittenMs && atMs >= endedAtMs - CLEARANCE_MS',
    replace: 'writtenMs < 0 && minWrittenMs < atMs - endedAtMs',
    tests: [PART_DECISION],
  },
  {
    name: 'quarantine: clearances reach other boxes',
    file: 'request/quarantine/src/partQuarantine.ts',
    find: '    onEvent(clearance)\n',
    replace: '    void onEvent\n',
    tests: [QUARANTINE],
  },
  {
    name: 'quarantine: what is refused has everything in common that the crashing requests have',
    file: 'request/quarantine/src/judgeParts.ts',
    find: 'const parts = this.#commonParts(part).toSorted()',
    replace: 'const parts = [part]',
    tests: [PART_DECISION],
  },
  {
    name: 'quarantine: an exit at which a crashing prompt part was does not count against other requests',
    file: 'request/quarantine/src/judgeRequest.ts',
    find: 'partVerdicts.exitsOfStrongest(run) > ownExitCount || ',
    replace: '',
    tests: [QUARANTINE],
  },
  {
    name: 'quarantine: a request with as many exits as a prompt part of others is not taken for the cause',
    file: 'request/quarantine/src/judgeRequest.ts',
    find: ' || isPartOfOthersAtAll(runs, minExits, partVerdicts)',
    replace: '',
    tests: [QUARANTINE],
  },
  {
    name: 'quarantine: a rival that was at all exits but the last may have been at that one as well',
    file: 'request/quarantine/src/judgeRequest.ts',
    find: 'isLastOpen && hasRival',
    replace: '!isLastOpen && hasRival',
    tests: [QUARANTINE],
  },
  {
    name: 'quarantine: one request at a time may try after a quarantine',
    file: 'request/quarantine/src/partQuarantine.ts',
    find: 'return trial.content === content && !trial.interrupted',
    replace: 'return true',
    tests: [QUARANTINE],
  },
  {
    name: 'runs at exits: an answer that ended with its connection clears once its upstream has shown life',
    file: 'request/quarantine/src/runEnds.ts',
    find: 'survived.forEach(({ onAlive }) => onAlive?.())',
    replace: '',
    tests: [RUNS_AT_EXITS, RUN_ENDS],
  },
  {
    name: 'runs at exits: an answer that ended with its connection does not clear by its end',
    file: 'request/relay/src/withEndReport.ts',
    find: 'if (progress.finish === AnswerFinish.Whole) record.recordSound()',
    replace: 'if (progress.finish !== undefined) record.recordSound()',
    tests: [RUNS_AT_EXITS],
  },
  {
    name: 'runs at exits: a run that the box ended may have been at an exit',
    file: 'request/relay/src/withEndReport.ts',
    find: 'runEnds.recordAbandoned(record.ended(errorMessage(thrown)), () => context.silence.recordReceived(target.instance))',
    replace: 'errorMessage(thrown)',
    tests: [RUNS_AT_EXITS],
  },
  {
    name: 'runs at exits: an interrupted run at an address that accepts connections may have been at an exit',
    file: 'request/quarantine/src/runEnds.ts',
    find: 'this.#addUndecided(this.#undecidedRun(run, RunEndKind.Interrupted, endedAtMs))',
    replace: '',
    tests: [RUNS_AT_EXITS, RUN_ENDS],
  },
  {
    name: 'runs at exits: a run goes on at its upstream after its end',
    file: 'request/quarantine/src/undecidedRuns.ts',
    find: 'return endedAtMs + LINGERING_MS',
    replace: 'return endedAtMs',
    tests: [RUNS_AT_EXITS, RUN_ENDS],
  },
  {
    name: 'runs at exits: exits that other boxes announce decide runs of this one',
    file: 'box/runtime/src/createRequestParts.ts',
    find: 'exitsOf(events).forEach(([upstream, ageMs]) => parts.runEnds.onExitAnnounced(upstream, clock.nowMs() - ageMs))',
    replace: 'exitsOf(events)',
    tests: [RUNS_AT_EXITS],
  },
  {
    name: 'runs at exits: exits under copies that overlap count each',
    file: 'request/quarantine/src/judgeRequest.ts',
    find: 'return overlapping.length >= MAX_UPSTREAM_EXITS_IF_AMBIGUOUS ? overlapping : []',
    replace: 'return overlapping.length > history.size ? overlapping : []',
    tests: [RUNS_AT_EXITS, REQUEST_DECISION],
  },
  {
    name: 'runs at exits: exits that overlap count once where nobody is known to have lived on',
    file: 'request/quarantine/src/overlappingExits.ts',
    find: 'return runs.filter(hadSurvivors(history, didOthersLiveOn))',
    replace: 'return runs.filter(() => hadSurvivors(history, didOthersLiveOn) !== undefined)',
    tests: [RUNS_AT_EXITS, REQUEST_DECISION],
  },
]
