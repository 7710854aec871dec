import { LogEvent } from '@reelspan/telemetry.log'
import { type FakeFleet } from '@reelspan/utils.fake-fleet'
import test, { type ExecutionContext } from 'ava'
import { DECODE_ENGINES, PREFILL_ENGINES, startFleet } from './__utils__/crashingRequests.js'
import { load, type LoadOptions, type Outcome } from './__utils__/limitedUpstreams.js'

const PAUSE_MS = 1200
/** Answers have ended by then, so that the scheduler knows their lengths. */
const PAUSE_AFTER_MS = 3000
const LOAD_SECONDS = 7
const PER_SECOND = 30
const CHECK_INTERVAL_MS = 10
/** The period of the reports and the time in which engines answer. */
const LEFT_OUT_AFTER_MS = 2100
const POOLS = { prefill: PREFILL_ENGINES, decode: DECODE_ENGINES, both: [...PREFILL_ENGINES, ...DECODE_ENGINES] }

/** Pauses engines while callers send requests. Resolves with their outcomes. */
async function loadDuringPause (fleet: FakeFleet, engines: readonly string[], pause: () => Promise<void>, over: Partial<LoadOptions> = {}): Promise<Outcome[]> {
  const { clock, network } = fleet
  void clock.sleep(PAUSE_AFTER_MS).then(async () => {
    engines.forEach((name) => network.pause(fleet.address(name)))
    await pause()
    engines.forEach((name) => network.resume(fleet.address(name)))
  })
  return load(fleet, { target: '/draft/', perSecond: PER_SECOND, seconds: LOAD_SECONDS, ...over })
}

/** Requests without a whole answer, and why. */
function unserved (outcomes: readonly Outcome[]): string[] {
  return outcomes.filter(({ caller }) => !caller.complete).map(({ id, heldMs, caller: { refused } }) => `${id}, held ${Math.round(heldMs)}: ${refused?.message}`)
}

Object.entries(POOLS).forEach(([pool, engines]) => {
  test(`callers are not refused because all engines are silent for a second (pool: ${pool})`, async (t) => {
    const fleet = await startFleet()
    const outcomes = await loadDuringPause(fleet, engines, () => fleet.clock.sleep(PAUSE_MS))
    t.deepEqual(unserved(outcomes), [])
    await fleet.stop()
  })
})

test('an engine that is silent alone is left out within two report periods', async (t) => {
  const fleet = await startFleet()
  const { clock } = fleet
  const isLeftOut = () => fleet.boxes.some(({ log }) => log.entries.some(({ event, fields }) => event === LogEvent.EngineUnresponsive && fields?.upstream === 'decode-3'))
  let leftOutAfterMs = 0
  await loadDuringPause(fleet, ['decode-3'], async () => {
    const sinceMs = clock.nowMs()
    while (!isLeftOut()) await clock.sleep(CHECK_INTERVAL_MS)
    leftOutAfterMs = clock.nowMs() - sinceMs
  })
  t.true(leftOutAfterMs > 0 && leftOutAfterMs <= LEFT_OUT_AFTER_MS, `after ${leftOutAfterMs} ms`)
  t.log(`left out after ${Math.round(leftOutAfterMs)} ms`)
  await fleet.stop()
})

const SLOTS = 3
const SILENT = DECODE_ENGINES.slice(0, 6)

/** Pauses some decode engines while streams run that may go on elsewhere. Resolves with the most runs at once at each decode engine. */
async function peakRunsDuringPause (t: ExecutionContext, fleet: FakeFleet): Promise<[string, number][]> {
  const { clock, relayedUpstreams } = fleet
  const outcomes = await loadDuringPause(fleet, SILENT, () => clock.sleep(PAUSE_MS), { target: '/reply/' })
  t.true(relayedUpstreams.arrivals.some(({ resumeAfter }) => resumeAfter !== undefined), 'streams have gone on elsewhere')
  t.log(`${unserved(outcomes).length} of ${outcomes.length} not served`)
  return [...relayedUpstreams.peakRuns].filter(([name]) => DECODE_ENGINES.includes(name))
}

test('no engine is filled beyond its slots because some are silent', async (t) => {
  const fleet = await startFleet({ slots: SLOTS })
  const peaks = await peakRunsDuringPause(t, fleet)
  t.deepEqual(peaks.filter(([, runs]) => runs > SLOTS), [])
  await fleet.stop()
})
