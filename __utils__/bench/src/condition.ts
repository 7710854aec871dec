import { setTimeout as sleep } from 'node:timers/promises'
import { type ProcessFleet } from './processFleet.js'

/** What goes wrong while load runs. */
export enum Condition {
  Calm = 'calm',
  EngineLost = 'engineLost',
  SchedulerKilled = 'schedulerKilled',
  ZoneFrozen = 'zoneFrozen',
  CacheEventsLost = 'cacheEventsLost',
  PlatformGone = 'platformGone',
}

const FROZEN_ZONE = 'hall-c'

/** Makes it happen, after `atMs`. */
export async function impose (condition: Condition, fleet: ProcessFleet, atMs: number): Promise<void> {
  await sleep(atMs)
  switch (condition) {
    case Condition.Calm:
      return
    case Condition.EngineLost:
      await fleet.upstreams.get('decode-2')?.process.kill()
      return
    case Condition.SchedulerKilled:
      await (await findScheduler(fleet))?.process.kill()
      return
    case Condition.ZoneFrozen:
      fleet.inZone(FROZEN_ZONE).forEach((process) => process.signal('SIGSTOP'))
      return
    case Condition.CacheEventsLost:
      await Promise.all([...fleet.upstreams].filter(([name]) => name.startsWith('prefill')).map(([, { process }]) => process.tell({ type: 'engineFaults', faults: { loseCacheEvents: true } })))
      return
    case Condition.PlatformGone:
      await fleet.tellPlatform({ type: 'platformFaults', faults: { outage: true } })
  }
}

/** The box that accounts for the shard. */
async function findScheduler (fleet: ProcessFleet) {
  const states = await Promise.all(fleet.boxes.map(async (box) => ({ box, state: await fleet.readState(box) })))
  return states.find(({ state }) => state.shards.length > 0)?.box
}
