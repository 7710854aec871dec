import { type Attempt, type CheckedHistory, checkBounds, DisruptionKind, RouteKind } from '@reelspan/utils.soak'
import { type UpstreamRun } from '@reelspan/utils.platform-stand-ins'
import test from 'ava'

const BOX = 'box-1'
const INSTANCE = 'i-1'

function historyOf (overrides: Partial<CheckedHistory>): CheckedHistory {
  return { attempts: [], runs: [], arrivals: [], departures: [], publications: [], probes: [], stops: [], isUndisrupted: () => true, ...overrides }
}

function attemptOf (overrides: Partial<Attempt> = {}): Attempt {
  return { id: 'a', kind: RouteKind.Stream, box: BOX, sentAtMs: 10_000, endedAtMs: 11_000, deadlineMs: 9000, ...overrides }
}

function runOf (overrides: Partial<UpstreamRun> = {}): UpstreamRun {
  return { id: 'a', instance: INSTANCE, path: '/draft/1', startedAtMs: 10_010, endedAtMs: 11_000, complete: false, answerLost: false, sentEvents: 0, ...overrides }
}

function arrivalAt (atMs: number) {
  return { id: 'a', instance: INSTANCE, atMs }
}

function probeOf (version: number, status: number, atMs: number) {
  return { box: BOX, incarnation: 'box-1#7', version, status, sentAtMs: atMs, endedAtMs: atMs + 10 }
}

const VERSIONS = [{ version: 1, path: '/1/', atMs: 1000 }, { version: 2, path: '/2/', atMs: 10_000 }]

test('reports a request to a draining upstream after the bound, unless the box or the store was disrupted', (t) => {
  const historyWithArrivalAt = (atMs: number) => historyOf({ attempts: [attemptOf()], departures: [{ instance: INSTANCE, atMs: 8000 }], arrivals: [arrivalAt(atMs)] })
  t.deepEqual(checkBounds(historyWithArrivalAt(10_000)).violations, [])
  t.regex(checkBounds(historyWithArrivalAt(10_001)).violations[0], /reached i-1 from box-1 2001 ms after/)
  t.deepEqual(checkBounds({ ...historyWithArrivalAt(20_000), isUndisrupted: () => false }).violations, [])
  t.is(checkBounds({ ...historyWithArrivalAt(20_000), isUndisrupted: () => false }).checkCounts.leaving, 0)
})

test('reports an aborted request that still reaches an upstream or keeps running there', (t) => {
  const abortedAttempt = attemptOf({ abortedAtMs: 10_500, endedAtMs: 10_500 })
  const violationsWith = (overrides: Partial<CheckedHistory>) => checkBounds(historyOf({ attempts: [abortedAttempt], ...overrides })).violations
  t.deepEqual(violationsWith({ arrivals: [arrivalAt(10_010)], runs: [runOf({ endedAtMs: 10_900 })] }), [])
  t.regex(violationsWith({ arrivals: [arrivalAt(11_200)] })[0], /reached i-1 700 ms after its client had aborted it/)
  t.regex(violationsWith({ arrivals: [arrivalAt(10_010)], runs: [runOf({ endedAtMs: 11_200 })] })[0], /was still running/)
  t.regex(violationsWith({ arrivals: [arrivalAt(10_010)], runs: [runOf({ endedAtMs: undefined })] })[0], /was still running/)
  t.deepEqual(violationsWith({ attempts: [{ ...abortedAttempt, kind: RouteKind.Once }], arrivals: [arrivalAt(10_010)], runs: [runOf({ endedAtMs: 11_200 })] }), [], 'a call that may run at most once is not cancelled')
})

test('reports a request that planned work interrupts, unless its upstream interrupted it or its deadline had passed', (t) => {
  const interruptedAttempt = attemptOf({ error: 'reset' })
  const violationsWith = (overrides: Partial<CheckedHistory>) => checkBounds(historyOf({ attempts: [interruptedAttempt], arrivals: [arrivalAt(10_010)], runs: [runOf()], ...overrides })).violations
  t.regex(violationsWith({})[0], /was interrupted after 1000 ms though/)
  t.deepEqual(violationsWith({ runs: [runOf({ answerLost: true, sentEvents: 0 })] }), [])
  t.deepEqual(violationsWith({ attempts: [attemptOf({ error: 'reset', deadlineMs: 1000 })] }), [])
  t.regex(violationsWith({ arrivals: [], runs: [] })[0], /was interrupted/, 'the box had read the request by then')
  t.deepEqual(violationsWith({ arrivals: [], runs: [], attempts: [attemptOf({ error: 'reset', endedAtMs: 10_020 })] }), [], 'the connection may have closed before the request was read')
  t.deepEqual(violationsWith({ isUndisrupted: (_box, _instances, _within, kinds) => !kinds?.includes(DisruptionKind.Unplanned) }), [])
})

test('reports a stream that the end of the grace period interrupts if it was accepted late, but not if it was accepted early', (t) => {
  const violationsIfSentAt = (sentAtMs: number) => checkBounds(historyOf({
    stops: [{ box: BOX, atMs: 4000 }],
    attempts: [attemptOf({ sentAtMs, endedAtMs: 12_000, error: 'reset' })],
    arrivals: [arrivalAt(sentAtMs + 10)],
    runs: [runOf({ endedAtMs: 12_000 })],
  })).violations
  t.deepEqual(violationsIfSentAt(6900), [])
  t.regex(violationsIfSentAt(7100)[0], /sent 3100 ms and interrupted 8000 ms after SIGTERM/)
})

test('reports a configuration that takes effect too late or is served too long', (t) => {
  const violationsOfProbes = (...probes: ReturnType<typeof probeOf>[]) => checkBounds(historyOf({ publications: VERSIONS, probes })).violations
  t.deepEqual(violationsOfProbes(probeOf(2, 404, 11_900), probeOf(1, 200, 11_900), probeOf(2, 200, 12_100), probeOf(1, 404, 12_100)), [])
  t.regex(violationsOfProbes(probeOf(2, 404, 12_100))[0], /does not know version 2 2100 ms after/)
  t.regex(violationsOfProbes(probeOf(1, 200, 12_100))[0], /still serves version 1 2100 ms after/)
  t.deepEqual(violationsOfProbes(probeOf(2, 503, 12_100)), [], 'a refusal does not show which version the box has')
})

test('reports a box that reverts to an older version, except in a new process', (t) => {
  const violationsOfProbes = (...probes: ReturnType<typeof probeOf>[]) => checkBounds(historyOf({ publications: VERSIONS, probes, isUndisrupted: () => false })).violations
  t.regex(violationsOfProbes(probeOf(2, 200, 10_500), probeOf(1, 200, 10_800))[0], /reverted from version 2/)
  t.regex(violationsOfProbes(probeOf(2, 200, 10_500), probeOf(2, 404, 10_800))[0], /reverted from version 2/)
  t.deepEqual(violationsOfProbes(probeOf(2, 200, 10_500), probeOf(1, 200, 10_600)), [], 'both probes were in flight at the same time')
  t.deepEqual(violationsOfProbes(probeOf(2, 200, 10_500), { ...probeOf(1, 200, 10_800), incarnation: 'box-1#8' }), [])
})
