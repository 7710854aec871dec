import { ErrorCode, Verdict } from '@reelspan/core.error'
import { OriginSource } from '@reelspan/request.stream-origins'
import test from 'ava'
import { aborts, createRelay, RecordingCaller, refuses, requestTo, streams } from './__utils__/createRelay.js'

const FIRST = 'id: 0\ndata: a\n\n'
const SECOND = 'id: 1\ndata: b\n\n'
const TAKEN_UP = { id: 'r2', resumeAfter: '0', resumesAttempt: 'r1' }

/** Sets the software versions of the decode engines, which the placer chooses in this order. */
function setVersions ({ engines }: ReturnType<typeof createRelay>, versions: readonly string[]): void {
  versions.forEach((softwareVersion, i) => Object.assign(engines.find(({ name }) => name === `d${i + 1}`) ?? {}, { softwareVersion }))
}

/** Changes the entry of the first engine when it has answered its first request. */
function changeOnRun ({ engines, upstreams }: ReturnType<typeof createRelay>, change: { leaving?: boolean, softwareVersion?: string }): void {
  const run = upstreams.run.bind(upstreams)
  upstreams.run = async (...args) => {
    const answer = await run(...args)
    Object.assign(engines.find(({ name }) => name === 'd1') ?? {}, change)
    return answer
  }
}

test('a stream goes on only at the software version of its first event', async (t) => {
  const created = createRelay([aborts(200, [FIRST, 'id: 1\nda']), streams(SECOND)])
  setVersions(created, ['v1', 'v2', 'v1', 'v1'])
  const { clock, relay, upstreams, placer, origins } = created
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.deepEqual(upstreams.runs.map(({ instance }) => instance), ['d1', 'd3'])
  t.deepEqual(placer.requests.map(({ softwareVersion }) => softwareVersion), [undefined, 'v1', 'v1'])
  t.is(caller.body, FIRST + SECOND)
  t.true(caller.complete)
  t.true(origins.recorded.every(({ attempt, version }) => attempt === 'r1' && version === 'v1'))
})

test('a stream without an event yet goes on at any version', async (t) => {
  const created = createRelay([aborts(200, ['id: 0\nda']), streams(FIRST)])
  setVersions(created, ['v1', 'v2'])
  const { clock, relay, origins } = created
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.is(caller.body, FIRST)
  t.deepEqual(origins.recorded.map(({ version }) => version), ['v2'])
})

test('a stream that is taken up goes on at the version that began it, under its first attempt and its own id', async (t) => {
  const created = createRelay([streams(SECOND)])
  setVersions(created, ['v1', 'v2'])
  const { clock, relay, upstreams, origins } = created
  origins.found = { version: 'v2', source: OriginSource.Peers, knownBy: ['box-2'] }
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1', TAKEN_UP), caller))
  t.deepEqual(upstreams.runs.map(({ instance, opts: { resumeAfter } }) => [instance, resumeAfter]), [['d2', '0']])
  t.deepEqual(origins.queries.map(({ attempt }) => attempt), ['r1'])
  t.deepEqual(origins.recorded.map(({ attempt, version }) => [attempt, version]), [['r2', 'v2'], ['r1', 'v2']])
  t.true(caller.complete)
})

test('a stream whose version cannot be found out is refused as not run, and nothing is sent', async (t) => {
  for (const retryAfterMs of [500, undefined]) {
    const { clock, relay, upstreams, origins, placer } = createRelay([streams(SECOND)])
    origins.found = { reason: 'nobody knows', retryAfterMs }
    const caller = new RecordingCaller()
    await clock.run(relay.relay(requestTo('/reply/1', TAKEN_UP), caller))
    t.like(caller.refused, { verdict: Verdict.NotRun, code: ErrorCode.StreamOriginUnknown })
    t.is(caller.refused?.retryAfterMs, retryAfterMs)
    t.deepEqual([upstreams.runs.length, placer.requests.length], [0, 0])
  }
})

test('a stream whose version has no engine left is refused at once and without a retry delay', async (t) => {
  const created = createRelay([streams(SECOND)])
  setVersions(created, ['v2', 'v2', 'v2', 'v2'])
  const { clock, relay, origins, upstreams } = created
  origins.found = { version: 'v1', source: OriginSource.Own, knownBy: [] }
  const caller = new RecordingCaller()
  const fromMs = clock.nowMs()
  await clock.run(relay.relay(requestTo('/reply/1', TAKEN_UP), caller))
  t.is(clock.nowMs(), fromMs)
  t.like(caller.refused, { verdict: Verdict.NotRun, code: ErrorCode.StreamVersionGone })
  t.is(caller.refused?.retryAfterMs, undefined)
  t.is(upstreams.runs.length, 0)
})

test('a stream that is broken off is aborted at once if its version has no engine left', async (t) => {
  const created = createRelay([aborts(200, [FIRST])])
  setVersions(created, ['v1', 'v2', 'v2', 'v2'])
  const { clock, relay, upstreams, placer } = created
  changeOnRun(created, { leaving: true })
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1'), caller))
  t.is(placer.requests.length, 1)
  t.deepEqual(upstreams.runs.map(({ instance }) => instance), ['d1'])
  t.true(caller.wasAborted)
  t.false(caller.complete)
})

test('an engine that refuses is not asked again after its entry has changed to another version', async (t) => {
  const created = createRelay([refuses(), streams(SECOND)], { computesPrompts: true })
  setVersions(created, ['v1', 'v1'])
  const { clock, relay, origins, upstreams } = created
  origins.found = { version: 'v1', source: OriginSource.Own, knownBy: [] }
  changeOnRun(created, { softwareVersion: 'v2' })
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/reply/1', TAKEN_UP), caller))
  t.deepEqual(upstreams.runs.map(({ instance }) => instance), ['d1', 'd2'])
  t.true(caller.complete)
})
