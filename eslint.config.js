import neostandard from 'neostandard'

// Packages that may use the clock, randomness, network and file system of the process.
// All other packages contain decision code, which gets its clock, randomness and network
// injected, so that a test harness can run it with simulated time and a simulated network.
const OUTSIDE_PACKAGES = ['net/**', 'cli/**', 'platform/**', 'telemetry/log/**', '__utils__/fakes/src/virtualClock.ts', '__utils__/stand-ins/**', '__utils__/platform-stand-ins/**', '__utils__/soak/**', '__utils__/bench/**', '**/test/**']

// The platform's field and header names are translated in platform/ only. Its stand-ins use them as well.
const PLATFORM_NAMES = 'x-reelspan-|kv_|token_kv|path_prefix|private_key|store_revision|target_latency|max_attempts|allow_resume|traffic_split|fencing_token|ttl_s|X-Reelspan-'
const PLATFORM_MESSAGE = 'Names of the platform\'s protocol may be used only in platform/.'

const MESSAGE = 'Decision packages must get clock, randomness and network from @reelspan/core.env.'

export default [
  ...neostandard({ ts: true, ignores: ['**/lib/**', '**/test.lib/**', 'target/**'] }),
  {
    rules: { 'no-void': ['error', { allowAsStatement: true }] },
  },
  {
    files: ['*/*/{src,test}/**/*.ts'],
    ignores: ['platform/**', '__utils__/platform-stand-ins/**'],
    rules: {
      'no-restricted-syntax': ['error',
        { selector: `Literal[value=/${PLATFORM_NAMES}/]`, message: PLATFORM_MESSAGE },
        { selector: `Identifier[name=/${PLATFORM_NAMES}/]`, message: PLATFORM_MESSAGE },
      ],
    },
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
