import { type EngineAccount, type ShardLedger } from '@reelspan/scheduling.ledger'

/** Describes a shard's engines and their reservations for the state dump. */
export function describeEngines (ledger: ShardLedger, nowMs: number) {
  const common = (engine: EngineAccount<unknown>) => ({
    name: engine.name,
    servedVersion: ledger.servedVersion(engine, nowMs),
    leaving: engine.leaving,
    retiring: engine.retiring,
    reportAgeMs: engine.report && Math.round(nowMs - engine.reportAtMs),
  })
  return {
    prefill: ledger.prefillEngines().map((engine) => ({
      ...common(engine),
      busyMs: Math.round(engine.account.freeAtMs(nowMs) - nowMs),
      speedFactor: Number(engine.account.speedFactor.toFixed(2)),
    })),
    decode: ledger.decodeEngines().map((engine) => ({
      ...common(engine),
      reservedPlaces: engine.account.reservedPlaces,
      externalPlaces: engine.account.externalPlaces,
      kvBytesInUse: engine.account.kvBytesInUse,
      ownPrefills: engine.account.ownPrefills.plannedCount,
    })),
  }
}
