import { LimitUnit } from '@reelspan/config.resources'
import { LimitDecider, UNDECIDED_WAIT_MS } from '@reelspan/membership.limits'
import test from 'ava'
import { AccountFleet, type AccountFleetOptions, unevenAccounts } from './__utils__/accountFleet.js'

const BELOW_LIMIT = 0.7
const OVERLOAD = 4
/** With hundreds of boxes, members become known as in a simulation of the prober, within this time. */
const DISCOVERY_MS = 1500

interface Scenario {
  boxes: number
  seeds: number[]
  discoveryMs?: number
  isListed: (box: number) => boolean
}

/** The platform lists no boxes. */
const SEEDS_ONLY = () => false
/** The platform lists all boxes, and a third of them cannot reach it. */
const TWO_THIRDS_LISTED = (box: number) => box % 3 !== 0

const SCENARIOS: Scenario[] = [
  { boxes: 8, seeds: [1, 2, 3], isListed: SEEDS_ONLY },
  { boxes: 88, seeds: [1, 2], isListed: SEEDS_ONLY },
  { boxes: 88, seeds: [1, 2], isListed: TWO_THIRDS_LISTED },
  { boxes: 690, seeds: [1, 2], isListed: SEEDS_ONLY, discoveryMs: DISCOVERY_MS },
]

function fleetOf (opts: Omit<AccountFleetOptions, 'accounts'>, load: number): AccountFleet {
  return new AccountFleet({ ...opts, accounts: unevenAccounts(load) })
}

/** Sends load until all boxes have restarted together and know each other. Returns when that is. */
async function restartAll (fleet: AccountFleet): Promise<number> {
  fleet.killAll()
  void fleet.startAll()
  while (!fleet.isDiscovered) await fleet.send(0.1)
  return fleet.clock.nowMs()
}

async function warmUp (fleet: AccountFleet): Promise<void> {
  await fleet.startAll()
  await fleet.clock.sleep(3000)
  await fleet.send(4)
}

for (const { boxes, seeds, discoveryMs, isListed } of SCENARIOS) {
  const name = `${boxes} boxes${isListed === SEEDS_ONLY ? '' : ', two thirds of them with a list,'}`
  test(`${name} that restart together refuse less than 5 % below the limits in the first second in which they know each other`, async (t) => {
    t.timeout(300_000)
    const figures = { sinceKilled: [] as number[], sinceDiscovered: [] as number[], fullest: [] as number[] }
    for (const seed of seeds) {
      const fleet = fleetOf({ boxes, seed, discoveryMs, isListed }, BELOW_LIMIT)
      await fleet.run(async () => {
        await warmUp(fleet)
        const killedMs = fleet.clock.nowMs()
        const discoveredMs = await restartAll(fleet)
        await fleet.send(2)
        figures.sinceKilled.push(fleet.refusedShare(killedMs, discoveredMs + 1000))
        figures.sinceDiscovered.push(fleet.refusedShare(discoveredMs, discoveredMs + 1000))
        figures.fullest.push(fleet.fullest())
      })
    }
    t.log(figures)
    t.true(figures.sinceKilled.reduce((sum, share) => sum + share, 0) / seeds.length < 0.1)
    t.true(figures.sinceDiscovered.reduce((sum, share) => sum + share, 0) / seeds.length < 0.05)
    t.true(Math.max(...figures.fullest) <= 1)
  })

  test(`${name} keep overloading accounts within the bound while they restart together, a third is cut off and restarts again`, async (t) => {
    t.timeout(300_000)
    const fleet = fleetOf({ boxes, seed: 5, discoveryMs: DISCOVERY_MS, isListed }, OVERLOAD)
    await fleet.run(async () => {
      await warmUp(fleet)
      await restartAll(fleet)
      const faults = async () => {
        await fleet.clock.sleep(2500)
        await fleet.cut(Math.floor(boxes / 3))
        await fleet.clock.sleep(1000)
        fleet.killAll()
        await fleet.startAll()
        await fleet.clock.sleep(3000)
        fleet.heal()
      }
      await Promise.all([fleet.send(12), faults()])
    })
    t.log(fleet.fullest())
    t.true(fleet.fullest() <= 1)
  })

  test(`${name} serve accounts below their limits when the coordinators are killed in a burst`, async (t) => {
    t.timeout(300_000)
    const fleet = fleetOf({ boxes, seed: 6, discoveryMs: DISCOVERY_MS, isListed }, BELOW_LIMIT)
    await fleet.run(async () => {
      await warmUp(fleet)
      const killedMs = fleet.clock.nowMs()
      const coordinators = new Set(unevenAccounts(BELOW_LIMIT).slice(0, 3).map(({ name }) => fleet.coordinatorOf(name)))
      coordinators.forEach((i) => fleet.kill(i))
      await fleet.send(2, 1.4)
      t.log(fleet.refusedShare(killedMs, killedMs + 2000), fleet.fullest())
      t.true(fleet.refusedShare(killedMs, killedMs + 2000) < 0.05)
      t.true(fleet.fullest() <= 1)
    })
  })
}

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
