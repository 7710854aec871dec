import { type Mechanism } from './mechanism.js'

const ANSWER_END = 'request/relay/test.lib/answerEnd.js'
const SILENT_ENGINE = 'request/relay/test.lib/silentEngine.js'
const STREAM_ORIGINS = 'request/stream-origins/test.lib/streamOrigins.js'
const STREAM_VERSION = 'request/relay/test.lib/streamVersion.js'

/** Mechanisms that keep answers whole once they have begun. */
export const STREAM_MECHANISMS: readonly Mechanism[] = [
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
    find: 'if (this.#isMixed(origin.model)) this.#announce([origin])',
    replace: '',
    tests: [STREAM_ORIGINS],
  },
  {
    name: 'stream versions: nothing is concluded from an own list that others do not confirm',
    file: 'request/stream-origins/src/streamOrigins.ts',
    find: 'own.coveredMs > 0 && (askedCount === 0 || 2 * known.length > askedCount)',
    replace: 'true',
    tests: [STREAM_ORIGINS],
  },
  {
    name: 'stream versions: nothing is concluded from lists younger than clients that return',
    file: 'request/stream-origins/src/streamOrigins.ts',
    find: '!all.some(({ coveredMs }) => coveredMs >= query.keepMs)',
    replace: 'false',
    tests: [STREAM_ORIGINS],
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
