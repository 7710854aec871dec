import { FakeFleet } from '@reelspan/utils.fake-fleet'
import fc from 'fast-check'
import { quiesce, type EmptyModel, STEPS, type FuzzContext } from './commands.js'
import { Oracle } from './oracle.js'

export interface FuzzOptions {
  seed: number
  runs: number
  /** Maximum number of steps of one run. */
  maxSteps?: number
  /** Replays one run of a seed; the path is printed by fast-check with the failure. */
  path?: string
  /** Reports the first failing run as it is, without shrinking it. */
  noShrink?: boolean
}

const MAX_STEPS = 40
const BOXES = 5
const SETTINGS = {
  requests: { lookupKeepMs: 1000, longestRequestMs: 10_000, prefixLifeMs: 60_000 },
}

/** Runs random steps on a small fleet and checks the result with the oracle. Throws with the seed and the shortest failing run found. */
export async function runFuzz ({ seed, runs, path, noShrink = false, maxSteps = MAX_STEPS }: FuzzOptions): Promise<void> {
  const property = fc.asyncProperty(fc.commands(STEPS, { maxCommands: maxSteps, size: 'max' }), fc.nat(), async (steps, fleetSeed) => {
    const fleet = await new FakeFleet({ boxCount: BOXES, seed: fleetSeed, settings: SETTINGS }).start()
    const context: FuzzContext = { fleet, oracle: new Oracle(fleet) }
    const model: EmptyModel = {}
    await fc.asyncModelRun(() => ({ model, real: context }), steps)
    await quiesce(context)
    context.oracle.checkQuiescent()
    await fleet.stop()
  })
  await fc.assert(property, { seed, path, numRuns: runs, endOnFailure: noShrink, includeErrorInReport: true })
}
