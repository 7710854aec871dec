import { type FakeFleet, FakeRelayCaller } from '@reelspan/utils.fake-fleet'
import test, { type ExecutionContext } from 'ava'
import { DECODE_ENGINES, HOST, PREFILL_ENGINES, startFleet } from './__utils__/crashingRequests.js'

const ENGINES = [...PREFILL_ENGINES, ...DECODE_ENGINES]
const STREAMS = 48
/** The route holds a request for this long, and its callers wait longer. */
const HELD_MS = 3000
const CALLER_DEADLINE_MS = 30_000
const LEFT_AFTER_MS = 500
const COVERED_MS = 20_000
/** Longer than the route holds a request, and shorter than callers wait. */
const TAKEN_UP_AFTER_MS = 9000
const BOX_DOWN_MS = 1000

function lastEventOf ({ body }: FakeRelayCaller): string | undefined {
  return [...body.matchAll(/id: (\d+)\ndata: \d+\n\n/g)].at(-1)?.[1]
}

function randomBox (fleet: FakeFleet): string {
  return fleet.random.sample(fleet.liveBoxes().map(({ name }) => name), 1)[0]
}

/** Begins streams whose callers leave after some events. Returns the last event that each has. */
async function beginStreams (fleet: FakeFleet): Promise<Map<string, string>> {
  const begun = Array.from({ length: STREAMS }, async (_, i): Promise<[string, string][]> => {
    const caller = new FakeRelayCaller()
    void fleet.clock.sleep(LEFT_AFTER_MS).then(() => caller.left.abort())
    await fleet.relay(randomBox(fleet), { id: `began-${i}`, host: HOST, target: `/reply/${i}` }, CALLER_DEADLINE_MS, caller)
    const last = lastEventOf(caller)
    return last === undefined ? [] : [[`began-${i}`, last]]
  })
  return new Map((await fleet.clock.run(Promise.all(begun))).flat())
}

/** Replaces all engines by those of another software version. */
async function replaceEngines (fleet: FakeFleet, softwareVersion: string): Promise<void> {
  ENGINES.forEach((engine) => fleet.publishUpstream(engine, { leaving: true }))
  await fleet.clock.advance(1000)
  ENGINES.forEach((engine) => { void fleet.crash(engine) })
  await fleet.clock.advance(300)
  ENGINES.forEach((engine) => fleet.publishUpstream(engine, { softwareVersion, leaving: false }))
  await fleet.clock.advance(1000)
}

async function restartAll (fleet: FakeFleet): Promise<void> {
  const names = fleet.liveBoxes().map(({ name }) => name)
  names.forEach((name) => fleet.kill(name))
  await fleet.clock.advance(BOX_DOWN_MS)
  await fleet.clock.run(Promise.all(names.map((name) => fleet.startBox(name))))
}

async function checkVersions (t: ExecutionContext, { heldMs, change }: { heldMs?: number, change: (fleet: FakeFleet) => Promise<void> }): Promise<void> {
  const fleet = await startFleet({ heldMs })
  ENGINES.forEach((engine) => fleet.publishUpstream(engine, { softwareVersion: 'v1' }))
  await fleet.clock.advance(COVERED_MS)
  const begunAtMs = fleet.clock.nowMs()
  const begun = await beginStreams(fleet)
  t.true(begun.size >= STREAMS / 2, `${begun.size} streams began`)
  await replaceEngines(fleet, 'v2')
  await change(fleet)
  await fleet.clock.advance(TAKEN_UP_AFTER_MS)
  const remainingMs = CALLER_DEADLINE_MS - (fleet.clock.nowMs() - begunAtMs)
  const takenUp = await fleet.clock.run(Promise.all([...begun].map(async ([attempt, last], i) => {
    const caller = new FakeRelayCaller()
    await fleet.relay(randomBox(fleet), { id: `taken-up-${i}`, host: HOST, target: `/reply/${attempt}`, resumeAfter: last, resumesAttempt: attempt }, remainingMs, caller)
    return caller
  })))
  const goneOn = fleet.relayedUpstreams.arrivals.filter(({ id, prefill }) => id.startsWith('taken-up') && !prefill)
  t.is(goneOn.length, 0, `${goneOn.length} streams went on at another version`)
  t.is(takenUp.filter(({ refused }) => refused !== undefined).length, begun.size)
}

// Guards against streams of two software versions where callers wait longer than the route holds a request.
for (const [what, change] of [['no box is lost', async () => {}], ['all boxes are killed', restartAll]] as const) {
  test(`a stream does not go on at another version after its route's time limit, while its caller waits on: ${what}`, (t) => checkVersions(t, { heldMs: HELD_MS, change }))
}
