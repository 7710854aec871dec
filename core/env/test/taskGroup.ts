import { Clock, TaskGroup } from '@reelspan/core.env'
import test from 'ava'

/** A clock whose sleeps end immediately. */
class InstantClock extends Clock {
  nowMs (): number {
    return 0
  }

  async sleep (): Promise<void> {}

  async awaitPendingInput (): Promise<void> {}
}

test('a failed task is reported and does not end the others', async (t) => {
  const errors: unknown[] = []
  const fault = new Error('a fault')
  const tasks = new TaskGroup(new InstantClock(), (error) => { errors.push(error) })
  let others = 0
  tasks.run(async () => { throw fault })
  tasks.run(async () => { others++ })
  await tasks.stop()
  t.deepEqual(errors, [fault])
  t.is(others, 1)
})

test('each failed run of a repeated task is reported, and the task continues', async (t) => {
  const errors: unknown[] = []
  const tasks = new TaskGroup(new InstantClock(), (error) => { errors.push(error) })
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
