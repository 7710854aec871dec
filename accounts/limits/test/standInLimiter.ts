import { AccountMessages, planAccountBucket, planOwnShareBucket, planStandInBucket } from '@reelspan/accounts.limits'
import { LimitUnit } from '@reelspan/config.resources'
import { type Member, MemberHealth, MessageType, type PeerCallOptions, PeerLink, PeerLinkError, type PeerMessage } from '@reelspan/core.messages'
import { LimitDecider, StandInLimiter, TokenBucketStore } from '@reelspan/membership.limits'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'
import fc from 'fast-check'

const ACCOUNT = 'bank'
const WINDOW_MS = 8000
const SKIP_MS = 1500

interface Answer {
  afterMs: number
  waitMs?: number
  share?: number
  refused?: boolean
}

/** Answers for other boxes as configured. */
class ScriptedLink extends PeerLink {
  readonly sent: { address: string, message: PeerMessage }[] = []
  readonly answers = new Map<string, Answer>()
  readonly #clock: VirtualClock

  constructor (clock: VirtualClock) {
    super()
    this.#clock = clock
  }

  async call (address: string, message: PeerMessage, { timeoutMs }: PeerCallOptions): Promise<PeerMessage> {
    this.sent.push({ address, message })
    const { afterMs, waitMs = 0, share, refused } = this.answers.get(address) ?? { afterMs: Number.POSITIVE_INFINITY }
    await this.#clock.sleep(Math.min(afterMs, timeoutMs))
    if (refused || afterMs >= timeoutMs) throw new PeerLinkError('no answer', { mayHaveArrived: !refused, refused })
    return { type: MessageType.AccountTaken, waitMs, share }
  }

  async * stream (): AsyncGenerator<PeerMessage> {}

  serve (): void {}

  async close (): Promise<void> {}
}

function memberAt (peerAddress: string): Member {
  return { name: peerAddress, availabilityZone: 'z', peerAddress, callerAddress: '', incarnation: peerAddress, version: 0, health: MemberHealth.Alive, leaving: false }
}

/** One box, which is neither coordinator nor stand-in, and the addresses of those that are. */
function start (isSettled = true) {
  const clock = new VirtualClock()
  const link = new ScriptedLink(clock)
  const store = (perSecond: number, burst: number, maxCost?: number) => new TokenBucketStore({ clock, configOf: () => ({ perSecond, burst, initialLevel: burst, maxCost }) })
  const members = ['self', 'first', 'second'].map(memberAt)
  const limiter = new StandInLimiter({
    clock,
    link,
    messages: new AccountMessages(),
    buckets: store(1000, 1000),
    standInBuckets: store(0, 0, 0),
    local: store(1, 100, 100),
    coordinatorShare: () => 1,
    localShare: () => 0.1,
    members: () => members.slice(1),
    self: () => members[0],
    listedAddresses: () => STAND_INS,
    isSettled: () => isSettled,
  })
  const decide = (cost = 200) => clock.run(limiter.decide({ name: ACCOUNT, cost }))
  const asked = () => [...new Set(link.sent.map(({ address }) => address))]
  return { clock, link, limiter, decide, asked }
}

const STAND_INS = ['standIn-1', 'standIn-2']

/** Sets the answer of the coordinator and of the box that follows it. */
function answerCoordinators (link: ScriptedLink, answer: Answer): void {
  ['first', 'second'].forEach((address) => link.answers.set(address, answer))
}

function answerStandIns (link: ScriptedLink, answer: Answer): void {
  STAND_INS.forEach((address) => link.answers.set(address, answer))
}

test('a coordinator that refuses is believed, and no stand-in is asked', async (t) => {
  const { decide, link, asked } = start()
  answerCoordinators(link, { afterMs: 1, waitMs: 700, share: 1 })
  t.like(await decide(), { waitMs: 700, decider: LimitDecider.Coordinator, share: 1 })
  t.is(asked().length, 1)
})

test('a cost that a stand-in grants and the coordinator grants later is released at the coordinator', async (t) => {
  const { clock, decide, link } = start()
  answerCoordinators(link, { afterMs: 120 })
  answerStandIns(link, { afterMs: 1 })
  t.like(await decide(), { waitMs: 0, decider: LimitDecider.StandIn })
  await clock.advance(200)
  const coordinator = link.sent[0].address
  t.deepEqual(link.sent.filter(({ message }) => message.type === MessageType.AccountGiveBack), [{ address: coordinator, message: { type: MessageType.AccountGiveBack, account: ACCOUNT, cost: 200 } }])
})

test('a late answer of the coordinator still decides, and it is not skipped afterwards', async (t) => {
  const { decide, link } = start()
  answerCoordinators(link, { afterMs: 200 })
  answerStandIns(link, { afterMs: 1, waitMs: 500 })
  t.like(await decide(), { waitMs: 0, decider: LimitDecider.Coordinator })
  const sent = link.sent.length
  await decide()
  t.is(link.sent[sent].address, link.sent[0].address)
})

test('the box that follows an exited coordinator is asked at once', async (t) => {
  const { decide, link } = start()
  answerCoordinators(link, { afterMs: 1, refused: true })
  await decide()
  const [first, second] = link.sent.map(({ address }) => address)
  t.deepEqual([first, second].sort(), ['first', 'second'])
})

test('a coordinator that does not know the members yet does not decide', async (t) => {
  const { decide, link } = start()
  answerCoordinators(link, { afterMs: 1, waitMs: 500, share: 0 })
  answerStandIns(link, { afterMs: 1 })
  t.like(await decide(), { waitMs: 0, decider: LimitDecider.StandIn })
})

test('a box that does not know the members asks the stand-ins first', async (t) => {
  const { decide, link } = start(false)
  answerCoordinators(link, { afterMs: 1, share: 0 })
  answerStandIns(link, { afterMs: 1 })
  t.is((await decide()).decider, LimitDecider.StandIn)
  t.true(link.sent.every(({ address }) => STAND_INS.includes(address)))
})

test('without any answer a box grants its own share, and refuses more until it asks the coordinator again', async (t) => {
  const { clock, decide, limiter } = start()
  const charge = { name: ACCOUNT, cost: 100 }
  t.deepEqual(await clock.run(limiter.decide(charge)), { waitMs: 0, decider: LimitDecider.ThisBox, share: 0.1 })
  limiter.release(charge)
  t.is((await decide(100)).waitMs, 0)
  const { waitMs, decider } = await decide(101)
  t.is(decider, LimitDecider.ThisBox)
  t.true(waitMs > 200 && waitMs <= SKIP_MS)
})

test('a bucket that another box coordinated meanwhile neither refills nor starts anew', (t) => {
  const clock = new VirtualClock()
  const buckets = new TokenBucketStore({ clock, configOf: () => ({ perSecond: 100, burst: 100, initialLevel: 100 }), keepUnusedMs: WINDOW_MS })
  t.is(buckets.acquire(ACCOUNT, 100), 0)
  buckets.retain(() => false)
  return clock.advance(WINDOW_MS - 1).then(async () => {
    t.is(buckets.waitMs(ACCOUNT, 100), 1000)
    buckets.retain(() => false)
    await clock.advance(WINDOW_MS)
    t.is(buckets.waitMs(ACCOUNT, 100), 0, 'earlier usage is in no window by then')
  })
})

test('what boxes grant without knowing of each other is no more than the part of the tolerance that is reserved for it', (t) => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 1e6 }), fc.integer({ min: 1, max: 1e7 }), fc.double({ min: 0, max: 1, noNaN: true }), fc.integer({ min: 0, max: 1e6 }), (perSecond, burst, overage, slack) => {
    const limit = { unit: LimitUnit.Tokens, perSecond, burst, unsizedCost: 200 }
    const tolerance = { windowMs: WINDOW_MS, overage, slack }
    const reserve = 0.5 * (overage * (perSecond * WINDOW_MS / 1000 + burst) + slack)
    const standIn = planStandInBucket(limit, tolerance)
    const granted = planAccountBucket(limit, tolerance, 1).initialLevel + planOwnShareBucket(limit, tolerance, 1).initialLevel + 2 * (standIn.initialLevel + standIn.perSecond * WINDOW_MS / 1000)
    return reserve === 0 ? standIn.initialLevel === 0 && granted === burst : granted <= reserve * (1 + 1e-9)
  }), { seed: 3 })
  t.pass()
})

test('only a box that grants a quarter of a limit or more grants a cost above its burst', (t) => {
  const limit = { unit: LimitUnit.Tokens, perSecond: 2500, burst: 2500, unsizedCost: 200 }
  const tolerance = { windowMs: WINDOW_MS, overage: 0.25, slack: 0 }
  t.is(planAccountBucket(limit, tolerance, 0.25).maxCost, undefined)
  t.true((planAccountBucket(limit, tolerance, 0.1).maxCost ?? Infinity) < 500)
  t.true((planOwnShareBucket(limit, tolerance, 1 / 88).maxCost ?? Infinity) < 100)
})
