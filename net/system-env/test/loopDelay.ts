import { setImmediate } from 'node:timers/promises'
import { LoopDelay } from '@reelspan/net.system-env'
import test from 'ava'

const PAUSE_MS = 80

function longestMs (loopDelay: LoopDelay): number {
  return Math.max(...loopDelay.take().map(({ delayMs }) => delayMs))
}

/** Turns of the event loop that each take as long as a pause. */
async function turnSlowly (turns: number): Promise<void> {
  for (let i = 0; i < turns; i++) {
    const endMs = performance.now() + PAUSE_MS
    while (performance.now() < endMs);
    await setImmediate()
  }
}

test('pauses of the event loop show in its delay, and no longer once they were taken', async (t) => {
  const loopDelay = new LoopDelay()
  // The first turn after the start, or after a reading, is not measured.
  await turnSlowly(4)
  const longest = longestMs(loopDelay)
  t.true(longest >= PAUSE_MS / 2, `${longest} ms`)
  t.is(longestMs(loopDelay), 0)
})
