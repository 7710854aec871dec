import { accountBucket, AccountMessages, type LimitTolerance } from '@reelspan/accounts.limits'
import { type AccountLimit, LimitUnit } from '@reelspan/config.resources'
import { type Clock } from '@reelspan/core.env'
import { type Member, MemberHealth, MessageType, type PeerLink, type PeerMessage } from '@reelspan/core.messages'
import { EvenShareLimiter, HomeLimiter, LimitBook, LimitBucket, type LimitedCost, SharedLimiter } from '@reelspan/membership.limits'
import { type CountedRun, FakeNetwork, SeededRandom, VirtualClock } from '@reelspan/utils.fakes'

export enum Way {
  Home = 'home',
  EvenShares = 'evenShares',
  ToldTotals = 'toldTotals',
}

export const LIMIT: AccountLimit = { unit: LimitUnit.Tokens, perSecond: 131_000, burst: 131_000, unsizedCost: 200 }
export const ACCOUNT = 'bank'
/** Boxes are seen to be gone, or cut off, after this. */
const NOTICED_AFTER_MS = 1400
export const TOLERANCE: LimitTolerance = { windowMs: 8000, overage: 0.25, slack: 140_000 }
/** As often as boxes send heartbeats. */
const TOLD_EVERY_MS = 700

interface Box {
  member: Member
  limiter: SharedLimiter
  side: number
  sees: readonly Member[]
  missing: number
  /** Costs of its own that were not told yet. */
  untold: number
  bucket: LimitBucket
  /** Tells the box that the members have changed. */
  onMembers?: () => void
}

interface FleetOptions {
  boxes: number
  way: Way
  seed?: number
}

/** Boxes that keep one account within its limit, on a network that can be cut. */
export class LimitFleet {
  readonly clock = new VirtualClock()
  readonly random: SeededRandom
  readonly runs: CountedRun[] = []
  refused = 0
  /** What one bucket that sees all requests at once would have taken. */
  dueCost = 0
  messages = 0
  limit: AccountLimit = LIMIT
  readonly #way: Way
  readonly #network: FakeNetwork
  readonly #boxes: Box[] = []
  #reference = new LimitBucket(LIMIT.burst, 1000)
  #starts = 0

  constructor ({ boxes, way, seed = 1 }: FleetOptions) {
    this.#way = way
    this.random = new SeededRandom(seed)
    this.#network = new FakeNetwork({ clock: this.clock, random: this.random })
    this.#boxes.push(...Array.from({ length: boxes }, (_, i) => this.#start(i)))
    this.#lookAround()
    if (way === Way.ToldTotals) void this.#tellTotals()
  }

  /** A request of the account at some box. */
  async arrive (cost: number, at = this.random.nextInt(this.#boxes.length)): Promise<void> {
    if (this.#reference.take(cost, { perSecond: this.limit.perSecond, burst: this.limit.burst }, this.clock.nowMs()) === 0) this.dueCost += cost
    const waitMs = await this.#boxes[at].limiter.take({ name: ACCOUNT, cost })
    if (waitMs === 0) this.runs.push({ atMs: this.clock.nowMs(), cost })
    else this.refused++
  }

  /** Cuts the first `count` boxes off from the others, who notice after a while. */
  async cut (count: number): Promise<void> {
    this.heal()
    this.#boxes.forEach((box, i) => { box.side = i < count ? 1 : 0 })
    this.#boxes.forEach((a) => this.#boxes.filter((b) => b.side !== a.side).forEach((b) => this.#network.cut(a.member.peerAddress, b.member.peerAddress)))
    await this.clock.sleep(NOTICED_AFTER_MS)
    this.#lookAround()
  }

  get isCut (): boolean {
    return this.#boxes.some(({ side }) => side !== 0)
  }

  heal (): void {
    this.#network.healAll()
    this.#boxes.forEach((box) => { box.side = 0 })
    this.#lookAround()
  }

  /** Ends boxes of a fleet that is whole and starts them again, with nothing of before. */
  async restart (boxes: readonly number[]): Promise<void> {
    boxes.forEach((i) => this.#network.kill(this.#boxes[i].member.peerAddress))
    boxes.forEach((i) => { this.#boxes[i] = this.#start(i) })
    this.#lookAround()
  }

  /** Part of `perSecond` and `burst` from now on. */
  lower (part: number): void {
    this.limit = { ...LIMIT, perSecond: part * LIMIT.perSecond, burst: part * LIMIT.burst }
  }

  #start (i: number): Box {
    const peerAddress = `10.0.${i >> 8}.${i & 255}:1`
    const { clock, link } = this.#network.addNode(peerAddress)
    const member: Member = { name: `b${i}`, availabilityZone: 'z', peerAddress, callerAddress: '', incarnation: `${this.#starts++}`.padStart(16, '0'), version: 0, health: MemberHealth.Alive, leaving: false }
    const box: Box = { member, side: 0, sees: [member], missing: 0, untold: 0, limiter: undefined as unknown as SharedLimiter, bucket: new LimitBucket(this.limit.burst, clock.nowMs()) }
    box.limiter = this.#limiterOf(box, clock, this.#counted(link))
    return box
  }

  #limiterOf (box: Box, clock: Clock, link: PeerLink): SharedLimiter {
    const known = () => box.sees.length + box.missing
    const alone = new EvenShareLimiter({ clock, planOf: () => accountBucket(this.limit, TOLERANCE, 1 / known()) })
    if (this.#way === Way.EvenShares) return alone
    if (this.#way === Way.ToldTotals) return new ToldTotalsLimiter(box, clock, () => this.limit)
    const book = new LimitBook({ clock, planOf: () => accountBucket(this.limit, TOLERANCE, box.sees.length / known()) })
    link.serve({ onCall: async (message) => answer(book, message), onStream: async function * () {} })
    const limiter = new HomeLimiter({ clock, link, messages: new AccountMessages(), book, alone, members: () => box.sees, self: () => box.member })
    box.onMembers = () => book.retain((account) => limiter.isHome(account))
    return limiter
  }

  #counted (link: PeerLink): PeerLink {
    const call = link.call.bind(link)
    link.call = (...args) => {
      this.messages++
      return call(...args)
    }
    return link
  }

  #lookAround (): void {
    this.#boxes.forEach((box) => {
      box.sees = this.#boxes.filter(({ side }) => side === box.side).map(({ member }) => member)
      box.missing = this.#boxes.length - box.sees.length
      box.onMembers?.()
    })
  }

  async #tellTotals (): Promise<void> {
    for (;;) {
      await this.clock.sleep(TOLD_EVERY_MS)
      this.#boxes.forEach((teller) => {
        this.messages += teller.untold > 0 ? teller.sees.length - 1 : 0
        this.#boxes.filter((box) => box !== teller && box.side === teller.side).forEach(({ bucket }) => bucket.charge(teller.untold))
      })
      this.#boxes.forEach((box) => { box.untold = 0 })
    }
  }
}

/** Counts what it takes itself at once, and what others took when they tell of it. */
class ToldTotalsLimiter extends SharedLimiter {
  readonly #box: Box
  readonly #clock: Clock
  readonly #limit: () => AccountLimit

  constructor (box: Box, clock: Clock, limit: () => AccountLimit) {
    super()
    this.#box = box
    this.#clock = clock
    this.#limit = limit
  }

  async take ({ cost }: LimitedCost): Promise<number> {
    const { sees, missing, bucket } = this.#box
    const part = sees.length / (sees.length + missing)
    const { perSecond, burst } = this.#limit()
    const waitMs = bucket.take(cost, { perSecond: part * perSecond, burst: part * burst }, this.#clock.nowMs())
    if (waitMs === 0) this.#box.untold += cost
    return waitMs
  }

  giveBack (): void {}
}

function answer (book: LimitBook, message: PeerMessage): PeerMessage {
  if (message.type === MessageType.AccountTake) return { type: MessageType.AccountTaken, waitMs: book.take(message.account, message.cost) }
  if (message.type === MessageType.AccountGiveBack) book.giveBack(message.account, message.cost)
  return { type: MessageType.Done }
}
