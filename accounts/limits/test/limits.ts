import { fullestWindow, type LimitRule } from '@reelspan/utils.fakes'
import test from 'ava'
import fc from 'fast-check'
import { LIMIT, LimitFleet, TOLERANCE, Way } from './__utils__/limitFleet.js'

/** What the users' pages allow of this limit. */
const RULE: LimitRule = { perSecond: LIMIT.perSecond, burst: LIMIT.burst, ...TOLERANCE }
const STREAM_TOKENS = 5300
const CALL_TOKENS = 200

interface Load {
  /** Part of the limit that is asked. */
  load: number
  seconds: number
}

/** Streams and calls of one account, at random moments and boxes. */
async function play (fleet: LimitFleet, { load, seconds }: Load): Promise<void> {
  const perSecond = load * LIMIT.perSecond / (STREAM_TOKENS + 3 * CALL_TOKENS)
  const endMs = fleet.clock.nowMs() + seconds * 1000
  const arrivals: Promise<void>[] = []
  while (fleet.clock.nowMs() < endMs) {
    await fleet.clock.sleep(-Math.log(1 - fleet.random.nextFloat()) * 1000 / (4 * perSecond))
    arrivals.push(fleet.arrive(fleet.random.nextInt(4) === 0 ? STREAM_TOKENS : CALL_TOKENS))
  }
  await Promise.all(arrivals)
}

async function measure (way: Way, boxes: number, load: Load, faults: (fleet: LimitFleet) => Promise<void> = async () => {}) {
  const fleet = new LimitFleet({ way, boxes })
  await fleet.clock.run(Promise.all([play(fleet, load), faults(fleet)]), 600_000)
  const asked = fleet.runs.length + fleet.refused
  return {
    fullest: Number(fullestWindow(fleet.runs, RULE).toFixed(3)),
    refusedShare: Number((fleet.refused / asked).toFixed(4)),
    takenOfDue: Number((fleet.runs.reduce((sum, { cost }) => sum + cost, 0) / fleet.dueCost).toFixed(4)),
    messagesPerRequest: Number((fleet.messages / asked).toFixed(2)),
  }
}

const hot = { load: 4, seconds: 20 }
const usual = { load: 0.55, seconds: 20 }

for (const boxes of [8, 88, 690]) {
  test(`${boxes} boxes keep an account that asks four times its limit within it, and refuse nothing below it`, async (t) => {
    const over = await measure(Way.Home, boxes, hot)
    const under = await measure(Way.Home, boxes, usual)
    t.log({ over, under })
    t.true(over.fullest <= 1)
    // Of what one bucket that sees all at once would take; half a burst is missing at the start.
    t.true(over.takenOfDue > 0.97)
    t.is(under.refusedShare, 0)
    t.true(under.messagesPerRequest <= 1)
  })
}

for (const way of [Way.EvenShares, Way.ToldTotals]) {
  test(`a baseline: ${way}`, async (t) => {
    const figures = await Promise.all([8, 88].map(async (boxes) => ({ boxes, over: await measure(way, boxes, hot), under: await measure(way, boxes, usual) })))
    t.log(figures)
    // Either breaks the rule, or refuses what lies below the limit, or sends more messages.
    t.true(figures.some(({ over, under }) => over.fullest > 1 || under.refusedShare > 0 || under.messagesPerRequest > 1))
  })
}

test('a third of the boxes cut off: both parts together stay within the limit', async (t) => {
  const figures = await measure(Way.Home, 88, hot, (fleet) => fleet.clock.sleep(6000).then(() => fleet.cut(29)))
  t.log(figures)
  t.true(figures.fullest <= 1)
})

test('all boxes restart one after the other while an account asks four times its limit', async (t) => {
  const figures = await measure(Way.Home, 8, hot, async (fleet) => {
    for (const box of [0, 1, 2, 3, 4, 5, 6, 7]) {
      await fleet.clock.sleep(1200)
      await fleet.restart([box])
    }
  })
  t.log(figures)
  t.true(figures.fullest <= 1)
})

test('a lower limit binds one window after it was lowered', async (t) => {
  const fleet = new LimitFleet({ way: Way.Home, boxes: 88 })
  const lowered = fleet.clock.sleep(5000).then(() => fleet.lower(0.1))
  await fleet.clock.run(Promise.all([play(fleet, { load: 1, seconds: 25 }), lowered]), 600_000)
  const since = fleet.clock.nowMs() - 12_000
  const late = fleet.runs.filter(({ atMs }) => atMs >= since)
  t.true(fullestWindow(late, { ...RULE, perSecond: 0.1 * RULE.perSecond, burst: 0.1 * RULE.burst }) <= 1)
})

enum Step {
  CutSome = 'cutSome',
  Heal = 'heal',
  RestartAll = 'restartAll',
  RestartSome = 'restartSome',
}

/** Restarts lose what was counted: as many as an operator's series brings in one window, and no more. */
const STEP_MS = 3000

test('whatever is cut, healed and restarted, the sum over all boxes stays within what is allowed', async (t) => {
  await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 1e6 }), fc.integer({ min: 2, max: 40 }), fc.array(fc.constantFrom(...Object.values(Step)), { maxLength: 6 }), async (seed, boxes, steps) => {
    const fleet = new LimitFleet({ way: Way.Home, boxes, seed })
    const faults = async () => {
      for (const step of steps) {
        await fleet.clock.sleep(STEP_MS)
        if (step === Step.CutSome) await fleet.cut(fleet.random.nextInt(boxes))
        if (step === Step.Heal) fleet.heal()
        // Who starts anew behind a cut knows nothing of the boxes beyond it.
        if (fleet.isCut && (step === Step.RestartAll || step === Step.RestartSome)) fleet.heal()
        if (step === Step.RestartAll) await fleet.restart(Array.from({ length: boxes }, (_, i) => i))
        if (step === Step.RestartSome) await fleet.restart([fleet.random.nextInt(boxes)])
      }
    }
    await fleet.clock.run(Promise.all([play(fleet, { load: 3, seconds: 3 * steps.length + 8 }), faults()]), 600_000)
    return fullestWindow(fleet.runs, RULE) <= 1
  }), { numRuns: 40, seed: 7 })
  t.pass()
})
