import { FakeFleet } from '@reelspan/utils.fake-fleet'
import fc from 'fast-check'
import { comeToRest, type EmptyModel, STEPS, type World } from './commands.js'
import { Oracle } from './oracle.js'

export interface FuzzOptions {
  seed: number
  runs: number
  /** Steps of one run at most. */
  maxSteps?: number
  /** Replays one run of a seed, as fast-check prints it. */
  path?: string
  /** Report the first failing run as it is, without looking for a shorter one. */
  noShrink?: boolean
}

const MAX_STEPS = 40
const BOXES = 5
const SETTINGS = {
  requests: { lookupKeepMs: 1000, longestRequestMs: 10_000, prefixLifeMs: 60_000 },
}

/** Runs random steps on a small fleet and checks them against the oracle. Throws with the seed and the shortest failing run found. */
export async function runFuzz ({ seed, runs, path, noShrink = false, maxSteps = MAX_STEPS }: FuzzOptions): Promise<void> {
  const property = fc.asyncProperty(fc.commands(STEPS, { maxCommands: maxSteps, size: 'max' }), fc.nat(), async (steps, fleetSeed) => {
    const fleet = await new FakeFleet({ boxCount: BOXES, seed: fleetSeed, settings: SETTINGS }).start()
    const world: World = { fleet, oracle: new Oracle(fleet) }
    const model: EmptyModel = {}
    await fc.asyncModelRun(() => ({ model, real: world }), steps)
    await comeToRest(world)
    world.oracle.checkAtRest()
    await fleet.stop()
  })
  await fc.assert(property, { seed, path, numRuns: runs, endOnFailure: noShrink, includeErrorInReport: true })
}
