import { Metrics } from '@reelspan/telemetry.metrics'
import test from 'ava'

test('a gauge with several series is read on exposition and has one type line', (t) => {
  const metrics = new Metrics()
  const left = new Map([['drafts', 3]])
  metrics.gauges('budget_left', () => [...left].map(([pool, value]) => ({ labels: { pool }, value })))
  left.set('chat', 1.5)
  t.deepEqual(metrics.exposition().split('\n').filter((line) => line.includes('budget_left')), [
    '# TYPE budget_left gauge',
    'budget_left{pool="drafts"} 3',
    'budget_left{pool="chat"} 1.5',
  ])
})

test('an unknown value is left out', (t) => {
  const metrics = new Metrics()
  metrics.gauges('age_ms', () => [{ labels: { belief: 'a' }, value: undefined }, { labels: { belief: 'b' }, value: 2 }])
  t.deepEqual(metrics.exposition().split('\n').filter((line) => line.startsWith('age_ms')), ['age_ms{belief="b"} 2'])
})
