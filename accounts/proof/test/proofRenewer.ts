import { FreshnessProof, ProofRenewer, ProofRole } from '@reelspan/accounts.proof'
import { SeededRandom, VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

const BOUND_MS = 4800
const HEARTBEAT_MS = 700
const ONE_WAY_MS = 3
const WATCHED = 4
const ZONES = 3
const WATCHERS = 4

interface Fleet {
  boxes: number
  /** Boxes whose requests the platform rejects. */
  isRejected?: (box: number) => boolean
  /** Which boxes ask the platform, and when. */
  roleOf?: (box: number) => ProofRole
  heartbeats?: boolean
}

/** Boxes that renew their proofs over a ring of heartbeats with long steps, and a platform that counts its calls. */
function startFleet ({ boxes, isRejected = () => false, roleOf = watcherRole, heartbeats = true }: Fleet) {
  const clock = new VirtualClock()
  const random = new SeededRandom(5)
  const platform = { calls: 0 }
  const proofs = Array.from({ length: boxes }, () => new FreshnessProof({ clock, revision: () => 1, maxAgeMs: BOUND_MS }))
  const ask = async (from: number, to: number) => {
    const askedAtMs = clock.nowMs()
    await clock.sleep(ONE_WAY_MS)
    const { advertised } = proofs[to]
    await clock.sleep(ONE_WAY_MS)
    if (advertised) proofs[from].receive(advertised, askedAtMs)
  }
  const askPlatform = async (box: number) => {
    platform.calls++
    const askedAtMs = clock.nowMs()
    await clock.sleep(4)
    if (isRejected(box)) throw new Error('rejected')
    proofs[box].recordRead(1, askedAtMs)
  }
  const step = (nth: number) => Math.round((boxes / 2) ** (nth / (WATCHED - 1)))
  const renewers = proofs.map((proof, box) => new ProofRenewer({
    clock,
    random,
    proof,
    maxAgeMs: BOUND_MS,
    isInUse: () => true,
    role: () => roleOf(box),
    askPlatform: () => askPlatform(box),
    askPeer: () => ask(box, random.nextInt(boxes)),
    onChange: () => {},
  }))
  const sendHeartbeats = async (box: number) => {
    await clock.sleep(random.nextFloat() * HEARTBEAT_MS)
    for (;;) {
      Array.from({ length: WATCHED }, (_, nth) => (box + step(nth)) % boxes).forEach((peer) => { void ask(box, peer) })
      await clock.sleep(HEARTBEAT_MS)
    }
  }
  if (heartbeats) proofs.forEach((_, box) => { void sendHeartbeats(box) })
  renewers.forEach((renewer) => renewer.start())
  return { clock, proofs, platform }
}

/** Incarnations are random, so watchers may be anywhere on the ring. */
function watcherRole (box: number): ProofRole {
  const position = (box * 7919) % 8191
  if (position % 29 === 0) return ProofRole.First
  return position % 7 === 0 ? ProofRole.Watcher : ProofRole.Other
}

/** Returns the age of the oldest proof, the share of boxes without one, both sampled every 100 ms, and the calls per second. */
async function measure ({ clock, proofs, platform }: ReturnType<typeof startFleet>, seconds = 20) {
  await clock.advance(8000)
  platform.calls = 0
  let oldestMs = 0
  let without = 0
  for (let sample = 0; sample < seconds * 10; sample++) {
    await clock.advance(100)
    oldestMs = Math.max(oldestMs, ...proofs.map(({ ageMs }) => ageMs))
    without += proofs.filter((proof) => !proof.isFresh()).length
  }
  return { oldestMs: Math.round(oldestMs), withoutShare: without / (proofs.length * seconds * 10), callsPerSecond: platform.calls / seconds }
}

for (const boxes of [8, 88, 195]) {
  test(`${boxes} boxes all have a proof, at a few calls per second`, async (t) => {
    const { oldestMs, withoutShare, callsPerSecond } = await measure(startFleet({ boxes, roleOf: (box) => box % Math.ceil(boxes / (ZONES * WATCHERS)) === 0 ? watcherOf(box, boxes) : ProofRole.Other }))
    t.log({ oldestMs, withoutShare, callsPerSecond })
    t.is(withoutShare, 0)
    t.true(oldestMs < BOUND_MS)
    // One box of each zone asks five times per maximum age, and as many requests again come from concurrent boxes.
    t.true(callsPerSecond <= 2 * ZONES * 5 * 1000 / BOUND_MS + 1)
  })
}

test('a third of the boxes, rejected by the platform, get proofs from their peers', async (t) => {
  const { withoutShare, callsPerSecond } = await measure(startFleet({ boxes: 88, isRejected: (box) => box % 3 === 0 }))
  t.log({ withoutShare, callsPerSecond })
  t.is(withoutShare, 0)
})

test('an isolated box has no valid proof after the maximum age, and asks the platform at most a few times per second', async (t) => {
  const fleet = startFleet({ boxes: 1, isRejected: () => true })
  fleet.proofs[0].recordRead(1, fleet.clock.nowMs())
  await fleet.clock.advance(BOUND_MS - 1)
  t.true(fleet.proofs[0].isFresh())
  await fleet.clock.advance(1)
  t.false(fleet.proofs[0].isFresh())
  const { callsPerSecond } = await measure(fleet)
  t.true(callsPerSecond < 3)
})

test('proofs spread by requests to peers if no heartbeats carry them', async (t) => {
  const asked = await measure(startFleet({ boxes: 88, heartbeats: false }))
  t.log(asked)
  t.is(asked.withoutShare, 0)
})

function watcherOf (box: number, boxes: number): ProofRole {
  return (box / Math.ceil(boxes / (ZONES * WATCHERS))) % WATCHERS === 0 ? ProofRole.First : ProofRole.Watcher
}
