import { Metrics } from '@reelspan/telemetry.metrics'
import test from 'ava'

test('metrics are returned in the text exposition format', (t) => {
  const metrics = new Metrics()
  metrics.count('requests_total', { verdict: 'finished' })
  metrics.count('requests_total', { verdict: 'finished' }, 2)
  metrics.gauge('in_flight', () => 4)
  metrics.recordMs('ttft_ms', 120, { route: 'drafts' })
  const lines = metrics.exposition().split('\n')
  t.true(lines.includes('# TYPE requests_total counter'))
  t.true(lines.includes('requests_total{verdict="finished"} 3'))
  t.true(lines.includes('in_flight 4'))
  t.true(lines.includes('ttft_ms{route="drafts",quantile="0.95"} 120'))
  t.true(lines.includes('ttft_ms_count{route="drafts"} 1'))
})

test('a percentile covers all labels', (t) => {
  const metrics = new Metrics()
  t.is(metrics.percentileMs('x', 50), undefined)
  metrics.recordMs('x', 10, { a: '1' })
  metrics.recordMs('x', 30, { a: '2' })
  t.is(metrics.percentileMs('x', 99), 30)
})
