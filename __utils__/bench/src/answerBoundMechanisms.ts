import { type Mechanism } from './mechanism.js'

const ENDLESS_ANSWERS = 'platform/adapter/test.lib/endlessAnswers.js'
const ENDLESS_STORE_ANSWERS = 'platform/adapter/test.lib/endlessStoreAnswers.js'
const ENDLESS_NATIVE_ANSWERS = 'net/upstream-http/test.lib/endlessAnswers.js'
const READ_ANSWER = 'net/system-env/src/readAnswer.ts'

/** Mechanisms that bound what a box reads for itself. */
export const ANSWER_BOUND_MECHANISMS: readonly Mechanism[] = [
  {
    name: 'answer bounds: an answer is read up to its bound',
    file: READ_ANSWER,
    find: 'if (end > bound.maxBytes)',
    replace: 'if (end > 2 ** 31)',
    tests: [ENDLESS_ANSWERS, ENDLESS_STORE_ANSWERS, ENDLESS_NATIVE_ANSWERS],
  },
  {
    name: 'answer bounds: the body of an error is read up to its bound',
    file: READ_ANSWER,
    find: 'if (readBytes > MAX_ERROR_BYTES)',
    replace: 'if (readBytes > 2 ** 52)',
    tests: [ENDLESS_ANSWERS],
  },
  {
    name: 'answer bounds: an oversized report is not requested again',
    file: 'platform/adapter/src/platformEngineClient.ts',
    find: 'thrown.cause instanceof OversizedAnswerError)) throw',
    replace: 'false)) throw',
    tests: [ENDLESS_ANSWERS],
  },
  {
    name: 'answer bounds: what a watch cannot return is loaded',
    file: 'platform/adapter/src/storeMirror.ts',
    find: 'thrown.cause instanceof OversizedAnswerError) this.loaded = false',
    replace: 'thrown.cause instanceof OversizedAnswerError) void 0',
    tests: [ENDLESS_STORE_ANSWERS],
  },
  {
    name: 'answer bounds: a decode stream has no more events than its answer may have',
    file: 'net/upstream-http/src/httpEngineClient.ts',
    find: 'if (++events > maxEvents)',
    replace: 'if (++events > 1000 * maxEvents)',
    tests: [ENDLESS_NATIVE_ANSWERS],
  },
  {
    name: 'answer bounds: what follows the end of a decode stream is not read',
    file: 'net/upstream-http/src/httpEngineClient.ts',
    find: 'if (!ended) throw',
    replace: 'throw',
    tests: [ENDLESS_NATIVE_ANSWERS],
  },
]
