import { ConfigurationProof, ProofKeeper, ProofRole } from '@reelspan/accounts.proof'
import { SeededRandom, VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

const BOUND_MS = 4800
const HEARTBEAT_MS = 700
const WAY_MS = 3
const WATCHED = 4
const ZONES = 3
const WATCHERS = 4

interface Fleet {
  boxes: number
  /** Boxes that the platform turns away. */
  turnedAway?: (box: number) => boolean
  /** Which boxes ask the platform, and when. */
  roleOf?: (box: number) => ProofRole
  heartbeats?: boolean
}

/** Boxes that keep their proofs young: a ring of heartbeats with long steps, and a platform that counts its calls. */
function startFleet ({ boxes, turnedAway = () => false, roleOf = watcherRole, heartbeats = true }: Fleet) {
  const clock = new VirtualClock()
  const random = new SeededRandom(5)
  const platform = { calls: 0 }
  const proofs = Array.from({ length: boxes }, () => new ConfigurationProof({ clock, revision: () => 1, boundMs: BOUND_MS }))
  const ask = async (from: number, to: number) => {
    const askedAtMs = clock.nowMs()
    await clock.sleep(WAY_MS)
    const { told } = proofs[to]
    await clock.sleep(WAY_MS)
    if (told) proofs[from].hear(told, askedAtMs)
  }
  const askPlatform = async (box: number) => {
    platform.calls++
    const askedAtMs = clock.nowMs()
    await clock.sleep(4)
    if (turnedAway(box)) throw new Error('turned away')
    proofs[box].noteRead(1, askedAtMs)
  }
  const step = (nth: number) => Math.round((boxes / 2) ** (nth / (WATCHED - 1)))
  const keepers = proofs.map((proof, box) => new ProofKeeper({
    clock,
    random,
    proof,
    boundMs: BOUND_MS,
    isInUse: () => true,
    role: () => roleOf(box),
    askPlatform: () => askPlatform(box),
    askPeer: () => ask(box, random.nextInt(boxes)),
    onChange: () => {},
  }))
  const beat = async (box: number) => {
    await clock.sleep(random.nextFloat() * HEARTBEAT_MS)
    for (;;) {
      Array.from({ length: WATCHED }, (_, nth) => (box + step(nth)) % boxes).forEach((peer) => { void ask(box, peer) })
      await clock.sleep(HEARTBEAT_MS)
    }
  }
  if (heartbeats) proofs.forEach((_, box) => { void beat(box) })
  keepers.forEach((keeper) => keeper.start())
  return { clock, proofs, platform }
}

/** Incarnations are random, so the watchers stand anywhere on the ring. */
function watcherRole (box: number): ProofRole {
  const place = (box * 7919) % 8191
  if (place % 29 === 0) return ProofRole.First
  return place % 7 === 0 ? ProofRole.Watcher : ProofRole.Other
}

/** The oldest proof and the share without one, looked at every 100 ms, and calls a second. */
async function measure ({ clock, proofs, platform }: ReturnType<typeof startFleet>, seconds = 20) {
  await clock.advance(8000)
  platform.calls = 0
  let oldestMs = 0
  let without = 0
  for (let look = 0; look < seconds * 10; look++) {
    await clock.advance(100)
    oldestMs = Math.max(oldestMs, ...proofs.map(({ ageMs }) => ageMs))
    without += proofs.filter((proof) => !proof.holds()).length
  }
  return { oldestMs: Math.round(oldestMs), withoutShare: without / (proofs.length * seconds * 10), callsPerSecond: platform.calls / seconds }
}

for (const boxes of [8, 88, 195]) {
  test(`${boxes} boxes all have proof, at a few calls a second`, async (t) => {
    const { oldestMs, withoutShare, callsPerSecond } = await measure(startFleet({ boxes, roleOf: (box) => box % Math.ceil(boxes / (ZONES * WATCHERS)) === 0 ? watcherOf(box, boxes) : ProofRole.Other }))
    t.log({ oldestMs, withoutShare, callsPerSecond })
    t.is(withoutShare, 0)
    t.true(oldestMs < BOUND_MS)
    // One box of each zone, each fifth of the bound, and as much again for those that ask at the same time.
    t.true(callsPerSecond <= 2 * ZONES * 5 * 1000 / BOUND_MS + 1)
  })
}

test('a third of the boxes that the platform turns away have proof from their peers', async (t) => {
  const { withoutShare, callsPerSecond } = await measure(startFleet({ boxes: 88, turnedAway: (box) => box % 3 === 0 }))
  t.log({ withoutShare, callsPerSecond })
  t.is(withoutShare, 0)
})

test('a box that is cut off has none after the bound, and asks the platform a few times a second at most', async (t) => {
  const fleet = startFleet({ boxes: 1, turnedAway: () => true })
  fleet.proofs[0].noteRead(1, fleet.clock.nowMs())
  await fleet.clock.advance(BOUND_MS - 1)
  t.true(fleet.proofs[0].holds())
  await fleet.clock.advance(1)
  t.false(fleet.proofs[0].holds())
  const { callsPerSecond } = await measure(fleet)
  t.true(callsPerSecond < 3)
})

test('proof spreads by questions to peers where no heartbeat carries it', async (t) => {
  const asked = await measure(startFleet({ boxes: 88, heartbeats: false }))
  t.log(asked)
  t.is(asked.withoutShare, 0)
})

function watcherOf (box: number, boxes: number): ProofRole {
  return (box / Math.ceil(boxes / (ZONES * WATCHERS))) % WATCHERS === 0 ? ProofRole.First : ProofRole.Watcher
}
