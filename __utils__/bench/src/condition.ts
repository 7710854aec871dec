import { setTimeout as sleep } from 'node:timers/promises'
import { type ProcessFleet } from './processFleet.js'

/** Fault that is injected while load runs. */
export enum Condition {
  NoFault = 'calm',
  EngineLost = 'engineLost',
  SchedulerKilled = 'schedulerKilled',
  ZoneFrozen = 'zoneFrozen',
  CacheEventsLost = 'cacheEventsLost',
  PlatformOutage = 'platformGone',
}

const FROZEN_ZONE = 'hall-c'

/** Injects the fault after a delay. */
export async function injectFault (condition: Condition, fleet: ProcessFleet, delayMs: number): Promise<void> {
  await sleep(delayMs)
  switch (condition) {
    case Condition.NoFault:
      return
    case Condition.EngineLost:
      await fleet.upstreams.get('decode-2')?.process.kill()
      return
    case Condition.SchedulerKilled:
      await (await findScheduler(fleet))?.process.kill()
      return
    case Condition.ZoneFrozen:
      fleet.processesInZone(FROZEN_ZONE).forEach((process) => process.signal('SIGSTOP'))
      return
    case Condition.CacheEventsLost:
      await Promise.all([...fleet.upstreams].filter(([name]) => name.startsWith('prefill')).map(([, { process }]) => process.sendAndAwaitReply({ type: 'engineFaults', faults: { loseCacheEvents: true } })))
      return
    case Condition.PlatformOutage:
      await fleet.sendToPlatform({ type: 'platformFaults', faults: { outage: true } })
  }
}

/** Finds the box that schedules the shard. */
async function findScheduler (fleet: ProcessFleet) {
  const states = await Promise.all(fleet.boxes.map(async (box) => ({ box, state: await fleet.readState(box) })))
  return states.find(({ state }) => state.shards.length > 0)?.box
}
