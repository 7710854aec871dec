import test from 'ava'
import { AccountFleet, type AccountFleetOptions, unevenAccounts } from './accountFleet.js'

/** Load of the accounts as a share of their limits. */
export const BELOW_LIMIT = 0.7
const OVERLOAD = 4
/** With hundreds of boxes, members become known as in a simulation of the prober, within this time. */
export const DISCOVERY_MS = 1500

export interface RestartScenario {
  boxes: number
  seeds: number[]
  discoveryMs?: number
  isListed: (box: number) => boolean
}

/** The platform lists no boxes. */
export const SEEDS_ONLY = () => false
/** The platform lists all boxes, and a third of them cannot reach it. */
export const TWO_THIRDS_LISTED = (box: number) => box % 3 !== 0

export function fleetOf (opts: Omit<AccountFleetOptions, 'accounts'>, load: number): AccountFleet {
  return new AccountFleet({ ...opts, accounts: unevenAccounts(load) })
}

/** Sends load until all boxes have restarted together and know each other. Returns when that is. */
async function restartAll (fleet: AccountFleet): Promise<number> {
  fleet.killAll()
  void fleet.startAll()
  while (!fleet.isDiscovered) await fleet.send(0.1)
  return fleet.clock.nowMs()
}

export async function warmUp (fleet: AccountFleet): Promise<void> {
  await fleet.startAll()
  await fleet.clock.sleep(3000)
  await fleet.send(4)
}

function nameOf ({ boxes, isListed }: RestartScenario): string {
  return `${boxes} boxes${isListed === SEEDS_ONLY ? '' : ', two thirds of them with a list,'}`
}

/** Registers the tests of one size of deployment. The larger sizes have a file, and so a thread, for each test. */
export function defineRestartTests (scenario: RestartScenario): void {
  defineRestartTest(scenario)
  defineOverloadTest(scenario)
  defineCoordinatorTest(scenario)
}

export function defineRestartTest (scenario: RestartScenario): void {
  const { boxes, seeds, discoveryMs, isListed } = scenario
  test(`${nameOf(scenario)} that restart together refuse less than 5 % below the limits in the first second in which they know each other`, async (t) => {
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
}

export function defineOverloadTest (scenario: RestartScenario): void {
  const { boxes, isListed } = scenario
  test(`${nameOf(scenario)} keep overloading accounts within the bound while they restart together, a third is cut off and restarts again`, async (t) => {
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
}

export function defineCoordinatorTest (scenario: RestartScenario): void {
  const { boxes, isListed } = scenario
  test(`${nameOf(scenario)} serve accounts below their limits when the coordinators are killed in a burst`, async (t) => {
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
