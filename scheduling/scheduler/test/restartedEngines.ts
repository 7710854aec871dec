import { PlacementOutcome, UpstreamOutcome } from '@reelspan/core.messages'
import { type Shard } from '@reelspan/scheduling.shards'
import { EngineRole } from '@reelspan/upstream.client'
import test from 'ava'
import { createShard, reportOf, requestOf, sharedPrefix } from './__utils__/createShard.js'

/** The shard after its first prefill engine was restarted as the same instance. */
function withRestarted (shard: Shard): Shard {
  const [first, ...others] = shard.prefillEngines
  return { ...shard, prefillEngines: [{ ...first, name: `${first.name}@200`, instance: first.name, startedAtMs: 200 }, ...others] }
}

test('the prefixes cached by an engine are dropped when it is restarted', async (t) => {
  const { clock, scheduler, shard } = createShard({ prefill: 1 })
  await clock.run(scheduler.reserve(requestOf({ prefixes: sharedPrefix('guide') })))
  t.is(scheduler.describe().prefixEntries, 1)
  scheduler.update(withRestarted(shard))
  t.is(scheduler.describe().prefixEntries, 0)
})

test('a suspected engine is no longer suspected after a restart', (t) => {
  const { scheduler, shard } = createShard()
  const failing = { engine: 'p-1', outcome: UpstreamOutcome.Failed }
  for (let i = 0; i < 4; i++) scheduler.release(requestOf().label, undefined, [failing])
  t.deepEqual(scheduler.describe().suspects, ['p-1'])
  scheduler.update(withRestarted(shard))
  t.deepEqual(scheduler.describe().suspects, [])
  scheduler.release(requestOf().label, undefined, [failing])
  t.deepEqual(scheduler.describe().suspects, [], 'late outcomes of the previous process are ignored')
})

test('a restarted engine gets work only after it has reported', async (t) => {
  const { clock, scheduler, shard } = createShard({ prefill: 1 })
  scheduler.update(withRestarted(shard))
  const waiting = scheduler.reserve(requestOf())
  scheduler.recordReport('p-1', reportOf(EngineRole.Prefill))
  await clock.advance(5)
  scheduler.recordReport('p-1@200', reportOf(EngineRole.Prefill, { startedAtMs: 200 }))
  const answer = await clock.run(waiting)
  t.is(answer.outcome === PlacementOutcome.Placed && answer.prefillEngine, 'p-1@200')
})
