import { type Configuration, type AccountLimit, LimitUnit } from '@reelspan/config.resources'
import { Collection, type Member, MemberHealth, MessageType, type PeerCallOptions, type PeerHandler, PeerLink, PeerLinkError, type PeerMessage } from '@reelspan/core.messages'
import { type LimitDecision, type LimitDecider } from '@reelspan/membership.limits'
import { Prober } from '@reelspan/membership.prober'
import { MembershipView } from '@reelspan/membership.view'
import { type CountedRun, FakeNetwork, type LimitRule, maxWindowUsage, SeededRandom, VirtualClock } from '@reelspan/utils.fakes'
import { acquireAccountCost, createAccountBuckets, createExpectedBoxes, createLimiter, createStandInBuckets, releaseAccountCost } from '../../lib/createAccountParts.js'
import { type BoxParts, listedPeerAddresses } from '../../lib/boxParts.js'

/** Limits and tolerance of the loads that this fleet is tested with. */
export const TOLERANCE = { windowMs: 8000, overage: 0.25, slack: 120_000 }
/** One request in four is a stream of this many tokens, the others are calls. */
const STREAM_MIN = 10_000
const STREAM_SPREAD = 6600
const CALL_COST = 200
const MEAN_COST = (STREAM_MIN + STREAM_SPREAD / 2 + 3 * CALL_COST) / 4
const SEEDS = 4
const JOINED = 4
/** Boxes are back within this time of each other. */
const START_SPREAD_MS = 400
/** Time until a partition is detected. */
const DETECTION_MS = 1400
/** Longest time to open a connection to a box that is busy starting. */
const CONNECT_MS = 120
const IDLE_CONNECT_MS = 4
/** Messages are answered late in the first seconds after a start. */
const BUSY_MS = 2000
const BUSY_DELAY_MS = 40

export interface AccountLoad {
  name: string
  limit: AccountLimit
  /** Requested rate as a share of the limit. */
  load: number
}

export interface Attempt extends CountedRun {
  account: string
  granted: boolean
  waitMs: number
  decider: LimitDecider
  /** Whether a single bucket with the declared limit that sees all requests grants it. */
  belowLimit: boolean
}

interface FleetBox {
  member: Member
  view: MembershipView
  prober: Prober
  parts: BoxParts
}

export interface AccountFleetOptions {
  boxes: number
  accounts: readonly AccountLoad[]
  seed?: number
  /** Whether boxes have the platform's list when they start, or a few seed addresses only. */
  isListed?: (box: number) => boolean
  /** Longest time in which boxes get to know each other. By default the prober decides. */
  discoveryMs?: number
}

/** Opens each connection with a delay, as a box that is busy starting does. */
class ConnectingLink extends PeerLink {
  readonly #inner: PeerLink
  readonly #fleet: AccountFleet
  readonly #openAtMs = new Map<string, number>()
  readonly #startedAtMs: number

  constructor (inner: PeerLink, fleet: AccountFleet) {
    super()
    this.#inner = inner
    this.#fleet = fleet
    this.#startedAtMs = fleet.clock.nowMs()
  }

  async call (address: string, message: PeerMessage, opts: PeerCallOptions): Promise<PeerMessage> {
    const { clock, random } = this.#fleet
    const connectMs = this.#fleet.isBusy(this.#startedAtMs) ? CONNECT_MS : IDLE_CONNECT_MS
    const openAtMs = this.#openAtMs.get(address) ?? clock.nowMs() + random.nextFloat() * connectMs
    this.#openAtMs.set(address, openAtMs)
    const delayMs = Math.max(0, openAtMs - clock.nowMs())
    await clock.sleep(Math.min(delayMs, opts.timeoutMs))
    if (delayMs >= opts.timeoutMs) throw new PeerLinkError(`${address} did not answer in time`, { mayHaveArrived: true })
    if (message.type === MessageType.AccountTake) this.#fleet.messages++
    return this.#inner.call(address, message, { ...opts, timeoutMs: opts.timeoutMs - delayMs })
  }

  stream (address: string, message: PeerMessage, opts: PeerCallOptions) {
    return this.#inner.stream(address, message, opts)
  }

  serve (handler: PeerHandler): void {
    const { clock, random } = this.#fleet
    this.#inner.serve({
      onCall: async (message) => {
        if (this.#fleet.isBusy(this.#startedAtMs)) await clock.sleep(random.nextFloat() * BUSY_DELAY_MS)
        return handler.onCall(message)
      },
      onStream: handler.onStream,
    })
  }

  async close (): Promise<void> {
    await this.#inner.close()
  }
}

/** Boxes that learn of each other through the prober and share the limits of accounts. */
export class AccountFleet {
  readonly clock = new VirtualClock()
  readonly random: SeededRandom
  readonly attempts: Attempt[] = []
  messages = 0
  readonly #opts: AccountFleetOptions
  readonly #network: FakeNetwork
  readonly #boxes: (FleetBox | undefined)[] = []
  readonly #reference = new Map<string, { level: number, atMs: number }>()
  readonly #pending: Promise<void>[] = []
  readonly #seedAddresses: readonly string[]
  #starts = 0
  #cutCount = 0
  /** Time that boxes take to answer questions about limits. */
  answersAfterMs = 0

  constructor (opts: AccountFleetOptions) {
    this.#opts = opts
    this.#seedAddresses = Array.from({ length: SEEDS }, (_, i) => addressOf(Math.floor(i * opts.boxes / SEEDS)))
    this.random = new SeededRandom(opts.seed ?? 1)
    this.#network = new FakeNetwork({ clock: this.clock, random: this.random })
  }

  /** Starts all boxes within a short time. */
  async startAll (): Promise<void> {
    const starts = Array.from({ length: this.#opts.boxes }, async (_, i) => {
      await this.clock.sleep(this.random.nextFloat() * START_SPREAD_MS)
      await this.#start(i)
    })
    await Promise.all(starts)
  }

  isBusy (startedAtMs: number): boolean {
    return this.clock.nowMs() < startedAtMs + BUSY_MS
  }

  killAll (): void {
    this.#boxes.forEach((_, i) => this.kill(i))
  }

  kill (i: number): void {
    const box = this.#boxes[i]
    if (!box) return
    this.#network.kill(box.member.peerAddress)
    void box.prober.stop()
    this.#boxes[i] = undefined
  }

  /** Partitions the first `count` boxes from the others, and waits until both sides have detected it. */
  async cut (count: number): Promise<void> {
    const { clock } = this
    this.#cutCount = count
    const addresses = Array.from({ length: this.#opts.boxes }, (_, i) => addressOf(i))
    addresses.slice(0, count).forEach((a) => addresses.slice(count).forEach((b) => this.#network.blockBoth(a, b)))
    await clock.sleep(DETECTION_MS)
    if (this.#opts.discoveryMs === undefined) return
    this.#boxes.forEach((box, i) => this.#boxes.forEach((other, j) => {
      if (box && other && !this.#reaches(i, j)) box.view.suspect(other.member.incarnation, clock.nowMs())
    }))
  }

  heal (): void {
    this.#cutCount = 0
    this.#network.healAll()
  }

  /** Asks a box to acquire a cost. */
  async ask (i: number, name: string, cost: number): Promise<LimitDecision> {
    const decision = await this.#boxes[i]?.parts.limiter.decide({ name, cost })
    if (!decision) throw new Error(`box ${i} does not run`)
    return decision
  }

  /** Share of the requests below their limits that were refused, of those that arrived in an interval. */
  refusedShare (fromMs: number, toMs: number): number {
    const below = this.attempts.filter(({ belowLimit, atMs }) => belowLimit && atMs >= fromMs && atMs < toMs)
    return below.filter(({ granted }) => !granted).length / below.length
  }

  /** Box that coordinates an account for most boxes. */
  coordinatorOf (account: string): number {
    return this.#boxes.findIndex((box) => box?.parts.limiter.isCoordinator(account))
  }

  /** Whether all boxes run and know nine in ten of the members. */
  get isDiscovered (): boolean {
    return this.#boxes.every((box) => box !== undefined && box.view.live().length >= 0.9 * this.#opts.boxes)
  }

  /** Sends requests of all accounts to random boxes for some time. */
  async send (seconds: number, loadFactor = 1): Promise<void> {
    const endMs = this.clock.nowMs() + 1000 * seconds
    await Promise.all(this.#opts.accounts.map(async ({ name, limit, load }) => {
      const perMs = loadFactor * load * limit.perSecond / MEAN_COST / 1000
      for (;;) {
        const nextMs = -Math.log(1 - this.random.nextFloat()) / perMs
        await this.clock.sleep(Math.min(nextMs, endMs - this.clock.nowMs()))
        if (this.clock.nowMs() >= endMs) return
        this.#pending.push(this.#arrive(name, limit))
      }
    }))
    await Promise.all(this.#pending.splice(0))
  }

  /** Usage of the fullest window of an account, as a share of what the limit and the tolerance allow. */
  fullest (): number {
    return Math.max(...this.#opts.accounts.map(({ name, limit }) => {
      const rule: LimitRule = { perSecond: limit.perSecond, burst: limit.burst, ...TOLERANCE }
      return maxWindowUsage(this.attempts.filter(({ account, granted }) => granted && account === name), rule)
    }))
  }

  /** Runs some work on the virtual clock, then stops all boxes. */
  async run (work: () => Promise<void>): Promise<void> {
    await this.clock.run(work().then(() => Promise.all(this.#boxes.map((box) => box?.prober.stop()))), 600_000)
  }

  async #arrive (account: string, limit: AccountLimit): Promise<void> {
    const running = this.#boxes.flatMap((box) => box ?? [])
    const cost = this.random.nextInt(4) === 0 ? STREAM_MIN + this.random.nextInt(STREAM_SPREAD) : limit.unsizedCost
    if (running.length === 0) return
    const atMs = this.clock.nowMs()
    const belowLimit = this.#referenceGrants(account, limit, cost, atMs)
    const charge = { name: account, cost }
    const { waitMs, decider } = await running[this.random.nextInt(running.length)].parts.limiter.decide(charge)
    this.attempts.push({ account, cost, atMs, granted: waitMs === 0, waitMs, decider, belowLimit })
  }

  #referenceGrants (account: string, { perSecond, burst }: AccountLimit, cost: number, nowMs: number): boolean {
    const { level, atMs } = this.#reference.get(account) ?? { level: burst, atMs: nowMs }
    const filled = Math.min(burst, level + (nowMs - atMs) / 1000 * perSecond)
    const granted = filled >= Math.min(cost, burst)
    this.#reference.set(account, { level: granted ? filled - cost : filled, atMs: nowMs })
    return granted
  }

  async #start (i: number): Promise<void> {
    const { clock, random } = this
    const peerAddress = addressOf(i)
    const node = this.#network.addNode(peerAddress)
    const link = new ConnectingLink(node.link, this)
    const incarnation = `${random.nextInt(2 ** 30).toString(16)}-${this.#starts++}`
    const self: Member = { name: `b${i}`, availabilityZone: 'z', peerAddress, callerAddress: '', incarnation, version: 0, health: MemberHealth.Alive, leaving: false }
    const view = new MembershipView({ self, goneRetentionMs: 600_000 })
    const parts = this.#partsOf(i, { clock: node.clock, random, link, view })
    parts.expectedBoxes = createExpectedBoxes(parts)
    parts.accountBuckets = createAccountBuckets(parts)
    parts.standInBuckets = createStandInBuckets(parts)
    parts.limiter = createLimiter(parts)
    const prober = this.#createProber(parts)
    link.serve({
      onCall: async (message) => {
        if (message.type === MessageType.AccountTake) await clock.sleep(this.answersAfterMs)
        if (message.type === MessageType.AccountTake) return acquireAccountCost(parts, message)
        if (message.type === MessageType.AccountGiveBack) releaseAccountCost(parts, message)
        return await prober.answer(message) ?? { type: MessageType.Done }
      },
      onStream: async function * () {},
    })
    this.#boxes[i] = { member: self, view, prober, parts }
    if (this.#opts.discoveryMs !== undefined) {
      this.#pullList(parts, random.sample(listedPeerAddresses(parts), JOINED))
      return this.#discover(i, view, this.#opts.discoveryMs)
    }
    const joined = random.sample(listedPeerAddresses(parts), JOINED)
    await prober.join(joined)
    this.#pullList(parts, joined)
    prober.start()
  }

  /** A box that the platform does not answer reads the list from the peers that it joins, if one has it. */
  #pullList (parts: BoxParts, joined: readonly string[]): void {
    const source = this.#boxes.find((box) => box && joined.includes(box.member.peerAddress) && box.parts.fleet.value.boxes.length > 0)
    if (source) parts.fleet = source.parts.fleet
  }

  /** Adds the running boxes to a view, a part of them every 100 ms, instead of probing hundreds of boxes. */
  async #discover (i: number, view: MembershipView, discoveryMs: number): Promise<void> {
    const { clock, random } = this
    const steps = Math.max(1, Math.round(random.nextFloat() * discoveryMs / 100))
    for (let step = 1; step <= steps; step++) {
      await clock.sleep(100)
      const members = this.#reachable(i)
      random.sample(members, Math.ceil(members.length * step / steps)).forEach((member) => view.merge(member, clock.nowMs()))
    }
    await clock.sleep(START_SPREAD_MS)
    this.#reachable(i).forEach((member) => view.merge(member, clock.nowMs()))
  }

  #reaches (a: number, b: number): boolean {
    return (a < this.#cutCount) === (b < this.#cutCount)
  }

  #reachable (i: number): Member[] {
    return this.#boxes.flatMap((box, j) => box && this.#reaches(i, j) ? box.member : [])
  }

  #partsOf (i: number, environment: Pick<BoxParts, 'clock' | 'random' | 'link' | 'view'>): BoxParts {
    const { accounts, boxes, isListed = () => true } = this.#opts
    const listed = isListed(i) ? Array.from({ length: boxes }, (_, box) => ({ peerAddress: addressOf(box) })) : []
    const declared = new Map(accounts.map(({ name, limit }) => [name, { limit }]))
    return {
      ...environment,
      settings: {
        accounts: { limitWindowMs: TOLERANCE.windowMs, limitOverage: TOLERANCE.overage, limitSlack: TOLERANCE.slack },
        membership: { probePeriodMs: 700, probeTimeoutMs: 300, watchCount: 4, silentGoneMs: 600_000, seedAddresses: this.#seedAddresses },
      },
      fleet: { value: { boxes: listed } },
      declarations: { value: { account: (name: string) => declared.get(name) } as unknown as Configuration },
    } as unknown as BoxParts
  }

  #createProber (parts: BoxParts): Prober {
    const { clock, random, link, view, settings } = parts
    return new Prober({
      clock,
      random,
      link,
      view,
      ...settings.membership,
      listedAddresses: () => listedPeerAddresses(parts),
      revisions: () => ({ [Collection.Declarations]: 1, [Collection.Fleet]: 1 }),
      inFlight: () => 0,
      platformAvailability: () => undefined,
      onPlatformAvailability: () => {},
      onPeerRevisions: () => {},
    })
  }
}

function addressOf (i: number): string {
  return `10.0.${i >> 8}.${i & 255}:1`
}

/** Accounts of uneven size, the smallest of them below one stream in five seconds. */
export function unevenAccounts (load: number): AccountLoad[] {
  return [2500, 3600, 3600, 5000, 8000, 12_000, 30_000, 130_000].map((perSecond, i) => ({ name: `account-${i}`, load, limit: { unit: LimitUnit.Tokens, perSecond, burst: 2 * perSecond, unsizedCost: CALL_COST } }))
}
