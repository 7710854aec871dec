import { parseFleetList } from '@reelspan/config.fleet'
import { type ContentChange } from '@reelspan/config.store'
import test from 'ava'

function upstreamEntry (name: string, spec: unknown): ContentChange {
  return { kind: 'upstream', name, revision: 1, spec }
}

const SPEC = { kind: 'service', address: '10.0.0.1:1', availabilityZone: 'a', pool: 'desk' }

test('unchanged entries are parsed once', (t) => {
  const entries = [upstreamEntry('1', SPEC)]
  const [first] = parseFleetList(entries).value.upstreams
  const [again] = parseFleetList([...entries, upstreamEntry('2', { ...SPEC, address: '10.0.0.2:1' })]).value.upstreams
  t.is(again, first)
})

test('two entries with the same spec object keep their names', (t) => {
  t.deepEqual(parseFleetList([upstreamEntry('1', SPEC), upstreamEntry('2', SPEC)]).value.upstreams.map(({ name }) => name), ['1', '2'])
})

test('an invalid entry is skipped each time', (t) => {
  const bad = { ...SPEC, address: 7 }
  const entries = [upstreamEntry('1', bad), upstreamEntry('2', SPEC), upstreamEntry('3', null), upstreamEntry('4', 'text')]
  t.deepEqual([1, 2].map(() => parseFleetList(entries).value.upstreams.map(({ name }) => name)), [['2'], ['2']])
})
