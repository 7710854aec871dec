import { setTimeout as sleep } from 'node:timers/promises'
import { type SeededRandom } from '@reelspan/utils.fakes'
import { type SilenceInjector } from './silenceInjector.js'

export interface SilencePhaseOptions {
  silences: SilenceInjector
  random: SeededRandom
}

const DURATION_MS = 10_000
const MAX_GAP_MS = 1500

/** Engines are silent several times in a row, without other faults, while clients go on. */
export async function runSilencePhase ({ silences, random }: SilencePhaseOptions): Promise<void> {
  const untilMs = performance.now() + DURATION_MS
  while (performance.now() < untilMs) {
    await silences.injectRandom()
    await sleep(random.nextFloat() * MAX_GAP_MS)
  }
}
