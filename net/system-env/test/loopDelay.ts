import { performance, type UVMetrics } from 'node:perf_hooks'
import { setImmediate } from 'node:timers/promises'
import { LoopDelay, SystemClock } from '@reelspan/net.system-env'
import test from 'ava'

const PAUSE_MS = 80

function longestMs (loopDelay: LoopDelay): number {
  return Math.max(...loopDelay.collectQuantiles().map(({ delayMs }) => delayMs))
}

/** Runs turns of the event loop that each block it for `PAUSE_MS`. */
async function runSlowTurns (turns: number): Promise<void> {
  for (let i = 0; i < turns; i++) {
    const endMs = performance.now() + PAUSE_MS
    while (performance.now() < endMs);
    await setImmediate()
  }
}

/** The number of turns of the event loop so far. */
function loopCount (): number {
  return (performance.nodeTiming as unknown as { uvMetricsInfo: UVMetrics }).uvMetricsInfo.loopCount
}

test('the delay includes pauses of the event loop since the last collection', async (t) => {
  const loopDelay = new LoopDelay()
  const clock = new SystemClock({ onLateTimer: (lateMs) => loopDelay.record(lateMs) })
  const slept = clock.sleep(10)
  await runSlowTurns(2)
  await slept
  const longest = longestMs(loopDelay)
  t.true(longest >= PAUSE_MS / 2, `${longest} ms`)
  t.is(longestMs(loopDelay), 0)
})

test('a sleep that is aborted is not recorded as late', async (t) => {
  const loopDelay = new LoopDelay()
  const clock = new SystemClock({ onLateTimer: (lateMs) => loopDelay.record(lateMs) })
  const stop = new AbortController()
  const slept = clock.sleep(10, { signal: stop.signal })
  stop.abort()
  await runSlowTurns(2)
  await slept
  t.is(longestMs(loopDelay), 0)
})

test('measuring the delay does not wake an idle process', async (t) => {
  const loopDelay = new LoopDelay()
  const before = loopCount()
  await new SystemClock().sleep(1000)
  const turns = loopCount() - before
  t.true(turns < 25, `${turns} turns of the event loop in a second`)
  t.is(loopDelay.collectQuantiles().length, 3)
})
