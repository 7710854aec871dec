import { UpstreamKind } from '@reelspan/config.fleet'
import { checkResources } from '@reelspan/config.resources'
import { ShardLedger } from '@reelspan/scheduling.ledger'
import { type Shard } from '@reelspan/scheduling.shards'
import { type EngineReport, EngineRole } from '@reelspan/upstream.client'
import { sampleDeclarations } from '@reelspan/utils.fakes'
import test from 'ava'

const LABEL = { ownerAddress: '10.0.0.1:1', ownerIncarnation: 'owner', requestId: '1', maxHoldMs: 1000 }

function shardOf (startedAtMs: number): Shard {
  const { configuration } = checkResources(sampleDeclarations().map((entry) => ({ ...entry, revision: 1 })), 1)
  const [spec, prefillPool, decodePool] = [configuration.model('draft'), configuration.pool('draft-prefill'), configuration.pool('draft-decode')]
  if (!spec || !prefillPool || !decodePool) throw new Error('the declarations have no model draft')
  const engineOf = (instance: string) => ({ name: `${instance}@${startedAtMs}`, instance, startedAtMs, kind: UpstreamKind.Engine, address: `${instance}:1`, availabilityZone: 'z', pool: 'x', leaving: false })
  return { id: 'draft', model: 'draft', spec, prefillPool, decodePool, prefillEngines: [engineOf('p')], decodeEngines: [engineOf('d')] }
}

function reportOf (role: EngineRole, startedAtMs?: number): EngineReport {
  return { startedAtMs, role, loaded: [{ model: 'draft', version: '1' }], changing: false, placesUsed: 0, placesTotal: 20, kvBytesUsed: 0, kvBytesTotal: 4e9, prefillQueueMs: 0, fence: 0, holds: [] }
}

function createLedger (startedAtMs = 100) {
  const ledger = new ShardLedger(shardOf(startedAtMs), { maxReportAgeMs: 10_000 })
  const served = () => ledger.allEngines().map((engine) => ledger.servedVersion(engine, 0))
  return { ledger, served }
}

test('a restart of an engine ends its reservations and invalidates its reports', (t) => {
  const { ledger, served } = createLedger()
  ledger.recordReport('d@100', reportOf(EngineRole.Decode, 100), 0)
  ledger.reserve({ label: LABEL, maxTokens: 10, tbtTargetMs: 76, prefillEngine: 'p@100', decodeEngine: 'd@100', kvBytes: 1, prefillCostMs: 100, importEndMs: 100, expectedEndMs: 500, expiresAtMs: 1000 }, 0)
  t.is(ledger.reservationsOn('d@100'), 1)
  ledger.update(shardOf(200))
  t.is(ledger.reservationsOn('d@200'), 0)
  t.is(ledger.reservationsOn('p@200'), 0)
  t.deepEqual(served(), [undefined, undefined])
})

test('a late report from an earlier process of the engine is ignored', (t) => {
  const { ledger, served } = createLedger(200)
  ledger.recordReport('d@200', reportOf(EngineRole.Decode, 100), 0)
  t.deepEqual(served(), [undefined, undefined])
  ledger.recordReport('d@200', reportOf(EngineRole.Decode, 200), 0)
  ledger.recordReport('d@200', { ...reportOf(EngineRole.Decode, 100), changing: true }, 0)
  t.deepEqual(served(), [undefined, '1'])
})

test('an engine whose report has a later start time than the list gets no work', (t) => {
  const { ledger, served } = createLedger(100)
  ledger.recordReport('d@100', reportOf(EngineRole.Decode, 100), 0)
  ledger.recordReport('d@100', reportOf(EngineRole.Decode, 200), 0)
  t.deepEqual(served(), [undefined, undefined])
})

test('a report without a start time is accepted', (t) => {
  const { ledger, served } = createLedger(100)
  ledger.recordReport('d@100', reportOf(EngineRole.Decode), 0)
  t.deepEqual(served(), [undefined, '1'])
})
