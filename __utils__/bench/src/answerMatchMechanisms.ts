import { type Mechanism } from './mechanism.js'

/** Mechanisms by which a request gets its own answer and no other one. */
export const ANSWER_MATCH_MECHANISMS: readonly Mechanism[] = [
  {
    name: 'a success without a signature is not passed on',
    file: 'request/relay/src/sendToUpstream.ts',
    find: 'if (isUnsignedSuccess(answer) && !caller.begun) {',
    replace: 'if (isUnsignedSuccess(answer) && run.elapsedMs < 0) {',
    tests: ['request/relay/test.lib/unsignedAnswers.js', 'platform/adapter/test.lib/unsignedAnswers.js'],
  },
  {
    name: 'a request is not sent twice on one connection',
    file: 'net/http-exchange/src/connectionPool.ts',
    find: 'idle.findLast((connection) => connection.canCarry(identity))',
    replace: 'idle.at(-1)',
    tests: ['net/http-exchange/test.lib/lateAnswers.js', 'platform/adapter/test.lib/lateRefusals.js'],
  },
  {
    name: 'a late answer without an id is not taken for the answer to a request',
    file: 'platform/adapter/src/upstreamRelayClient.ts',
    find: 'status >= FIRST_ERROR && exchange === 1',
    replace: 'status >= FIRST_ERROR',
    tests: ['platform/adapter/test.lib/lateAnswers.js'],
  },
  {
    name: 'a head has one status line',
    file: 'net/http-exchange/src/responseParser.ts',
    find: 'if (line !== undefined) rejectSecondStatusLine(part, line)',
    replace: '',
    tests: ['net/http-exchange/test.lib/cutAnswers.js'],
  },
  {
    name: 'a connection is not reused if more was received than its last answer',
    file: 'net/http-exchange/src/upstreamConnection.ts',
    find: 'exchange.reusable && sent && this.#parser.isBetweenAnswers',
    replace: 'exchange.reusable && sent',
    tests: ['net/http-exchange/test.lib/cutAnswers.js'],
  },
  {
    name: 'an order has a connection of its own',
    file: 'platform/adapter/src/platformEngineClient.ts',
    find: 'forceNewConnection: true',
    replace: 'forceNewConnection: false',
    tests: ['platform/adapter/test.lib/engineOrders.js'],
  },
  {
    name: 'a length beside chunks is not passed on',
    file: 'platform/adapter/src/upstreamHeaders.ts',
    find: 'if (framing !== AnswerFraming.Chunked) dropped',
    replace: 'dropped',
    tests: ['platform/adapter/test.lib/upstreamRelayClient.js'],
  },
]
