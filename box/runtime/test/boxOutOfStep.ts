import { type FakeFleet, FakeRelayCaller } from '@reelspan/utils.fake-fleet'
import test, { type ExecutionContext } from 'ava'
import { DECODE_ENGINES, HOST, startFleet } from './__utils__/crashingRequests.js'

/** Longer than clients may wait, so that lists alone tell which version began a stream while there is one. */
const COVERED_MS = 70_000
const DEADLINE_MS = 14_000
const OUT_OF_STEP = 'box-1'
const BEGIN_AFTER_MS = 2000
const LEFT_AFTER_MS = 450
const STREAMS = 40
const OUT_MS = 4500
/** When streams are taken up at the box, from when it is out of step on. */
const TAKEN_UP_AT_MS = [2500, 3500, 4400, 4510, 4800, 6500]

type OutOfStep = (fleet: FakeFleet) => Promise<void>

async function freeze (fleet: FakeFleet): Promise<void> {
  const { address, clock } = fleet.box(OUT_OF_STEP)
  fleet.network.pause(address)
  clock.pause()
  await fleet.clock.sleep(OUT_MS)
  clock.resume()
  fleet.network.resume(address)
}

async function suspend (fleet: FakeFleet): Promise<void> {
  const { address, clock } = fleet.box(OUT_OF_STEP)
  fleet.network.pause(address)
  await clock.suspendFor(OUT_MS)
  fleet.network.resume(address)
}

/** Cuts the box off from the others, and from the platform unless it still reaches it. */
async function cutOff (fleet: FakeFleet, { platform }: { platform: boolean }): Promise<void> {
  const { address, box } = fleet.box(OUT_OF_STEP)
  fleet.boxes.filter((other) => other.box !== box).forEach((other) => fleet.network.blockBoth(address, other.address))
  if (platform) fleet.platform.unresponsiveTo.add(address)
  await fleet.clock.sleep(OUT_MS)
  fleet.network.healAll()
  fleet.platform.unresponsiveTo.delete(address)
}

const WAYS: Record<string, OutOfStep> = {
  'stands still': freeze,
  'is suspended': suspend,
  'is cut off from the others': (fleet) => cutOff(fleet, { platform: false }),
  'is cut off from the others and the platform': (fleet) => cutOff(fleet, { platform: true }),
}

function lastEventOf ({ body }: FakeRelayCaller): string | undefined {
  return [...body.matchAll(/id: (\d+)\ndata: \d+\n\n/g)].at(-1)?.[1]
}

/** Engines of v2 join and those of v1 are about to leave, so that streams begin at v2. */
async function joinEngines (fleet: FakeFleet): Promise<ReadonlySet<string>> {
  const joined = DECODE_ENGINES.slice(0, DECODE_ENGINES.length / 2)
  joined.forEach((engine) => { void fleet.crash(engine) })
  await fleet.clock.sleep(300)
  joined.forEach((engine) => fleet.publishUpstream(engine, { softwareVersion: 'v2' }))
  DECODE_ENGINES.filter((engine) => !joined.includes(engine)).forEach((engine) => fleet.publishUpstream(engine, { leaving: true }))
  return new Set(joined)
}

async function checkOutOfStep (t: ExecutionContext, way: OutOfStep, { names, seed }: { names: boolean, seed: number }): Promise<void> {
  const fleet = await startFleet({ seed, restartDelayMs: 200 })
  DECODE_ENGINES.forEach((engine) => fleet.publishUpstream(engine, { softwareVersion: 'v1' }))
  await fleet.clock.advance(COVERED_MS)
  const ended = way(fleet)
  const startMs = fleet.clock.nowMs()
  const joined = fleet.clock.run(joinEngines(fleet))
  const joinedEngines = await joined
  await fleet.clock.advance(BEGIN_AFTER_MS - (fleet.clock.nowMs() - startMs))
  const others = fleet.liveBoxes().map(({ name }) => name).filter((name) => name !== OUT_OF_STEP)
  const tries = Array.from({ length: STREAMS }, async (_, i) => {
    const id = `began-${i}`
    const request = { host: HOST, target: `/reply/${i}` }
    const caller = new FakeRelayCaller()
    void fleet.clock.sleep(LEFT_AFTER_MS).then(() => caller.left.abort())
    await fleet.relay(others[i % others.length], { ...request, id }, DEADLINE_MS, caller)
    const resumeAfter = lastEventOf(caller)
    if (resumeAfter === undefined) return 0
    await fleet.clock.sleep(Math.max(0, startMs + TAKEN_UP_AT_MS[i % TAKEN_UP_AT_MS.length] - fleet.clock.nowMs()))
    await fleet.relay(OUT_OF_STEP, { ...request, id: `taken-up-${i}`, resumeAfter, resumesAttempt: names ? id : undefined }, DEADLINE_MS - (fleet.clock.nowMs() - startMs))
    return 1
  })
  const takenUp = (await fleet.clock.run(Promise.all(tries))).reduce((sum: number, one) => sum + one, 0)
  await fleet.clock.run(ended)
  const { arrivals } = fleet.relayedUpstreams
  const isOfV2 = (id: string) => {
    const arrival = arrivals.filter((one) => one.id === id && !one.prefill).at(-1)
    return arrival && joinedEngines.has(arrival.upstream)
  }
  const goneOn = Array.from({ length: STREAMS }, (_, i) => ({ began: isOfV2(`began-${i}`), wentOn: isOfV2(`taken-up-${i}`) })).filter(({ wentOn }) => wentOn !== undefined)
  const begunAtV2 = Array.from({ length: STREAMS }, (_, i) => isOfV2(`began-${i}`)).filter(Boolean).length
  const mixed = goneOn.filter(({ began, wentOn }) => began !== wentOn)
  t.log(`${takenUp} taken up, ${begunAtV2} began at v2, ${goneOn.length} went on, ${mixed.length} at another version`)
  t.true(begunAtV2 > 0)
  t.is(mixed.length, 0)
}

// Guards against streams of two versions at a box that was out of step while engines of the second one joined.
Object.entries(WAYS).forEach(([what, way]) => [true, false].forEach((names) => {
  test(`streams that began at a new version do not go on at another one at a box that ${what}, ${names ? 'with' : 'without'} the name of the attempt`, async (t) => {
    for (const seed of [1, 2, 3]) await checkOutOfStep(t, way, { names, seed })
  })
}))
