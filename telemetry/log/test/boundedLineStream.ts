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

async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setImmediate(resolve))
}

test('lines are written in order', async (t) => {
  const { fileDescriptor, read } = createFile(t)
  const stream = new BoundedLineStream({ fileDescriptor, nowMs: () => 0 })
  for (let i = 0; i < 5; i++) stream.write(`${i}\n`)
  await waitUntil(() => read().length === 10)
  t.is(read(), '0\n1\n2\n3\n4\n')
})

test('lines over the rate are dropped, and their number is logged in the next second', async (t) => {
  const { fileDescriptor, read } = createFile(t)
  let nowMs = 0
  const stream = new BoundedLineStream({ fileDescriptor, nowMs: () => nowMs, maxLinesPerSecond: 2 })
  for (let i = 0; i < 5; i++) stream.write(`${i}\n`)
  t.is(stream.unreportedDrops, 3)
  nowMs = 1000
  stream.write('later\n')
  await waitUntil(() => read().endsWith('later\n'))
  t.is(read(), '0\n1\n{"event":"linesDropped","lines":3}\nlater\n')
  t.is(stream.totalDrops, 3)
})

test('lines beyond the queue size are dropped', (t) => {
  const { fileDescriptor } = createFile(t)
  const stream = new BoundedLineStream({ fileDescriptor, nowMs: () => 0, maxQueuedBytes: 10 })
  stream.write('12345\n')
  stream.write('12345\n')
  stream.write('12345\n')
  t.true(stream.unreportedDrops > 0)
})

test('lines that cannot be written are counted as dropped', async (t) => {
  // A read-only descriptor fails like a closed one, but its number is not reused by other tests that open files.
  const { fileDescriptor } = createFile(t, constants.O_CREAT | constants.O_RDONLY)
  const stream = new BoundedLineStream({ fileDescriptor, nowMs: () => 0 })
  stream.write('lost\n')
  await waitUntil(() => stream.unreportedDrops > 0)
  t.is(stream.unreportedDrops, 1)
})
