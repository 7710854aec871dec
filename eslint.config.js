import neostandard from 'neostandard'

// Packages that touch the outside world. Everything else is decision code: it
// gets its clock, randomness and network handed in, so that any harness can
// drive it with time and network of its own.
const OUTSIDE_PACKAGES = ['net/**', 'cli/**', 'telemetry/log/**', '__utils__/fakes/src/virtualClock.ts', '__utils__/stand-ins/**', '__utils__/bench/**', '**/test/**']

const MESSAGE = 'Decision packages take clock, randomness and network from @reelspan/core.env.'

export default [
  ...neostandard({ ts: true, ignores: ['**/lib/**', '**/test.lib/**'] }),
  {
    rules: { 'no-void': ['error', { allowAsStatement: true }] },
  },
  {
    files: ['*/*/src/**/*.ts'],
    ignores: OUTSIDE_PACKAGES,
    rules: {
      'no-restricted-globals': ['error', ...[
        'setTimeout', 'setInterval', 'setImmediate', 'Date', 'performance', 'fetch', 'WebSocket', 'process', 'crypto',
      ].map((name) => ({ name, message: MESSAGE }))],
      'no-restricted-properties': ['error', { object: 'Math', property: 'random', message: MESSAGE }],
      'no-restricted-imports': ['error', {
        patterns: [{
          group: ['node:net', 'node:dgram', 'node:http*', 'node:timers*', 'node:fs*', 'node:child_process', 'node:worker_threads', 'undici', 'ws', 'koa'],
          message: MESSAGE,
        }],
      }],
    },
  },
]
