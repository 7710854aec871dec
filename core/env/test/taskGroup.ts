import { Clock, TaskGroup } from '@reelspan/core.env'
import test from 'ava'

/** Sleeps pass at once. */
class HurryingClock extends Clock {
  nowMs (): number {
    return 0
  }

  async sleep (): Promise<void> {}

  async settle (): Promise<void> {}
}

test('a task that fails is told of, and ends alone', async (t) => {
  const errors: unknown[] = []
  const fault = new Error('a fault')
  const tasks = new TaskGroup(new HurryingClock(), (error) => { errors.push(error) })
  let others = 0
  tasks.run(async () => { throw fault })
  tasks.run(async () => { others++ })
  await tasks.stop()
  t.deepEqual(errors, [fault])
  t.is(others, 1)
})

test('each pass of a repeated task that fails is told of, and the task goes on', async (t) => {
  const errors: unknown[] = []
  const tasks = new TaskGroup(new HurryingClock(), (error) => { errors.push(error) })
  let passes = 0
  const ended = new Promise<void>((resolve) => tasks.repeat(async () => {
    passes++
    if (passes === 4) resolve()
    if (passes < 4) throw new Error(`pass ${passes}`)
  }, { periodMs: 1 }))
  await ended
  await tasks.stop()
  t.deepEqual(errors.map((error) => (error as Error).message), ['pass 1', 'pass 2', 'pass 3'])
})
