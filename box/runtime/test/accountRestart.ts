import { LimitUnit } from '@reelspan/config.resources'
import { LimitDecider, UNDECIDED_WAIT_MS } from '@reelspan/membership.limits'
import test from 'ava'
import { AccountFleet, unevenAccounts } from './__utils__/accountFleet.js'
import { BELOW_LIMIT, defineRestartTests, DISCOVERY_MS, fleetOf, SEEDS_ONLY, warmUp } from './__utils__/defineRestartTests.js'

defineRestartTests({ boxes: 8, seeds: [1, 2, 3], isListed: SEEDS_ONLY })

test('a coordinator that is too busy to answer within 50 ms still decides, and nothing below the limits is refused', async (t) => {
  const fleet = fleetOf({ boxes: 88, seed: 7, discoveryMs: DISCOVERY_MS, isListed: SEEDS_ONLY }, BELOW_LIMIT)
  await fleet.run(async () => {
    await warmUp(fleet)
    const busyMs = fleet.clock.nowMs()
    fleet.answersAfterMs = 120
    await fleet.send(4)
    t.true(fleet.refusedShare(busyMs, busyMs + 4000) < 0.01)
    t.true(fleet.fullest() <= 1)
  })
})

test('88 boxes that know only themselves and seed addresses stay within the bound together', async (t) => {
  // Each of them could consider itself the coordinator, so that they would grant many times the limit.
  const limit = { unit: LimitUnit.Tokens, perSecond: 2500, burst: 5000, unsizedCost: 2000 }
  const fleet = new AccountFleet({ boxes: 88, accounts: [{ name: 'small', load: 200, limit }], isListed: SEEDS_ONLY, discoveryMs: 600_000 })
  await fleet.run(async () => {
    void fleet.startAll()
    await fleet.clock.sleep(500)
    await fleet.send(3)
  })
  t.true(fleet.fullest() <= 1)
})

test('a box that does not reach the coordinator answers a retry delay after which another decision is made', async (t) => {
  const fleet = fleetOf({ boxes: 8, seed: 8, isListed: SEEDS_ONLY }, BELOW_LIMIT)
  await fleet.run(async () => {
    await warmUp(fleet)
    const name = unevenAccounts(BELOW_LIMIT).map((account) => account.name).find((account) => fleet.coordinatorOf(account) !== 0) ?? ''
    void fleet.cut(1)
    const first = await fleet.ask(0, name, 60_000)
    t.not(first.decider, LimitDecider.Coordinator)
    // A delay of a few ms would be answered again and again until the partition is detected.
    t.true(first.waitMs >= 500)
    await fleet.clock.sleep(first.waitMs)
    const second = await fleet.ask(0, name, 60_000)
    t.true(second.decider === LimitDecider.Coordinator || second.waitMs >= 500)
    // By itself it grants too little of the limit for this cost, and knows no time at which that changes.
    await fleet.clock.sleep(3000)
    t.like(await fleet.ask(0, name, 60_000), { decider: LimitDecider.Coordinator, waitMs: UNDECIDED_WAIT_MS })
  })
})
