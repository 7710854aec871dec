import { Verdict } from '@reelspan/core.error'
import { UpstreamOutcome } from '@reelspan/core.messages'
import { AnswerEnd, EventProgress } from '@reelspan/request.relay'
import { Metrics } from '@reelspan/telemetry.metrics'
import { UpstreamError } from '@reelspan/upstream.client'
import test from 'ava'
import fc from 'fast-check'
import { createRelay, RecordingCaller, requestTo, streams } from './__utils__/createRelay.js'

const EVENT_STREAM = ['Content-Type', 'text/event-stream; charset=utf-8']
const BYTE_ORDER_MARK = Buffer.from([0xef, 0xbb, 0xbf])
const EVENT = 'id: 0\ndata: a\n\n'

function isWhole (parts: readonly Uint8Array[], { status = 200, headers = EVENT_STREAM } = {}): boolean {
  const end = new AnswerEnd({ status, headers }, { sender: 'd1', metrics: new Metrics() })
  parts.forEach((part) => end.push(part))
  try {
    end.check()
    return true
  } catch (thrown) {
    if (thrown instanceof UpstreamError) return false
    throw thrown
  }
}

/** A plain reading of the format: whether a field follows the last blank line. */
function endsInsideEvent (bytes: Buffer): boolean {
  const mark = bytes.subarray(0, BYTE_ORDER_MARK.length)
  const hasMark = mark.equals(BYTE_ORDER_MARK)
  if (bytes.byteLength > 0 && !hasMark && BYTE_ORDER_MARK.subarray(0, bytes.byteLength).equals(bytes)) return true
  const lines = bytes.subarray(hasMark ? BYTE_ORDER_MARK.length : 0).toString('latin1').split(/\r\n|\r|\n/)
  // The last one is not ended, so that it is no blank line.
  const blankAt = lines.slice(0, -1).lastIndexOf('')
  return lines.slice(blankAt + 1).some((line) => line !== '' && !line.startsWith(':'))
}

const lineEnd = fc.constantFrom('\n', '\r\n', '\r')
const line = fc.constantFrom('data: a', 'data', 'id: 7', ': comment', ':', 'unknown: x', 'data: é')
const block = fc.record({ lines: fc.array(line, { maxLength: 4 }), end: lineEnd }).map(({ lines, end }) => [...lines, ''].map((text) => text + end).join(''))
const stream = fc.record({ marked: fc.boolean(), blocks: fc.array(block, { maxLength: 4 }) })
  .map(({ marked, blocks }) => Buffer.concat([marked ? BYTE_ORDER_MARK : Buffer.alloc(0), Buffer.from(blocks.join(''))]))
const cuts = fc.array(fc.nat(60), { maxLength: 5 })

function split (bytes: Buffer, places: readonly number[]): Buffer[] {
  const sorted = [0, ...[...places].filter((place) => place < bytes.byteLength).sort((a, b) => a - b), bytes.byteLength]
  return sorted.slice(1).map((end, i) => bytes.subarray(sorted[i], end))
}

test('a stream that is cut at any byte is whole exactly if it does not end inside an event', (t) => {
  const seen = { whole: 0, broken: 0 }
  fc.assert(fc.property(stream, cuts, (bytes, places) => {
    for (let length = 0; length <= bytes.byteLength; length++) {
      const cut = bytes.subarray(0, length)
      const inside = endsInsideEvent(cut)
      seen[inside ? 'broken' : 'whole']++
      t.is(isWhole(split(cut, places)), !inside, JSON.stringify(cut.toString('latin1')))
    }
  }), { seed: 57, numRuns: 300 })
  t.true(seen.whole > 1000 && seen.broken > 1000, JSON.stringify(seen))
})

test('nothing of a stream is dropped, and its events end at the same places however its bytes are split', (t) => {
  fc.assert(fc.property(stream, cuts, (bytes, places) => {
    const progress = new EventProgress()
    const parts = split(bytes, places).map((part) => progress.push(part))
    const atOnce = new EventProgress()
    atOnce.push(bytes)
    t.deepEqual([progress.events, progress.lastId], [atOnce.events, atOnce.lastId])
    t.true(Buffer.concat([...parts, progress.flush()]).equals(bytes))
  }), { seed: 58, numRuns: 300 })
})

test('whole answers of all kinds are whole', (t) => {
  const texts = ['', EVENT, `${EVENT}: done\n`, `${EVENT}: done`, `${EVENT}\n`, `${EVENT}\r\n\r\n`, 'data: a\r\n\r\n', 'data: a\r\r', `\ufeff${EVENT}`, `${'data: '.padEnd(2_000_000, 'x')}\n\n`]
  t.deepEqual(texts.filter((text) => !isWhole([Buffer.from(text)])), [])
  const json = [Buffer.from('{"error":"bad"}')]
  t.true(isWhole(json, { status: 400 }))
  t.true(isWhole(json, { headers: ['Content-Type', 'application/json'] }))
  t.true(isWhole(json, { headers: [] }))
  t.true(isWhole(json, { headers: [...EVENT_STREAM, 'Content-Encoding', 'gzip'] }))
})

test('an event too large to be buffered shows that it was broken off', (t) => {
  t.false(isWhole([Buffer.from(EVENT), Buffer.from('data: '.padEnd(2_000_000, 'x')), Buffer.from('x\n')]))
})

test('a stream that breaks off inside an event goes on at another engine behind its last complete event', async (t) => {
  const { clock, relay, upstreams, placer } = createRelay([streams('id: 0\ndata: a\n\nid: 1\nda'), streams('id: 1\ndata: b\n\n')])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.is(caller.body, 'id: 0\ndata: a\n\nid: 1\ndata: b\n\n')
  t.true(caller.complete)
  t.deepEqual(upstreams.runs.map(({ opts: { resumeAfter } }) => resumeAfter), [undefined, '0'])
  t.true(placer.outcomes.some(({ engine, outcome }) => engine === 'd1' && outcome === UpstreamOutcome.Unreachable))
})

test('a stream that breaks off inside its first event goes on from its start', async (t) => {
  const { clock, relay } = createRelay([streams('id: 0\nda'), streams('id: 0\ndata: a\n\n')])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.is(caller.body, 'id: 0\ndata: a\n\n')
  t.true(caller.complete)
})

test('a stream that may not be resumed is aborted where it broke off, and its end is logged as a failure', async (t) => {
  const { clock, relay, log } = createRelay([streams('id: 0\ndata: a\n\nid: 1\n')])
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1'), caller))
  t.true(caller.wasAborted)
  t.false(caller.complete)
  const ended = log.entries.find(({ event }) => event === 'requestEnded')?.fields
  t.is(ended?.verdict, Verdict.MayHaveRun)
  t.regex(String(ended?.reason), /ended its stream inside an event/)
})
