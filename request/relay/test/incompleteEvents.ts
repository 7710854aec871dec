import { AnswerBuffer } from '@reelspan/upstream.client'
import test from 'ava'
import { aborts, createRelay, RecordingCaller, repeats, requestTo, streams } from './__utils__/createRelay.js'

const FIRST = 'id: 0\ndata: a\n\n'
const SECOND_PARTS = ['id: 1\nda', 'ta: b\n', '\n']

/** Keeps no bytes of incomplete events. */
class FullBuffer extends AnswerBuffer {
  heldBytes = 0

  attach (): void {}

  detach (): void {}

  charge (): void {}

  release (): void {}

  hold (bytes: number): boolean {
    this.heldBytes = bytes
    return bytes === 0
  }

  assignTo (): void {}
}

class ShortOfMemory extends RecordingCaller {
  readonly held = new FullBuffer()

  override get buffer (): AnswerBuffer {
    return this.held
  }
}

// Guards against memory that fills up with incomplete events of many streams at once.
test('without memory for an incomplete event its bytes are passed on as they arrive', async (t) => {
  const { clock, relay } = createRelay([aborts(200, [FIRST, SECOND_PARTS[0]])])
  const caller = new ShortOfMemory()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.is(caller.body, FIRST + SECOND_PARTS[0])
  t.is(caller.held.heldBytes, 0)
})

test('a stream of which an incomplete event was passed on ends whole, or visibly where it breaks off', async (t) => {
  const { clock, relay, upstreams } = createRelay([async (opts) => ({ ...await streams(FIRST)(opts), body: partsOf([FIRST, ...SECOND_PARTS]) }), aborts(200, [FIRST, ...SECOND_PARTS.slice(0, 2)]), streams(FIRST)])
  const [whole, broken] = [new ShortOfMemory(), new ShortOfMemory()]
  await clock.run(relay.relay(requestTo('/reply/1'), whole))
  await clock.run(relay.relay(requestTo('/reply/2'), broken))
  t.is(whole.body, FIRST + SECOND_PARTS.join(''))
  t.true(whole.complete)
  t.false(broken.complete)
  t.is(upstreams.runs.length, 2)
})

test('an event of which a part was passed on is still bounded', async (t) => {
  const { clock, relay, metrics } = createRelay([repeats('id: 0\ndata: ', 'x'.repeat(65_536), 128)])
  const caller = new ShortOfMemory()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.false(caller.complete)
  t.true(metrics.exposition().includes('reelspan_oversized_answers_total{answer="event"} 1'))
})

async function * partsOf (parts: readonly string[]): AsyncGenerator<Uint8Array> {
  for (const part of parts) yield Buffer.from(part)
}
