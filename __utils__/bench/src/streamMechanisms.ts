import { type Mechanism } from './mechanism.js'

const ANSWER_END = 'request/relay/test.lib/answerEnd.js'
const SILENT_ENGINE = 'request/relay/test.lib/silentEngine.js'
const SERVICE_STREAMS = 'request/relay/test.lib/serviceStreams.js'
const STREAM_ORIGINS = 'request/stream-origins/test.lib/streamOrigins.js'
const STREAM_VERSION = 'request/relay/test.lib/streamVersion.js'

/** Mechanisms that keep answers whole once they have begun. */
export const STREAM_MECHANISMS: readonly Mechanism[] = [
  {
    name: 'stream versions: an engine that misses a reading is asked again',
    file: 'request/stream-origins/src/engineWitnesses.ts',
    find: '[100, 300]',
    replace: '[100]',
    tests: ['request/stream-origins/test.lib/engineWitnesses.js'],
  },
  {
    name: 'stream versions: a stream that is taken up goes on at the version that began it',
    file: 'request/relay/src/streamVersion.ts',
    find: 'this.#fixed = found.version',
    replace: 'this.#fixed = undefined',
    tests: [STREAM_VERSION, 'platform/adapter/test.lib/softwareVersions.js'],
  },
  {
    name: 'stream versions: the first event fixes the version of an answer',
    file: 'request/relay/src/streamVersion.ts',
    find: 'this.#fixed ??= version',
    replace: 'void version',
    tests: [STREAM_VERSION],
  },
  {
    name: 'stream versions: other boxes get the origins of streams while there are two versions',
    file: 'request/stream-origins/src/streamOrigins.ts',
    find: 'if (this.#isMixed(origin.model) || !this.#isCovered(origin)) this.#announce(origins)',
    replace: '',
    tests: [STREAM_ORIGINS],
  },
  {
    name: 'stream versions: nothing is concluded from an own list that others do not confirm',
    file: 'request/stream-origins/src/originEvidence.ts',
    find: 'own.coveredMs > 0 && (askedCount === 0 || 2 * known.length > askedCount)',
    replace: 'true',
    tests: [STREAM_ORIGINS],
  },
  {
    name: 'stream versions: nothing is concluded from lists younger than clients that return',
    file: 'request/stream-origins/src/originEvidence.ts',
    find: '!all(evidence).some(({ coveredMs }) => coveredMs >= query.maxAgeMs)',
    replace: 'false',
    tests: [STREAM_ORIGINS],
  },
  {
    name: 'stream versions: nothing is concluded for a client that waits longer than any that was seen',
    file: 'request/stream-origins/src/originEvidence.ts',
    find: 'keepMs - remainingMs : UNKNOWN_AGE_MS',
    replace: 'keepMs - remainingMs : 0',
    tests: [STREAM_ORIGINS],
  },
  {
    name: 'stream versions: origins are sent to other boxes while the list does not cover their streams',
    file: 'request/stream-origins/src/streamOrigins.ts',
    find: ' || !this.#isCovered(origin)',
    replace: '',
    tests: [STREAM_ORIGINS],
  },
  {
    name: 'stream versions: a stream that began at another model does not go on',
    file: 'request/stream-origins/src/originEvidence.ts',
    find: 'query.mayBeOfOtherModel || !mayGoOnAtModel(evidence) || hasLedElsewhere(evidence) || ',
    replace: '',
    tests: [STREAM_ORIGINS],
  },
  {
    name: 'stream versions: engines tell who began a stream that no box knows',
    file: 'request/stream-origins/src/streamOrigins.ts',
    find: ' ?? versionAtEngines(evidence, testimony)',
    replace: '',
    tests: [STREAM_ORIGINS, 'platform/adapter/test.lib/softwareVersions.js'],
  },
  {
    name: 'stream versions: engines are believed only by a box that is in touch',
    file: 'request/stream-origins/src/originEvidence.ts',
    find: 'own.coveredMs === 0 || !isMajority(evidence) || !isComplete',
    replace: '!isComplete && !isMajority(evidence) && own === undefined',
    tests: [STREAM_ORIGINS],
  },
  {
    name: 'stream versions: streams of one content that began at different versions are not taken up',
    file: 'request/stream-origins/src/originRecords.ts',
    find: 'live.find((one) => one.model === model && one.version === version)',
    replace: 'live[0]',
    tests: [STREAM_ORIGINS],
  },
  {
    name: 'stream versions: nothing is concluded from the list for a stream of a route that was moved',
    file: 'request/stream-origins/src/originEvidence.ts',
    find: ' || hasLedElsewhere(evidence) || mayBeOlder',
    replace: ' || mayBeOlder',
    tests: [STREAM_ORIGINS],
  },
  {
    name: 'service streams: a stream that is taken up goes on behind its last event',
    file: 'request/relay/src/serviceAttempt.ts',
    find: '        resumeAfter,\n',
    replace: '',
    tests: [SERVICE_STREAMS],
  },
  {
    name: 'service streams: a stream that may have begun at another service is not taken up',
    file: 'request/relay/src/serviceRelay.ts',
    find: 'checkServiceOrigin(this.#context, pool)',
    replace: 'void pool',
    tests: [SERVICE_STREAMS],
  },
  {
    name: 'incomplete events: their bytes are passed on without memory for them',
    file: 'request/relay/src/withinBudget.ts',
    find: 'if (isKept || !isAlone()) return complete',
    replace: 'if (isKept || !isAlone() || true) return complete',
    tests: ['request/relay/test.lib/incompleteEvents.js'],
  },
  {
    name: 'stream versions: an engine that has only computed a prompt is no witness',
    file: 'request/stream-origins/src/engineWitnesses.ts',
    find: 'tokens > ownPart.tokens',
    replace: 'tokens >= ownPart.tokens',
    tests: ['request/stream-origins/test.lib/engineWitnesses.js'],
  },
  {
    name: 'a promise of a status is passed on only if the upstream made it',
    file: 'request/relay/src/sendToUpstream.ts',
    find: 'PROMISING_STATUSES.includes(answer.status) && !isRepeatable(route.spec)',
    replace: 'false',
    tests: ['request/relay/test.lib/relay.js'],
  },
  {
    name: 'answer end: a stream that ends inside an event is not whole',
    file: 'request/relay/src/answerEnd.ts',
    find: 'if (!this.#scanner?.insideEvent) return',
    replace: 'if (!this.#scanner?.insideEvent || true) return',
    tests: [ANSWER_END, 'platform/adapter/test.lib/brokenOffStreams.js'],
  },
  {
    name: 'answer end: lines may end with CR',
    file: 'request/relay/src/eventScanner.ts',
    find: 'if (byte !== LINE_FEED && byte !== CARRIAGE_RETURN) {',
    replace: 'if (byte !== LINE_FEED) {',
    tests: [ANSWER_END],
  },
  {
    name: 'an interrupted stream is requested again at its engine only if it may be resumed',
    file: 'request/relay/src/completionAttempt.ts',
    find: '(route.spec.resumable === true || !run.mayHaveRun) &&',
    replace: '',
    tests: ['request/relay/test.lib/relay.js'],
  },
  {
    name: 'silent engines: an exchange stays open until another one has written the next part',
    file: 'request/relay/src/completionRelay.ts',
    find: `if (first !== attempt && !attempt.sent) attempt.cancel(CancelCause.SilentToo, first)
    this.#attemptBeside()`,
    replace: `if (!this.#mayAttemptAgain || this.#context.budget.left < 1) return
    attempt.cancel(CancelCause.SilentToo)
    this.#state.race.join(this.#createAttempt({ beside: true }))`,
    tests: [SILENT_ENGINE],
  },
  {
    name: 'silent engines: of two that run a request the one that has not written next is cancelled',
    file: 'request/relay/src/attemptRace.ts',
    find: `attempt.throwIfCancelled()
    this.othersOf(attempt).forEach(`,
    replace: `attempt.throwIfCancelled()
    this.othersOf(attempt).slice(1).forEach(`,
    tests: [SILENT_ENGINE],
  },
]
