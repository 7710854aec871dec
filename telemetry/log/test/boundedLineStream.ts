import { constants, openSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { BoundedLineStream } from '@reelspan/telemetry.log'
import test, { type ExecutionContext } from 'ava'

function createFile (t: ExecutionContext, flags: string | number = 'w') {
  const path = join(tmpdir(), `reelspan-lines-${process.pid}-${Math.trunc(performance.now() * 1000)}`)
  const fileDescriptor = openSync(path, flags)
  t.teardown(() => rmSync(path))
  return { fileDescriptor, read: () => readFileSync(path, 'utf8') }
}

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setImmediate(resolve))
}

test('lines are written in order', async (t) => {
  const { fileDescriptor, read } = createFile(t)
  const stream = new BoundedLineStream({ fileDescriptor, nowMs: () => 0 })
  for (let i = 0; i < 5; i++) stream.write(`${i}\n`)
  await until(() => read().length === 10)
  t.is(read(), '0\n1\n2\n3\n4\n')
})

test('lines over the rate are dropped, and told of in the next second', async (t) => {
  const { fileDescriptor, read } = createFile(t)
  let nowMs = 0
  const stream = new BoundedLineStream({ fileDescriptor, nowMs: () => nowMs, maxLinesPerSecond: 2 })
  for (let i = 0; i < 5; i++) stream.write(`${i}\n`)
  t.is(stream.dropped, 3)
  nowMs = 1000
  stream.write('later\n')
  await until(() => read().endsWith('later\n'))
  t.is(read(), '0\n1\n{"event":"linesDropped","lines":3}\nlater\n')
  t.is(stream.droppedInAll, 3)
})

test('a reader that takes nothing makes lines drop and holds nothing up', (t) => {
  const { fileDescriptor } = createFile(t)
  const stream = new BoundedLineStream({ fileDescriptor, nowMs: () => 0, maxWaitingBytes: 10 })
  stream.write('12345\n')
  stream.write('12345\n')
  stream.write('12345\n')
  t.true(stream.dropped > 0)
})

test('a reader that is gone is not written to for ever', async (t) => {
  // Nothing can be written to it, as to one that is closed; but its number stays its own, while tests beside this one open files.
  const { fileDescriptor } = createFile(t, constants.O_CREAT | constants.O_RDONLY)
  const stream = new BoundedLineStream({ fileDescriptor, nowMs: () => 0 })
  stream.write('lost\n')
  await until(() => stream.dropped > 0)
  t.is(stream.dropped, 1)
})
