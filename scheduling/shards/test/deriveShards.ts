import { FleetList, type ListedUpstream, UpstreamKind } from '@reelspan/config.fleet'
import { checkResources } from '@reelspan/config.resources'
import { MemberHealth } from '@reelspan/core.messages'
import { deriveShards, schedulerOf } from '@reelspan/scheduling.shards'
import { sampleDeclarations } from '@reelspan/utils.fakes'
import test from 'ava'

const { configuration } = checkResources(sampleDeclarations().map((entry) => ({ ...entry, revision: 1 })), 1)

function engines (pool: string, count: number): ListedUpstream[] {
  return Array.from({ length: count }, (_, i) => ({ name: `${pool}-${i}`, kind: UpstreamKind.Engine, address: `10.0.0.1:${i}`, availabilityZone: `zone-${i % 4}`, pool, leaving: false }))
}

function shardsOf (prefill: number, decode: number) {
  return deriveShards(configuration, new FleetList([], [...engines('draft-prefill', prefill), ...engines('draft-decode', decode)]))
}

test('a model of today\'s size is one shard', (t) => {
  t.deepEqual(shardsOf(3, 5).map(({ id }) => id), ['draft'])
})

test('a large pool is split by availability zone, and each engine is in exactly one shard', (t) => {
  const shards = shardsOf(100, 600)
  t.true(shards.every(({ prefillEngines, decodeEngines }) => prefillEngines.length > 0 && decodeEngines.length > 0 && decodeEngines.length <= 64))
  const names = shards.flatMap(({ decodeEngines }) => decodeEngines.map(({ name }) => name))
  t.is(names.length, 600)
  t.is(new Set(names).size, 600)
})

test('adding an engine moves few others to another shard', (t) => {
  const shardOfEngine = (count: number) => new Map(shardsOf(100, count).flatMap(({ id, decodeEngines }) => decodeEngines.map(({ name }) => [name, id] as const)))
  const before = shardOfEngine(600)
  const after = shardOfEngine(601)
  const moved = [...before].filter(([name, id]) => after.get(name) !== id).length
  t.true(moved <= 12, `${moved} moved`)
})

function membersWithHeadroom (headrooms: readonly (number | undefined)[]) {
  return headrooms.map((headroom, i) => ({ name: `box-${i}`, availabilityZone: 'z', peerAddress: `a:${i}`, callerAddress: '', incarnation: `i${i}`, version: 0, health: MemberHealth.Alive, leaving: false, room: headroom }))
}

test('shards are scheduled by the boxes with the most headroom', (t) => {
  const members = membersWithHeadroom([0.3, 0.3, 0.3, 0.3, 1.3, 0.3, 1.2, 0.3])
  const chosen = Array.from({ length: 50 }, (_, i) => schedulerOf({ id: `shard-${i}` }, members)?.name)
  t.deepEqual([...new Set(chosen)].sort(), ['box-4', 'box-6'])
})

test('boxes that do not report their headroom are treated as equal', (t) => {
  const members = membersWithHeadroom([undefined, undefined, undefined, 1])
  const chosen = Array.from({ length: 50 }, (_, i) => schedulerOf({ id: `shard-${i}` }, members)?.name)
  t.is(new Set(chosen).size, 4)
})

test('losing a box moves only the shards that it scheduled', (t) => {
  const members = Array.from({ length: 20 }, (_, i) => ({ name: `box-${i}`, availabilityZone: 'z', peerAddress: `a:${i}`, callerAddress: '', incarnation: `i${i}`, version: 0, health: MemberHealth.Alive, leaving: false }))
  const ids = Array.from({ length: 150 }, (_, i) => `shard-${i}`)
  const before = ids.map((id) => schedulerOf({ id }, members)?.incarnation)
  const after = ids.map((id) => schedulerOf({ id }, members.slice(1))?.incarnation)
  t.deepEqual(ids.filter((_, i) => before[i] !== after[i]), ids.filter((_, i) => before[i] === 'i0'))
})

test('engines stay in one shard while some of them change roles', (t) => {
  const splits = [[40, 47], [30, 57], [22, 65], [10, 77]]
  t.deepEqual(splits.map(([prefill, decode]) => shardsOf(prefill, decode).map(({ id }) => id)), splits.map(() => ['draft']))
})

test('engines of a zone without one of the roles are in the shard of another zone', (t) => {
  const moved = engines('draft-prefill', 60).map((engine) => ({ ...engine, availabilityZone: engine.availabilityZone === 'zone-3' ? 'zone-2' : engine.availabilityZone }))
  const shards = deriveShards(configuration, new FleetList([], [...moved, ...engines('draft-decode', 120)]))
  t.false(shards.some(({ availabilityZone }) => availabilityZone === 'zone-3'))
  const decodeNames = shards.flatMap(({ decodeEngines }) => decodeEngines.map(({ name }) => name))
  t.is(new Set(decodeNames).size, 120)
  t.is(decodeNames.length, 120)
})

test('a large model is one shard if none of its zones has both roles', (t) => {
  const inZone = (pool: string, count: number, availabilityZone: string) => engines(pool, count).map((engine) => ({ ...engine, availabilityZone }))
  const shards = deriveShards(configuration, new FleetList([], [...inZone('draft-prefill', 80, 'a'), ...inZone('draft-decode', 90, 'b')]))
  t.deepEqual(shards.map(({ id, prefillEngines, decodeEngines }) => [id, prefillEngines.length, decodeEngines.length]), [['draft', 80, 90]])
})

test('a restarted engine stays in its shard', (t) => {
  const startsOf = (startedAtMs: number) => [...engines('draft-prefill', 100), ...engines('draft-decode', 600)].map((engine) => ({ ...engine, name: `${engine.name}@${startedAtMs}`, instance: engine.name, startedAtMs }))
  const membersOf = (startedAtMs: number) => deriveShards(configuration, new FleetList([], startsOf(startedAtMs))).map(({ decodeEngines }) => decodeEngines.map(({ instance }) => instance))
  t.deepEqual(membersOf(1), membersOf(2))
})
