import { createEnginePicker, OnDemandReports, LocalPlacer, PickerKind, PolledReports } from '@reelspan/scheduling.owner-alone'
import { type Placer } from '@reelspan/scheduling.placer'
import { createPrefixIndex, type PrefixIndex } from '@reelspan/scheduling.prefix-index'
import { AccountWeights } from '@reelspan/scheduling.scheduler'
import { SchedulerPlacer } from '@reelspan/scheduling.scheduler-placer'
import { enginesOf } from '@reelspan/scheduling.shards'
import { type BoxParts } from './boxParts.js'

/** Engines of each pool that an owner polls when it places without a scheduler; it uses the less loaded one. */
const FALLBACK_SAMPLE = 2

/** Chooses engines for the requests of this box. */
export function createPlacer (parts: BoxParts): Placer {
  const { clock, link, metrics, settings, view } = parts
  const index = createPrefixIndex(settings.scheduling.prefixIndex)
  if (settings.scheduling.strategy !== 'scheduler') return createBaseline(parts, settings.scheduling.strategy, index)
  return new SchedulerPlacer({
    clock,
    link,
    selfIncarnation: () => view.self.incarnation,
    schedulers: () => view.schedulerCandidates(),
    shardsOfModel: (model) => parts.shardManagers.shardsOfModel(model),
    localScheduler: (shardId) => parts.shardManagers.scheduler(shardId),
    fallback: createFallback(parts, index),
    onEarlyRetry: () => metrics.count('reelspan_early_retries_total', { refusedBy: 'owner' }),
  })
}

/** A strategy without schedulers, as a baseline for benchmarks. */
function createBaseline (parts: BoxParts, strategy: PickerKind, index: PrefixIndex): Placer {
  const { clock, random, engines, settings, view } = parts
  const { admission, countOwn, reportPeriodMs } = settings.scheduling
  const decodeStrategy = strategy === PickerKind.PrefixHash ? PickerKind.LeastLoad : strategy
  return new LocalPlacer({
    clock,
    picker: createEnginePicker(strategy, random),
    decodePicker: createEnginePicker(decodeStrategy, random),
    reports: new PolledReports({
      clock,
      engines,
      periodMs: reportPeriodMs,
      listed: () => parts.shardManagers.shards().flatMap(enginesOf),
      onTaskError: (thrown) => parts.failures.recordTask('polledReports', thrown),
    }),
    index,
    shardsOfModel: (model) => parts.shardManagers.shardsOfModel(model),
    admission,
    assumedOwners: () => countOwn ? view.takingWork().length : 0,
    slotPercent: 100,
  })
}

/** Places requests at the owner while no scheduler can be reached. */
function createFallback (parts: BoxParts, index: PrefixIndex): LocalPlacer {
  const { clock, random, engines, settings, declarations } = parts
  const { reportPeriodMs, fallbackPlacesPercent } = settings.scheduling
  // Weights that a route lists apply at its schedulers only: the placer serves all models.
  const weights = new AccountWeights({ route: () => undefined, accounts: () => declarations.value.accounts() })
  return new LocalPlacer({
    clock,
    picker: createEnginePicker(PickerKind.TwoChoices, random),
    decodePicker: createEnginePicker(PickerKind.TwoChoices, random),
    reports: new OnDemandReports({ clock, random, engines, timeoutMs: reportPeriodMs / 2, sampleSize: FALLBACK_SAMPLE }),
    index,
    shardsOfModel: (model) => parts.shardManagers.shardsOfModel(model),
    admission: true,
    assumedOwners: () => 1,
    slotPercent: fallbackPlacesPercent,
    weightOf: (client) => weights.weightOf(client),
  })
}
