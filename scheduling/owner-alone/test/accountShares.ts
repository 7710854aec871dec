import { UpstreamKind } from '@reelspan/config.fleet'
import { checkResources } from '@reelspan/config.resources'
import { createEnginePicker, LocalPlacer, PickerKind, ReportSource } from '@reelspan/scheduling.owner-alone'
import { type PlaceRequest } from '@reelspan/scheduling.placer'
import { createPrefixIndex, PrefixIndexKind } from '@reelspan/scheduling.prefix-index'
import { EngineRole } from '@reelspan/upstream.client'
import { sampleDeclarations, SeededRandom, VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

test('an owner alone leaves half of the slots that it may use to accounts within their share, and all of them to one account', async (t) => {
  const clock = new VirtualClock()
  const { configuration } = checkResources(sampleDeclarations().map((entry) => ({ ...entry, revision: 1 })), 1)
  const [spec, prefillPool, decodePool] = [configuration.model('draft'), configuration.pool('draft-prefill'), configuration.pool('draft-decode')]
  if (!spec || !prefillPool || !decodePool) return t.fail()
  const engine = (pool: string) => ({ name: pool, kind: UpstreamKind.Engine, address: `${pool}:1`, availabilityZone: 'z', pool, leaving: false })
  const shard = { id: 'draft', model: 'draft', spec, prefillPool, decodePool: { ...decodePool, placesPerEngine: 8 }, prefillEngines: [engine('p')], decodeEngines: [engine('d')] }
  let running = 0
  class FakeReports extends ReportSource {
    async reports (listed: readonly { name: string }[]) {
      const common = { loaded: [{ model: 'draft', version: '1' }], changing: false, placesTotal: 8, kvBytesUsed: 0, kvBytesTotal: 4e9, prefillQueueMs: 0, fence: 0, holds: [] }
      return new Map(listed.map(({ name }) => [name, { report: { ...common, role: name === 'p' ? EngineRole.Prefill : EngineRole.Decode, placesUsed: running }, atMs: clock.nowMs() }] as const))
    }
  }
  const picker = createEnginePicker(PickerKind.LeastLoad, new SeededRandom(1))
  const placer = new LocalPlacer({ clock, picker, decodePicker: picker, reports: new FakeReports(), index: createPrefixIndex(PrefixIndexKind.None), shardsOfModel: () => [shard], admission: true, assumedOwners: () => 0, slotPercent: 50 })
  const request = (client: string): PlaceRequest => ({ model: 'draft', label: { ownerAddress: 'a:1', ownerIncarnation: 'o', requestId: client, maxHoldMs: 1000 }, returnId: client, client, priority: 0, promptTokens: 100, prefixes: [], maxTokens: 64, ttftLeftMs: 900, tbtTargetMs: 76, deadlineMs: 9000, avoid: [] })
  const releases: (() => void)[] = []
  const place = async (client: string) => {
    const placed = await placer.place(request(client))
    if (!('plan' in placed)) return false
    running++
    releases.push(placed.release)
    return true
  }
  const outcomes = async (clients: readonly string[]) => clients.reduce<Promise<boolean[]>>(async (before, client) => [...await before, await place(client)], Promise.resolve([]))
  t.deepEqual(await outcomes(['flood', 'flood', 'flood', 'flood', 'flood', 'small']), [true, true, true, true, false, false], 'alone it may use all four slots')
  releases[0]()
  running--
  t.deepEqual(await outcomes(['flood', 'small']), [false, true])
})
