import { Clock, PauseDetector, type SleepOptions, TaskGroup } from '@reelspan/core.env'
import test from 'ava'

/** A clock whose sleeps end when the test fires them. */
class ManualClock extends Clock {
  readonly #wakes: (() => void)[] = []
  #nowMs = 0

  nowMs (): number {
    return this.#nowMs
  }

  sleep (_durationMs: number, { signal }: SleepOptions = {}): Promise<void> {
    return new Promise((resolve) => {
      this.#wakes.push(resolve)
      signal?.addEventListener('abort', () => resolve(), { once: true })
    })
  }

  async awaitPendingInput (): Promise<void> {}

  pass (durationMs: number): void {
    this.#nowMs += durationMs
  }

  /** Ends all sleeps and lets their tasks run. */
  async fire (): Promise<void> {
    this.#wakes.splice(0).forEach((wake) => wake())
    await new Promise((resolve) => setImmediate(resolve))
  }
}

async function startDetector () {
  const clock = new ManualClock()
  const detector = new PauseDetector({ clock })
  const tasks = new TaskGroup(clock)
  detector.start(tasks)
  const tick = async (afterMs: number) => {
    clock.pass(afterMs)
    await clock.fire()
  }
  for (const afterMs of [100, 100, 100]) await tick(afterMs)
  return { clock, detector, tasks, tick }
}

test('what a process handles while its event loop turns has just arrived', async (t) => {
  const { clock, detector, tasks } = await startDetector()
  clock.pass(60)
  t.is(detector.earliestArrivalMs(), clock.nowMs())
  await tasks.stop()
})

test('what is handled after a pause may have arrived before it, whether timers fire first or not', async (t) => {
  const first = await startDetector()
  const pausedAtMs = first.clock.nowMs()
  first.clock.pass(1500)
  t.true(first.detector.earliestArrivalMs() <= pausedAtMs)
  const second = await startDetector()
  await second.tick(1500)
  t.true(second.detector.earliestArrivalMs() <= pausedAtMs, 'the timer fired before the event was handled')
  await Promise.all([first.tasks.stop(), second.tasks.stop()])
})

test('of several pauses, only those matter since the event loop last polled', async (t) => {
  const { clock, detector, tasks, tick } = await startDetector()
  await tick(1500)
  const resumedAtMs = clock.nowMs()
  await tick(1000)
  t.is(detector.earliestArrivalMs(), resumedAtMs)
  await tick(100)
  await tick(100)
  t.is(detector.earliestArrivalMs(), clock.nowMs())
  await tasks.stop()
})
