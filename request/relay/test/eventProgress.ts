import { EventProgress } from '@reelspan/request.relay'
import fc from 'fast-check'
import test from 'ava'

const STREAM = 'id: 0\ndata: a\n\nid: 1\r\ndata: b\r\n\r\nx-versions: 2\nid: 2\ndata: c\n\n'

test('events are complete however the bytes are split', (t) => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: STREAM.length - 1 }), { maxLength: 8 }), (cuts) => {
    const progress = new EventProgress()
    const places = [0, ...[...new Set(cuts)].sort((a, b) => a - b), STREAM.length]
    const parts = places.slice(1).map((end, i) => progress.push(Buffer.from(STREAM.slice(places[i], end))))
    t.is(Buffer.concat(parts).toString(), STREAM)
    t.is(progress.events, 3)
    t.is(progress.lastId, '2')
  }), { seed: 11 })
})

test('a partial event is buffered until it is complete or flushed', (t) => {
  const progress = new EventProgress()
  t.is(Buffer.from(progress.push(Buffer.from('id: 0\ndata: a\n\nid: 1\nda'))).toString(), 'id: 0\ndata: a\n\n')
  t.is(progress.lastId, '0')
  t.is(Buffer.from(progress.flush()).toString(), 'id: 1\nda')
  t.is(progress.flush().byteLength, 0)
})

test('an event too large to be buffered is passed on as it arrives, and the stream cannot be resumed any more', (t) => {
  const progress = new EventProgress()
  progress.push(Buffer.from('id: 0\ndata: a\n\n'))
  const parts = Array.from({ length: 20 }, () => progress.push(Buffer.alloc(100_000, 'x')))
  t.is(parts.slice(0, 10).reduce((sum, { byteLength }) => sum + byteLength, 0), 0)
  t.is(progress.incompleteBytes, 0)
  t.true(progress.oversized)
  t.is(parts.reduce((sum, { byteLength }) => sum + byteLength, 0), 2_000_000)
})

test('an event that arrives in tiny parts does not hold the process up', (t) => {
  const progress = new EventProgress()
  const part = Buffer.from('x')
  const startedAtMs = performance.now()
  for (let i = 0; i < 500_000; i++) progress.push(part)
  t.is(progress.incompleteBytes, 500_000)
  t.true(performance.now() - startedAtMs < 3000)
})
