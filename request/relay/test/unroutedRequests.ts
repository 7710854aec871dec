import { LogEvent } from '@reelspan/telemetry.log'
import test from 'ava'
import { createRelay, RecordingCaller, requestTo } from './__utils__/createRelay.js'

const REQUESTS = 100
const MAX_LINES = 5

// Guards against clients that use up the log's rate with requests for paths that no route has.
test('of many requests without a route some are logged, all are refused, and a request with a route is logged', async (t) => {
  const { clock, relay, log } = createRelay([])
  const callers = Array.from({ length: REQUESTS }, () => new RecordingCaller())
  for (const caller of callers) await clock.run(relay.relay(requestTo('/elsewhere/1'), caller))
  t.true(callers.every(({ refused }) => refused !== undefined))
  await clock.run(relay.relay(requestTo('/reply/1'), new RecordingCaller()))
  const lines = log.entries.filter(({ event }) => event === LogEvent.RequestEnded)
  t.is(lines.filter(({ fields }) => fields?.route === undefined).length, MAX_LINES)
  t.is(lines.filter(({ fields }) => fields?.route !== undefined).length, 1)
})
