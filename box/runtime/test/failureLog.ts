import { FailureLog } from '@reelspan/box.runtime'
import { LogEvent } from '@reelspan/telemetry.log'
import { Metrics } from '@reelspan/telemetry.metrics'
import { VirtualClock } from '@reelspan/utils.fakes'
import { RecordingLog } from '@reelspan/utils.fake-fleet'
import test from 'ava'

const MINUTE_MS = 60_000

function createFailureLog () {
  const clock = new VirtualClock()
  const log = new RecordingLog()
  const metrics = new Metrics()
  return { clock, log, metrics, failures: new FailureLog({ clock, log, metrics }) }
}

test('a repeated failure is logged immediately and then once a minute, with the number of failures since', async (t) => {
  const { clock, log, metrics, failures } = createFailureLog()
  const fail = () => failures.recordCall({ event: LogEvent.EngineCallFailed, call: 'report', target: { address: '10.1.0.1:80' } }, new Error('reset'))
  fail()
  fail()
  fail()
  t.deepEqual(log.entries.map(({ fields }) => fields), [{ call: 'report', address: '10.1.0.1:80', reason: 'reset', times: 1 }])
  await clock.advance(MINUTE_MS)
  fail()
  t.deepEqual(log.entries.map(({ fields }) => fields?.times), [1, 3])
  t.true(metrics.exposition().includes('reelspan_calls_failed_total{event="engineCallFailed",call="report"} 4'))
})

test('simultaneous failures of many targets are logged in few lines, and all are counted', async (t) => {
  const { clock, log, metrics, failures } = createFailureLog()
  const failAll = () => Array.from({ length: 3000 }, (_, i) => failures.recordCall({ event: LogEvent.PeerCallFailed, call: 'heartbeat', target: { address: `10.0.0.${i}:1` } }, 'cut'))
  failAll()
  const first = log.entries.length
  t.true(first > 0 && first <= 20, `${first} lines`)
  await clock.advance(2 * MINUTE_MS)
  failAll()
  t.true(log.entries.length <= 2 * first)
  t.true(metrics.exposition().includes('reelspan_calls_failed_total{event="peerCallFailed",call="heartbeat"} 6000'))
})

test('an unexpected failure of a task is logged with its location in the code', (t) => {
  const { log, metrics, failures } = createFailureLog()
  failures.recordTask('prober', new TypeError('x is not a function'))
  t.is(log.entries[0].event, LogEvent.TaskFailed)
  t.like(log.entries[0].fields, { task: 'prober', reason: 'x is not a function', times: 1 })
  t.true(String(log.entries[0].fields?.at).includes('failureLog'))
  t.true(metrics.exposition().includes('reelspan_tasks_failed_total{task="prober"} 1'))
})
