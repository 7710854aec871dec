import { maxWindowUsage, type LimitRule } from '@reelspan/utils.fakes'
import test from 'ava'
import fc from 'fast-check'
import { LIMIT, LimitFleet, TOLERANCE, Strategy } from './__utils__/limitFleet.js'

/** The documented limit with its tolerance. */
const RULE: LimitRule = { perSecond: LIMIT.perSecond, burst: LIMIT.burst, ...TOLERANCE }
const STREAM_TOKENS = 5300
const CALL_TOKENS = 200

interface Load {
  /** Requested rate as a share of the limit. */
  load: number
  seconds: number
}

/** Sends streams and calls of one account at random times to random boxes. */
async function runLoad (fleet: LimitFleet, { load, seconds }: Load): Promise<void> {
  const perSecond = load * LIMIT.perSecond / (STREAM_TOKENS + 3 * CALL_TOKENS)
  const endMs = fleet.clock.nowMs() + seconds * 1000
  const arrivals: Promise<void>[] = []
  while (fleet.clock.nowMs() < endMs) {
    await fleet.clock.sleep(-Math.log(1 - fleet.random.nextFloat()) * 1000 / (4 * perSecond))
    arrivals.push(fleet.arrive(fleet.random.nextInt(4) === 0 ? STREAM_TOKENS : CALL_TOKENS))
  }
  await Promise.all(arrivals)
}

async function measure (strategy: Strategy, boxes: number, load: Load, faults: (fleet: LimitFleet) => Promise<void> = async () => {}) {
  const fleet = new LimitFleet({ strategy, boxes })
  await fleet.clock.run(Promise.all([runLoad(fleet, load), faults(fleet)]), 600_000)
  const asked = fleet.runs.length + fleet.refused
  return {
    fullest: Number(maxWindowUsage(fleet.runs, RULE).toFixed(3)),
    refusedShare: Number((fleet.refused / asked).toFixed(4)),
    shareOfReference: Number((fleet.runs.reduce((sum, { cost }) => sum + cost, 0) / fleet.referenceCost).toFixed(4)),
    messagesPerRequest: Number((fleet.messages / asked).toFixed(2)),
  }
}

const overload = { load: 4, seconds: 20 }
const belowLimit = { load: 0.55, seconds: 20 }

for (const boxes of [8, 88, 690]) {
  test(`${boxes} boxes keep an account that requests four times its limit within the limit, and refuse nothing below it`, async (t) => {
    const over = await measure(Strategy.Coordinator, boxes, overload)
    const under = await measure(Strategy.Coordinator, boxes, belowLimit)
    t.log({ over, under })
    t.true(over.fullest <= 1)
    // Relative to a single bucket that sees all requests at once. Half a burst is missing at the start.
    t.true(over.shareOfReference > 0.97)
    t.is(under.refusedShare, 0)
    t.true(under.messagesPerRequest <= 1)
  })
}

for (const strategy of [Strategy.EvenShares, Strategy.BroadcastTotals]) {
  test(`baseline: ${strategy}`, async (t) => {
    const figures = await Promise.all([8, 88].map(async (boxes) => ({ boxes, over: await measure(strategy, boxes, overload), under: await measure(strategy, boxes, belowLimit) })))
    t.log(figures)
    // Each baseline exceeds the limit, refuses requests below it, or sends more messages.
    t.true(figures.some(({ over, under }) => over.fullest > 1 || under.refusedShare > 0 || under.messagesPerRequest > 1))
  })
}

test('when a third of the boxes is partitioned, both sides together stay within the limit', async (t) => {
  const figures = await measure(Strategy.Coordinator, 88, overload, (fleet) => fleet.clock.sleep(6000).then(() => fleet.cut(29)))
  t.log(figures)
  t.true(figures.fullest <= 1)
})

test('an account that requests four times its limit stays within it while all boxes restart one after the other', async (t) => {
  const figures = await measure(Strategy.Coordinator, 8, overload, async (fleet) => {
    for (const box of [0, 1, 2, 3, 4, 5, 6, 7]) {
      await fleet.clock.sleep(1200)
      await fleet.restart([box])
    }
  })
  t.log(figures)
  t.true(figures.fullest <= 1)
})

test('a lowered limit is enforced one window after the change', async (t) => {
  const fleet = new LimitFleet({ strategy: Strategy.Coordinator, boxes: 88 })
  const lowered = fleet.clock.sleep(5000).then(() => fleet.lower(0.1))
  await fleet.clock.run(Promise.all([runLoad(fleet, { load: 1, seconds: 25 }), lowered]), 600_000)
  const since = fleet.clock.nowMs() - 12_000
  const late = fleet.runs.filter(({ atMs }) => atMs >= since)
  t.true(maxWindowUsage(late, { ...RULE, perSecond: 0.1 * RULE.perSecond, burst: 0.1 * RULE.burst }) <= 1)
})

enum Step {
  CutSome = 'cutSome',
  Heal = 'heal',
  RestartAll = 'restartAll',
  RestartSome = 'restartSome',
}

/** Restarts lose the counted usage. This interval yields as many in one window as a rolling restart by an operator. */
const STEP_MS = 3000

test('under any sequence of partitions, heals and restarts, the sum over all boxes stays within the tolerance', async (t) => {
  await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 1e6 }), fc.integer({ min: 2, max: 40 }), fc.array(fc.constantFrom(...Object.values(Step)), { maxLength: 6 }), async (seed, boxes, steps) => {
    const fleet = new LimitFleet({ strategy: Strategy.Coordinator, boxes, seed })
    const faults = async () => {
      for (const step of steps) {
        await fleet.clock.sleep(STEP_MS)
        if (step === Step.CutSome) await fleet.cut(fleet.random.nextInt(boxes))
        if (step === Step.Heal) fleet.heal()
        // A box that starts during a partition does not know of the boxes on the other side, so the partition is healed first.
        if (fleet.isCut && (step === Step.RestartAll || step === Step.RestartSome)) fleet.heal()
        if (step === Step.RestartAll) await fleet.restart(Array.from({ length: boxes }, (_, i) => i))
        if (step === Step.RestartSome) await fleet.restart([fleet.random.nextInt(boxes)])
      }
    }
    await fleet.clock.run(Promise.all([runLoad(fleet, { load: 3, seconds: 3 * steps.length + 8 }), faults()]), 600_000)
    return maxWindowUsage(fleet.runs, RULE) <= 1
  }), { numRuns: 40, seed: 7 })
  t.pass()
})
