import { type Attempt, checkHistory, RouteKind } from '@reelspan/utils.soak'
import { type UpstreamRun } from '@reelspan/utils.platform-stand-ins'
import test from 'ava'

function attemptOf (overrides: Partial<Attempt> = {}): Attempt {
  return { id: 'a', kind: RouteKind.Once, box: 'box-1', sentAtMs: 0, endedAtMs: 100, deadlineMs: 1000, status: 200, body: 'done a', ...overrides }
}

function runOf (overrides: Partial<UpstreamRun> = {}): UpstreamRun {
  return { id: 'a', instance: 'i-1', path: '/fetch/1', startedAtMs: 10, endedAtMs: 90, complete: true, answerLost: false, sentEvents: 0, ...overrides }
}

test('reports nothing for a request that ran once and was answered completely', (t) => {
  t.deepEqual(checkHistory([attemptOf()], [runOf()]), [])
})

test('reports a second run, unless the request may be repeated', (t) => {
  t.regex(checkHistory([attemptOf()], [runOf(), runOf()])[0], /ran 2 times/)
  t.deepEqual(checkHistory([attemptOf({ kind: RouteKind.Repeatable })], [runOf(), runOf()]), [])
})

test('reports a refusal of a request that ran', (t) => {
  const refused = attemptOf({ status: 503, body: '{}', retryAfter: '1' })
  t.deepEqual(checkHistory([refused], []), [])
  t.regex(checkHistory([refused], [runOf()])[0], /refused as not run, but ran/)
})

test('reports a refusal without a Retry-After header', (t) => {
  t.regex(checkHistory([attemptOf({ status: 503, body: '{}' })], [])[0], /without a Retry-After header/)
})

test('reports the answer of another request, a truncated answer that looks complete, and an answer without a run', (t) => {
  t.regex(checkHistory([attemptOf({ body: 'done b' })], [runOf()])[0], /unexpected body/)
  t.regex(checkHistory([attemptOf({ body: 'don' })], [runOf()])[0], /unexpected body/)
  t.regex(checkHistory([attemptOf()], [])[0], /did not run/)
  t.deepEqual(checkHistory([attemptOf({ body: 'don', error: 'reset' })], [runOf({ complete: false })]), [], 'a truncated answer on a failed connection is allowed')
  t.regex(checkHistory([attemptOf({ body: 'dxn', error: 'reset' })], [runOf({ complete: false })])[0], /not part of its answer/)
})

test('reports a success without a signature', (t) => {
  t.regex(checkHistory([attemptOf({ unsigned: true })], [runOf()])[0], /without the signature/)
  t.deepEqual(checkHistory([attemptOf({ status: 502, body: '{}', unsigned: true })], [runOf()]), [])
})

test('reports a stream with a missing event', (t) => {
  const stream = attemptOf({ kind: RouteKind.Stream, body: 'id: 0\ndata: a 0\n\nid: 2\ndata: a 2\n\nid: 3\ndata: a 3\n\n' })
  t.regex(checkHistory([stream], [runOf()])[0], /unexpected body/)
})

test('a longer stream is complete only with all its events', (t) => {
  const body = 'id: 0\ndata: a 0\n\nid: 1\ndata: a 1\n\n'
  t.deepEqual(checkHistory([attemptOf({ kind: RouteKind.Stream, events: 2, body })], [runOf()]), [])
  t.regex(checkHistory([attemptOf({ kind: RouteKind.Stream, events: 3, body })], [runOf()])[0], /unexpected body/)
})

test('reports a run of a request that no client sent', (t) => {
  t.regex(checkHistory([], [runOf()])[0], /no client sent it/)
})

test('reports an answer long after its deadline, unless the box was stalled', (t) => {
  t.regex(checkHistory([attemptOf({ endedAtMs: 1600 })], [runOf()])[0], /ended after 1600 ms/)
  t.deepEqual(checkHistory([attemptOf({ endedAtMs: 1600, wasStalled: true })], [runOf()]), [])
  t.regex(checkHistory([attemptOf({ endedAtMs: undefined, status: undefined, error: 'none' })], [])[0], /never ended/)
})

test('reports a stream that went on at another software version, within one answer and over the client\'s tries', (t) => {
  const first = attemptOf({ kind: RouteKind.Resumable, body: 'id: 0\ndata: a 0\n\n', error: 'reset' })
  const takenUp = attemptOf({ id: 'b', kind: RouteKind.Resumable, resumes: { attempt: 'a', after: 0 }, body: [1, 2, 3].map((i) => `id: ${i}\ndata: b ${i}\n\n`).join('') })
  const began = runOf({ sentEvents: 1, softwareVersion: 'v1', complete: false })
  t.deepEqual(checkHistory([first, takenUp], [began, runOf({ id: 'b', resumedAfter: 0, sentEvents: 3, softwareVersion: 'v1' })]), [])
  t.regex(checkHistory([first, takenUp], [began, runOf({ id: 'b', resumedAfter: 0, sentEvents: 3, softwareVersion: 'v2' })])[0], /went on at i-1, version v2, behind an event of version v1/)
  t.regex(checkHistory([first], [began, runOf({ resumedAfter: 0, softwareVersion: 'v2' })])[0], /version v2/)
})

test('a stream that is taken up may be refused without a time to come back', (t) => {
  t.deepEqual(checkHistory([attemptOf({ kind: RouteKind.Resumable, resumes: { attempt: 'z', after: 0 }, status: 503, body: '{}' })], []), [])
})
