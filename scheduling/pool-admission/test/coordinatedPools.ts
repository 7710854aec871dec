import { setMaxListeners } from 'node:events'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { type Member, MemberHealth, MessageType, PoolCallOutcome, type PoolShortage } from '@reelspan/core.messages'
import { CoordinatedPools, PoolCoordinator, SlotDecision } from '@reelspan/scheduling.pool-admission'
import { FakeNetwork, SeededRandom, SlottedUpstream, VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

const POOL = 'desk'
const NAMES = ['d1', 'd2', 'd3', 'd4']
const WORK_MS = 60
const CAPACITY_PER_MS = NAMES.length * 6 / WORK_MS
/** Time until a report has reached all boxes. */
const SPREAD_MS = 100

interface TestBox {
  member: Member
  pools: CoordinatedPools
}

/** Boxes without relays: each sends calls to the upstreams that it is granted, or to a random one. */
function createBoxes (boxCount: number, { old = false, isEnabled = true } = {}) {
  const clock = new VirtualClock()
  const random = new SeededRandom(5)
  const network = new FakeNetwork({ clock, random })
  const upstreams = new Map(NAMES.map((name) => [name, new SlottedUpstream({ clock, slots: 6, queueLength: 24, workMs: () => WORK_MS * (0.8 + 0.4 * random.nextFloat()) })]))
  const state = { members: [] as readonly Member[], messages: 0 }
  const boxes = Array.from({ length: boxCount }, (_, i): TestBox => {
    const address = `10.0.${Math.floor(i / 250)}.${i % 250 + 1}:1`
    const member: Member = { name: `b${i}`, availabilityZone: 'a', peerAddress: address, callerAddress: '', incarnation: `i${i}`, version: 0, health: MemberHealth.Alive, leaving: false }
    const { clock: nodeClock, link } = network.addNode(address)
    const coordinator = new PoolCoordinator({ clock: nodeClock, upstreamsOf: () => NAMES, isFailing: () => false, weightOf: () => 1, announcedLimitOf: (pool) => pools.limitOf(pool) })
    const spread = (shortages: readonly PoolShortage[]) => {
      if (shortages.length > 0) void clock.sleep(SPREAD_MS).then(() => boxes.forEach((box) => box.pools.receive(shortages)))
    }
    const pools: CoordinatedPools = new CoordinatedPools({ clock: nodeClock, link, coordinator, members: () => state.members, self: () => member, weightOf: () => 1, isEnabled: () => isEnabled, broadcast: spread })
    link.serve({
      onCall: async (message) => {
        state.messages++
        if (old) throw new ReelspanError(ErrorCode.PeerProtocol, 'unexpected message')
        if (message.type === MessageType.PoolAcquire) return { type: MessageType.PoolAcquired, answer: await coordinator.acquire(message.pool, message.call, message.running) }
        if (message.type === MessageType.PoolRelease) coordinator.release(message.pool, message.label, message.outcome, message.durationMs)
        return { type: MessageType.Done }
      },
      onStream: async function * () {},
    })
    return { member, pools }
  })
  state.members = boxes.map(({ member }) => member)
  return { clock, random, network, upstreams, boxes, state }
}

type Boxes = ReturnType<typeof createBoxes>

async function call ({ clock, random, upstreams }: Boxes, { pools }: TestBox, account: string, signal = new AbortController().signal): Promise<boolean> {
  const startedAtMs = clock.nowMs()
  const request = { pool: POOL, account, urgency: 0, inTimeMs: 145, usefulMs: 1000, returnId: () => String(startedAtMs) }
  const answer = pools.isShort(POOL) ? await pools.acquire(request, [], signal) : { decision: SlotDecision.OwnChoice as const }
  if (answer.decision === SlotDecision.Refused) return false
  const slot = answer.decision === SlotDecision.Granted ? answer.slot : pools.track(request, random.sample(NAMES, 1)[0])
  const upstream = upstreams.get(slot.upstream) as SlottedUpstream
  const sentAtMs = clock.nowMs()
  if (upstream.isFull) {
    pools.recordFull(POOL)
    slot.release(PoolCallOutcome.Full)
    return false
  }
  await upstream.run(signal)
  pools.recordAnswer(POOL, slot.upstream, { durationMs: clock.nowMs() - sentAtMs, targetMs: 145, upstreamCount: NAMES.length })
  slot.release(PoolCallOutcome.Answered, clock.nowMs() - sentAtMs)
  return true
}

/** Sends calls at random times to random boxes, two thirds of them from one of five accounts. Returns which of the others were served. */
async function load (fleet: Boxes, share: number, seconds: number, among = fleet.boxes) {
  const { clock, random } = fleet
  const untilMs = clock.nowMs() + 1000 * seconds
  const outcomes: Promise<{ account: string, served: boolean }>[] = []
  while (clock.nowMs() < untilMs) {
    const account = random.nextFloat() < 2 / 3 ? 'bulk' : `small-${random.nextInt(4)}`
    outcomes.push(call(fleet, random.sample(among, 1)[0], account).then((served) => ({ account, served })))
    await clock.advance(-Math.log(1 - random.nextFloat()) / (share * CAPACITY_PER_MS))
  }
  const all = await clock.run(Promise.all(outcomes))
  const servedOf = (list: typeof all) => list.filter(({ served }) => served).length / list.length
  return { all: servedOf(all), others: servedOf(all.filter(({ account }) => account !== 'bulk')) }
}

const coordinatorOf = ({ boxes }: Boxes) => boxes.find(({ pools }) => pools.isCoordinator(POOL)) as TestBox

test('690 boxes send no message while the pool is not short of capacity, and share its slots when it is', async (t) => {
  const fleet = createBoxes(690)
  t.is((await load(fleet, 0.5, 2)).all, 1)
  t.is(fleet.state.messages, 0)
  await load(fleet, 1.5, 1)
  const short = await load(fleet, 1.5, 2)
  t.log(short)
  t.true(short.others >= 0.95 && short.all >= 0.6)
  await fleet.clock.advance(7000)
  t.false(fleet.boxes.some(({ pools }) => pools.isShort(POOL)))
})

test('boxes without accounts that compete send no message, however short the pool is', async (t) => {
  const fleet = createBoxes(8, { isEnabled: false })
  const { all } = await load(fleet, 1.5, 3)
  t.log(all)
  t.is(fleet.state.messages, 0)
  t.false(fleet.boxes.some(({ pools }) => pools.isShort(POOL)))
})

test('when the coordinator is killed or does not answer, the next one by rank or the boxes themselves continue', async (t) => {
  for (const lose of [({ network }: Boxes, address: string) => network.kill(address), ({ network, boxes }: Boxes, address: string) => boxes.forEach(({ member }) => network.blockBoth(member.peerAddress, address))]) {
    const fleet = createBoxes(8)
    await load(fleet, 1.5, 2)
    const lost = coordinatorOf(fleet)
    const others = fleet.boxes.filter((box) => box !== lost)
    lose(fleet, lost.member.peerAddress)
    const during = await load(fleet, 1.5, 1, others)
    fleet.state.members = fleet.state.members.filter((member) => member !== lost.member)
    const after = await load(fleet, 1.5, 2, others)
    t.log({ during, after })
    t.true(during.all >= 0.55 && during.others >= 0.85 && after.others >= 0.95)
  }
})

test('boxes of an earlier build answer with an error, and this box chooses upstreams itself', async (t) => {
  const fleet = createBoxes(3, { old: true })
  const asking = fleet.boxes.find((box) => box !== coordinatorOf(fleet)) as TestBox
  asking.pools.recordFull(POOL)
  t.true(await fleet.clock.run(call(fleet, asking, 'a')))
  t.is(fleet.state.messages, 1)
})

test('a call whose caller disconnects leaves the queue and releases its slot', async (t) => {
  const fleet = createBoxes(2)
  fleet.boxes.forEach(({ pools }) => pools.recordFull(POOL))
  const [asking] = fleet.boxes
  const left = new AbortController()
  setMaxListeners(0, left.signal)
  const calls = Array.from({ length: 60 }, () => call(fleet, asking, 'a', left.signal))
  await fleet.clock.advance(10)
  left.abort()
  await fleet.clock.run(Promise.all(calls))
  await fleet.clock.advance(50)
  t.is([...fleet.upstreams.values()].reduce((sum, { inFlight }) => sum + inFlight, 0), 0)
  t.true(await fleet.clock.run(call(fleet, asking, 'a')))
})
