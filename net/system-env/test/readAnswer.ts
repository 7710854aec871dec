import { AnswerKind, readAnswer } from '@reelspan/net.system-env'
import test from 'ava'

async function * partsOf (...parts: readonly string[]) {
  for (const part of parts) yield Buffer.from(part)
}

// Guards against kept answers that take many times their length.
for (const lengths of [[0], [5], [3, 40], [3000, 2000], [90_000, 1]]) {
  test(`an answer of ${lengths.join(' and ')} bytes takes at most twice its length`, async (t) => {
    const text = lengths.map((length, i) => String(i).repeat(length))
    const answer = await readAnswer(partsOf(...text), { kind: AnswerKind.Service, address: 'a', maxBytes: 1_000_000 })
    t.is(answer.toString(), text.join(''))
    t.true(answer.buffer.byteLength <= 2 * answer.byteLength)
  })
}
