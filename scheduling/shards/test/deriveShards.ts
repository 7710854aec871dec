import { FleetList, type ListedUpstream, UpstreamKind } from '@reelspan/config.fleet'
import { checkResources } from '@reelspan/config.resources'
import { MemberHealth } from '@reelspan/core.messages'
import { deriveShards, schedulerOf } from '@reelspan/scheduling.shards'
import { tuulDeclarations } from '@reelspan/utils.fakes'
import test from 'ava'

const { configuration } = checkResources(tuulDeclarations().map((entry) => ({ ...entry, revision: 1 })), 1)

function engines (pool: string, count: number): ListedUpstream[] {
  return Array.from({ length: count }, (_, i) => ({ name: `${pool}-${i}`, kind: UpstreamKind.Engine, address: `10.0.0.1:${i}`, availabilityZone: `zone-${i % 4}`, pool, leaving: false }))
}

function shardsOf (prefill: number, decode: number) {
  return deriveShards(configuration, new FleetList([], [...engines('draft-prefill', prefill), ...engines('draft-decode', decode)]))
}

test('a model of today\'s size is one shard', (t) => {
  t.deepEqual(shardsOf(3, 5).map(({ id }) => id), ['draft'])
})

test('a large pool is cut by availability zone, and each engine is in one shard', (t) => {
  const shards = shardsOf(100, 600)
  t.true(shards.every(({ prefillEngines, decodeEngines }) => prefillEngines.length > 0 && decodeEngines.length > 0 && decodeEngines.length <= 64))
  const names = shards.flatMap(({ decodeEngines }) => decodeEngines.map(({ name }) => name))
  t.is(names.length, 600)
  t.is(new Set(names).size, 600)
})

test('an engine more moves few others', (t) => {
  const shardOfEngine = (count: number) => new Map(shardsOf(100, count).flatMap(({ id, decodeEngines }) => decodeEngines.map(({ name }) => [name, id] as const)))
  const before = shardOfEngine(600)
  const after = shardOfEngine(601)
  const moved = [...before].filter(([name, id]) => after.get(name) !== id).length
  t.true(moved <= 12, `${moved} moved`)
})

function membersWithRooms (rooms: readonly (number | undefined)[]) {
  return rooms.map((room, i) => ({ name: `box-${i}`, availabilityZone: 'z', peerAddress: `a:${i}`, callerAddress: '', incarnation: `i${i}`, version: 0, health: MemberHealth.Alive, leaving: false, room }))
}

test('shards are accounted for by boxes with much room', (t) => {
  const members = membersWithRooms([0.3, 0.3, 0.3, 0.3, 1.3, 0.3, 1.2, 0.3])
  const chosen = Array.from({ length: 50 }, (_, i) => schedulerOf({ id: `shard-${i}` }, members)?.name)
  t.deepEqual([...new Set(chosen)].sort(), ['box-4', 'box-6'])
})

test('boxes that do not tell their room count alike', (t) => {
  const members = membersWithRooms([undefined, undefined, undefined, 1])
  const chosen = Array.from({ length: 50 }, (_, i) => schedulerOf({ id: `shard-${i}` }, members)?.name)
  t.is(new Set(chosen).size, 4)
})

test('losing a box moves only the shards that it accounted for', (t) => {
  const members = Array.from({ length: 20 }, (_, i) => ({ name: `box-${i}`, availabilityZone: 'z', peerAddress: `a:${i}`, callerAddress: '', incarnation: `i${i}`, version: 0, health: MemberHealth.Alive, leaving: false }))
  const ids = Array.from({ length: 150 }, (_, i) => `shard-${i}`)
  const before = ids.map((id) => schedulerOf({ id }, members)?.incarnation)
  const after = ids.map((id) => schedulerOf({ id }, members.slice(1))?.incarnation)
  t.deepEqual(ids.filter((_, i) => before[i] !== after[i]), ids.filter((_, i) => before[i] === 'i0'))
})
