import { type Attempt, checkSilences, RouteKind, type SilenceHistory } from '@reelspan/utils.soak'
import { type UpstreamRun } from '@reelspan/utils.platform-stand-ins'
import test from 'ava'

const CUT: Attempt = { id: 'a', kind: RouteKind.Resumable, box: 'box-1', sentAtMs: 0, endedAtMs: 2000, deadlineMs: 5000, status: 200, error: 'closed' }
const SILENCE = { instance: 'i-1', fromMs: 500, toMs: 3000 }

function runOf (overrides: Partial<UpstreamRun> = {}): UpstreamRun {
  return { id: 'a', instance: 'i-1', path: '/reply/1', startedAtMs: 10, endedAtMs: 2000, complete: false, answerLost: false, sentEvents: 1, eventsAtMs: [100], ...overrides }
}

function historyOf (overrides: Partial<SilenceHistory> = {}): SilenceHistory {
  return { attempts: [CUT], runs: [runOf()], silences: [SILENCE], stops: [], wasInterrupted: () => false, ...overrides }
}

function violationsOf (overrides: Partial<SilenceHistory> = {}): string[] {
  return checkSilences(historyOf(overrides)).violations
}

test('reports an answer that was cut though its engine was only silent', (t) => {
  t.regex(violationsOf()[0], /was cut after 2000 ms, run by i-1 \(silent from 500 to 3000 ms\): closed/)
  t.is(checkSilences(historyOf()).checkCounts.begun, 1)
})

test('an answer may be cut when its engine exited or was cut off, its box exited, its deadline has passed or its client has left', (t) => {
  t.deepEqual(violationsOf({ runs: [runOf({ answerLost: true })] }), [])
  t.deepEqual(violationsOf({ wasInterrupted: () => true }), [])
  t.deepEqual(violationsOf({ stops: [{ box: 'box-1', atMs: -5500 }] }), [])
  t.is(violationsOf({ stops: [{ box: 'box-1', atMs: 0 }] }).length, 1, 'a stopping box finishes what it can')
  t.deepEqual(violationsOf({ attempts: [{ ...CUT, deadlineMs: 2000 }] }), [])
  t.deepEqual(violationsOf({ attempts: [{ ...CUT, deadlineMs: 2000.6 }] }), [])
  t.not(violationsOf({ attempts: [{ ...CUT, deadlineMs: 2002 }] }).length, 0)
  t.deepEqual(violationsOf({ attempts: [{ ...CUT, abortedAtMs: 1999 }] }), [])
})

test('answers without a run at a silent engine are not examined', (t) => {
  t.is(checkSilences(historyOf({ silences: [{ ...SILENCE, instance: 'i-2' }] })).checkCounts.begun, 0)
  t.is(checkSilences(historyOf({ silences: [{ ...SILENCE, fromMs: 2500 }] })).checkCounts.begun, 0)
})

const WHOLE: Attempt = { ...CUT, error: undefined, endedAtMs: 2500 }
const SECOND_RUN = runOf({ instance: 'i-2', startedAtMs: 1000, endedAtMs: 2500, eventsAtMs: [1200, 1300] })

function violationsOfRuns (overrides: Partial<UpstreamRun>, silence = SILENCE, history: Partial<SilenceHistory> = {}): string[] {
  return violationsOf({ attempts: [WHOLE], runs: [runOf(overrides), SECOND_RUN], silences: [silence], ...history })
}

test('reports a request that stays on two engines after one of them has gone on', (t) => {
  const over = { ...SILENCE, toMs: 1100 }
  t.deepEqual(violationsOfRuns({ endedAtMs: 1800 }, over), [])
  t.regex(violationsOfRuns({ endedAtMs: 1900 }, over)[0], /ran at i-1 and i-2 for 700 ms after one of them had gone on/)
  t.deepEqual(violationsOfRuns({ endedAtMs: 1900 }, over, { wasInterrupted: () => true }), [])
  t.deepEqual(violationsOfRuns({ endedAtMs: 1900 }, over, { attempts: [{ ...WHOLE, wasStalled: true }] }), [])
})

test('a superseded run may last until its engine reads again', (t) => {
  t.deepEqual(violationsOfRuns({ endedAtMs: 2400 }, { ...SILENCE, toMs: 2000 }), [])
})

test('two runs may last while neither goes on', (t) => {
  t.deepEqual(violationsOf({ attempts: [WHOLE], runs: [runOf(), { ...SECOND_RUN, eventsAtMs: [] }] }), [])
})
