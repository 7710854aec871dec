import { planAccountBucket, planOwnShareBucket, planStandInBucket, AccountMessages, type LimitTolerance } from '@reelspan/accounts.limits'
import { type AccountLimit, LimitUnit } from '@reelspan/config.resources'
import { type Clock } from '@reelspan/core.env'
import { type Member, MemberHealth, MessageType, type PeerLink, type PeerMessage } from '@reelspan/core.messages'
import { EvenShareLimiter, StandInLimiter, TokenBucketStore, TokenBucket, type LimitedCost, SharedLimiter } from '@reelspan/membership.limits'
import { type CountedRun, FakeNetwork, SeededRandom, VirtualClock } from '@reelspan/utils.fakes'

export enum Strategy {
  Coordinator = 'coordinator',
  EvenShares = 'evenShares',
  BroadcastTotals = 'broadcastTotals',
}

export const LIMIT: AccountLimit = { unit: LimitUnit.Tokens, perSecond: 131_000, burst: 131_000, unsizedCost: 200 }
export const ACCOUNT = 'bank'
/** Time until missing or partitioned boxes are detected. */
const DETECTION_DELAY_MS = 1400
export const TOLERANCE: LimitTolerance = { windowMs: 8000, overage: 0.25, slack: 140_000 }
/** The heartbeat interval of boxes. */
const BROADCAST_PERIOD_MS = 700

interface Box {
  member: Member
  limiter: SharedLimiter
  side: number
  visible: readonly Member[]
  missing: number
  /** Own costs that were not broadcast yet. */
  unsent: number
  bucket: TokenBucket
  /** Called when the members have changed. */
  onMembers?: () => void
}

interface FleetOptions {
  boxes: number
  strategy: Strategy
  seed?: number
}

/** Boxes that enforce the limit of one account, on a network that can be partitioned. */
export class LimitFleet {
  readonly clock = new VirtualClock()
  readonly random: SeededRandom
  readonly runs: CountedRun[] = []
  refused = 0
  /** Cost that a single bucket that sees all requests at once would have granted. */
  referenceCost = 0
  messages = 0
  limit: AccountLimit = LIMIT
  readonly #strategy: Strategy
  readonly #network: FakeNetwork
  readonly #boxes: Box[] = []
  readonly #addresses: readonly string[]
  #reference = new TokenBucket(LIMIT.burst, 1000)
  #starts = 0

  constructor ({ boxes, strategy, seed = 1 }: FleetOptions) {
    this.#strategy = strategy
    this.random = new SeededRandom(seed)
    this.#network = new FakeNetwork({ clock: this.clock, random: this.random })
    this.#addresses = Array.from({ length: boxes }, (_, i) => addressOf(i))
    this.#boxes.push(...Array.from({ length: boxes }, (_, i) => this.#start(i)))
    this.#updateMembers()
    if (strategy === Strategy.BroadcastTotals) void this.#broadcastTotals()
  }

  /** Sends a request of the account to a box. */
  async arrive (cost: number, at = this.random.nextInt(this.#boxes.length)): Promise<void> {
    if (this.#reference.acquire(cost, { perSecond: this.limit.perSecond, burst: this.limit.burst }, this.clock.nowMs()) === 0) this.referenceCost += cost
    const waitMs = await this.#boxes[at].limiter.acquire({ name: ACCOUNT, cost })
    if (waitMs === 0) this.runs.push({ atMs: this.clock.nowMs(), cost })
    else this.refused++
  }

  /** Partitions the first `count` boxes from the others, and waits until both sides have detected it. */
  async cut (count: number): Promise<void> {
    this.heal()
    this.#boxes.forEach((box, i) => { box.side = i < count ? 1 : 0 })
    this.#boxes.forEach((a) => this.#boxes.filter((b) => b.side !== a.side).forEach((b) => this.#network.block(a.member.peerAddress, b.member.peerAddress)))
    await this.clock.sleep(DETECTION_DELAY_MS)
    this.#updateMembers()
  }

  get isCut (): boolean {
    return this.#boxes.some(({ side }) => side !== 0)
  }

  heal (): void {
    this.#network.healAll()
    this.#boxes.forEach((box) => { box.side = 0 })
    this.#updateMembers()
  }

  /** Kills boxes of a fleet without partitions and starts them again without their state. */
  async restart (boxes: readonly number[]): Promise<void> {
    boxes.forEach((i) => this.#network.kill(this.#boxes[i].member.peerAddress))
    boxes.forEach((i) => { this.#boxes[i] = this.#start(i) })
    this.#updateMembers()
  }

  /** Lowers the limit to this share of `perSecond` and `burst`. */
  lower (part: number): void {
    this.limit = { ...LIMIT, perSecond: part * LIMIT.perSecond, burst: part * LIMIT.burst }
  }

  #start (i: number): Box {
    const peerAddress = addressOf(i)
    const { clock, link } = this.#network.addNode(peerAddress)
    const member: Member = { name: `b${i}`, availabilityZone: 'z', peerAddress, callerAddress: '', incarnation: `${this.#starts++}`.padStart(16, '0'), version: 0, health: MemberHealth.Alive, leaving: false }
    const box: Box = { member, side: 0, visible: [member], missing: 0, unsent: 0, limiter: undefined as unknown as SharedLimiter, bucket: new TokenBucket(this.limit.burst, clock.nowMs()) }
    box.limiter = this.#createLimiter(box, clock, this.#countMessages(link))
    return box
  }

  #createLimiter (box: Box, clock: Clock, link: PeerLink): SharedLimiter {
    const knownBoxes = () => box.visible.length + box.missing
    if (this.#strategy === Strategy.EvenShares) return new EvenShareLimiter({ clock, configOf: () => planAccountBucket(this.limit, TOLERANCE, 1 / knownBoxes()) })
    if (this.#strategy === Strategy.BroadcastTotals) return new BroadcastTotalsLimiter(box, clock, () => this.limit)
    const ownShare = () => box.visible.length / knownBoxes()
    const buckets = new TokenBucketStore({ clock, configOf: () => planAccountBucket(this.limit, TOLERANCE, ownShare()), keepUnusedMs: TOLERANCE.windowMs })
    const standInBuckets = new TokenBucketStore({ clock, configOf: () => planStandInBucket(this.limit, TOLERANCE) })
    const local = new TokenBucketStore({ clock, configOf: () => planOwnShareBucket(this.limit, TOLERANCE, 1 / knownBoxes()) })
    const limiter = new StandInLimiter({ clock, link, messages: new AccountMessages(), buckets, standInBuckets, local, coordinatorShare: ownShare, localShare: () => 1 / knownBoxes(), members: () => box.visible, self: () => box.member, listedAddresses: () => this.#addresses, isSettled: () => true })
    link.serve({ onCall: async (message) => answer(limiter, buckets, standInBuckets, message), onStream: async function * () {} })
    box.onMembers = () => buckets.retain((account) => limiter.isCoordinator(account))
    return limiter
  }

  #countMessages (link: PeerLink): PeerLink {
    const call = link.call.bind(link)
    link.call = (...args) => {
      this.messages++
      return call(...args)
    }
    return link
  }

  #updateMembers (): void {
    this.#boxes.forEach((box) => {
      box.visible = this.#boxes.filter(({ side }) => side === box.side).map(({ member }) => member)
      box.missing = this.#boxes.length - box.visible.length
      box.onMembers?.()
    })
  }

  async #broadcastTotals (): Promise<void> {
    for (;;) {
      await this.clock.sleep(BROADCAST_PERIOD_MS)
      this.#boxes.forEach((sender) => {
        this.messages += sender.unsent > 0 ? sender.visible.length - 1 : 0
        this.#boxes.filter((box) => box !== sender && box.side === sender.side).forEach(({ bucket }) => bucket.charge(sender.unsent))
      })
      this.#boxes.forEach((box) => { box.unsent = 0 })
    }
  }
}

/** Charges its own costs immediately, and those of others when they broadcast them. */
class BroadcastTotalsLimiter extends SharedLimiter {
  readonly #box: Box
  readonly #clock: Clock
  readonly #limit: () => AccountLimit

  constructor (box: Box, clock: Clock, limit: () => AccountLimit) {
    super()
    this.#box = box
    this.#clock = clock
    this.#limit = limit
  }

  async acquire ({ cost }: LimitedCost): Promise<number> {
    const { visible: sees, missing, bucket } = this.#box
    const part = sees.length / (sees.length + missing)
    const { perSecond, burst } = this.#limit()
    const waitMs = bucket.acquire(cost, { perSecond: part * perSecond, burst: part * burst }, this.#clock.nowMs())
    if (waitMs === 0) this.#box.unsent += cost
    return waitMs
  }

  release (): void {}
}

function answer (limiter: StandInLimiter, buckets: TokenBucketStore, standInBuckets: TokenBucketStore, message: PeerMessage): PeerMessage {
  if (message.type === MessageType.AccountTake) {
    const { account: name, cost, standIn } = message
    return { type: MessageType.AccountTaken, waitMs: Math.min(TOLERANCE.windowMs, standIn ? limiter.decideAsStandIn({ name, cost }) : buckets.acquire(name, cost)) }
  }
  if (message.type === MessageType.AccountGiveBack) (message.standIn ? standInBuckets : buckets).release(message.account, message.cost)
  return { type: MessageType.Done }
}

function addressOf (i: number): string {
  return `10.0.${i >> 8}.${i & 255}:1`
}
