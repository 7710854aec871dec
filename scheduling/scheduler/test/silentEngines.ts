import { PlacementOutcome, type ReserveRequest, UpstreamOutcome } from '@reelspan/core.messages'
import { EngineRole } from '@reelspan/upstream.client'
import test from 'ava'
import { createShard, reportOf, requestOf } from './__utils__/createShard.js'

const NO_ENGINE = { outcome: PlacementOutcome.Refused, reason: 'no engine of the model takes work' }
const MAX_REPORT_AGE_MS = 4000
/** Time without an answer after which an engine is taken for silent. */
const ASKED_AGO_MS = 300

type TestShard = ReturnType<typeof createShard>

function patientRequest (over: Partial<ReserveRequest> = {}): ReserveRequest {
  return requestOf({ ttftLeftMs: 900, patienceMs: 2700, ...over })
}

function createPatientShard (over: Parameters<typeof createShard>[0] = {}): TestShard {
  return createShard({ prefill: 4, decode: 4, maxReportAgeMs: MAX_REPORT_AGE_MS, ...over })
}

function markSilent ({ clock, scheduler }: TestShard, names: readonly string[]): void {
  scheduler.markSilent(names.map((name) => ({ name, sinceMs: clock.nowMs() - ASKED_AGO_MS })))
}

const POOLS = [
  { role: EngineRole.Prefill, names: ['p-1', 'p-2', 'p-3', 'p-4'] },
  { role: EngineRole.Decode, names: ['d-1', 'd-2', 'd-3', 'd-4'] },
]

POOLS.forEach(({ role, names }) => {
  test(`a request is not refused because its whole pool is silent, and is placed as soon as an engine answers (${role})`, async (t) => {
    const shard = createPatientShard()
    const { clock, scheduler } = shard
    markSilent(shard, names)
    let placedAtMs = 0
    const placing = scheduler.reserve(patientRequest()).then((answer) => {
      placedAtMs = clock.nowMs()
      return answer
    })
    await clock.advance(900)
    t.is(placedAtMs, 0, 'nothing is placed at a silent engine')
    scheduler.recordReport(names[2], reportOf(role))
    const resumedAtMs = clock.nowMs()
    t.like(await clock.run(placing), { outcome: PlacementOutcome.Placed, [role === EngineRole.Prefill ? 'prefillEngine' : 'decodeEngine']: names[2] })
    t.is(placedAtMs, resumedAtMs)
  })
})

test('a request that may use the last silent engine only is not refused while the engines of its pool answer one after another', async (t) => {
  const shard = createPatientShard()
  const { clock, scheduler } = shard
  markSilent(shard, POOLS[0].names)
  const placing = scheduler.reserve(patientRequest({ avoid: ['p-1', 'p-2', 'p-3'] }))
  for (const name of ['p-1', 'p-2', 'p-3']) {
    await clock.advance(10)
    scheduler.recordReport(name, reportOf(EngineRole.Prefill))
  }
  await clock.advance(10)
  scheduler.recordReport('p-4', reportOf(EngineRole.Prefill))
  t.like(await clock.run(placing), { outcome: PlacementOutcome.Placed, prefillEngine: 'p-4' })
})

test('a shard that was just taken over does not refuse because its engines are silent', async (t) => {
  const shard = createPatientShard({ reported: false })
  const { clock, scheduler } = shard
  markSilent(shard, POOLS.flatMap(({ names }) => names))
  const placing = scheduler.reserve(patientRequest())
  await clock.advance(900)
  scheduler.recordReport('p-1', reportOf(EngineRole.Prefill))
  scheduler.recordReport('d-1', reportOf(EngineRole.Decode))
  t.is((await clock.run(placing)).outcome, PlacementOutcome.Placed)
})

test('a request is refused once its caller would not wait for the end of a pause, with a time that counts the pause', async (t) => {
  const shard = createPatientShard()
  const { clock, scheduler } = shard
  markSilent(shard, POOLS[1].names)
  const startedAtMs = clock.nowMs()
  const answer = await clock.run(scheduler.reserve(requestOf({ ttftLeftMs: 390, patienceMs: 1170 })))
  const heldMs = clock.nowMs() - startedAtMs
  t.true(heldMs > 800 && heldMs < 1170, `held for ${heldMs} ms`)
  t.true(answer.outcome === PlacementOutcome.Refused && answer.retryAfterMs >= heldMs + ASKED_AGO_MS, JSON.stringify(answer))
})

test('requests that a paused pool cannot serve in time when it goes on are refused at once', async (t) => {
  const shard = createPatientShard({ decode: 2, slots: 2 })
  const { clock, scheduler } = shard
  for (let i = 0; i < 10; i++) {
    const request = patientRequest()
    await clock.run(scheduler.reserve(request))
    await clock.advance(50)
    scheduler.release(request.label, { completionTokens: 60, ttftErrorMs: 0, tbtP50Ms: 100 })
  }
  const running = Array.from({ length: 4 }, () => patientRequest())
  await clock.run(Promise.all(running.map((request) => scheduler.reserve(request))))
  markSilent(shard, ['d-1', 'd-2'])
  const outcomes: PlacementOutcome[] = []
  Array.from({ length: 20 }, () => patientRequest()).forEach((request) => { void scheduler.reserve(request).then(({ outcome }) => outcomes.push(outcome)) })
  await clock.advance(50)
  t.deepEqual(outcomes, Array(20).fill(PlacementOutcome.Refused))
})

test('an engine that is silent alone gets no work, and its pool is not taken for paused', async (t) => {
  const shard = createPatientShard({ prefill: 2, decode: 3 })
  const { clock, scheduler } = shard
  markSilent(shard, ['p-1'])
  const answers = await clock.run(Promise.all([0, 1, 2].map(() => scheduler.reserve(patientRequest()))))
  t.deepEqual(answers.map((answer) => answer.outcome === PlacementOutcome.Placed && answer.prefillEngine), ['p-2', 'p-2', 'p-2'])
  scheduler.markUnresponsive('p-2')
  t.like(await clock.run(scheduler.reserve(patientRequest())), NO_ENGINE)
})

test('requests are refused at once when a pool has been silent for longer than a pause', async (t) => {
  const shard = createPatientShard()
  const { clock, scheduler } = shard
  markSilent(shard, POOLS[1].names)
  await clock.advance(MAX_REPORT_AGE_MS)
  markSilent(shard, POOLS[1].names)
  const startedAtMs = clock.nowMs()
  t.like(await clock.run(scheduler.reserve(patientRequest())), NO_ENGINE)
  t.is(clock.nowMs(), startedAtMs)
})

/** Owners report that they gave up calls to an engine that was silent, or could not be reached. */
function reportUnreachable ({ scheduler }: TestShard, engine: string, silent: boolean): void {
  scheduler.release(requestOf().label, undefined, [{ engine, outcome: UpstreamOutcome.Unreachable, silent }])
}

test('a suspicion that came from silence ends with the next report of the engine', (t) => {
  const shard = createPatientShard({ onUnreachable: () => {} })
  const { scheduler } = shard
  reportUnreachable(shard, 'd-1', true)
  markSilent(shard, ['d-1'])
  t.deepEqual(scheduler.describe().suspects, ['d-1'])
  scheduler.recordReport('d-1', reportOf(EngineRole.Decode))
  t.deepEqual(scheduler.describe().suspects, [])
})

test('a suspicion that came from refused connections does not end with a report', (t) => {
  const shard = createPatientShard({ onUnreachable: () => {} })
  const { scheduler } = shard
  reportUnreachable(shard, 'd-1', false)
  markSilent(shard, ['d-1'])
  reportUnreachable(shard, 'd-2', true)
  scheduler.markUnresponsive('d-2')
  const engines = ['d-1', 'd-2']
  engines.forEach((name) => scheduler.recordReport(name, reportOf(EngineRole.Decode)))
  t.deepEqual(scheduler.describe().suspects, engines)
})

test('an engine is not suspected because many owners report the same silence after it has ended', (t) => {
  const shard = createPatientShard({ onUnreachable: () => {} })
  const { scheduler } = shard
  for (let i = 0; i < 10; i++) {
    reportUnreachable(shard, 'd-1', true)
    scheduler.recordReport('d-1', reportOf(EngineRole.Decode))
  }
  t.deepEqual(scheduler.describe().suspects, [])
})

test('an engine that an owner finds silent is checked, and the slot of the run that was given up stays taken', async (t) => {
  const checked: string[] = []
  const { clock, scheduler } = createPatientShard({ decode: 1, slots: 1, onUnreachable: (engine) => { checked.push(engine) } })
  const request = patientRequest()
  await clock.run(scheduler.reserve(request))
  scheduler.recordOutcomes(request.label, [{ engine: 'd-1', outcome: UpstreamOutcome.Unreachable, silent: true }])
  t.deepEqual(checked, ['d-1'])
  t.is(scheduler.ledger.reservationsOn('d-1'), 1)
})
