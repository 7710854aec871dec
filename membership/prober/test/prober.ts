import { Collection, type Member, type PeerHandler, PeerLink, PeerLinkError, type PeerMessage, MessageType, type PeerCallOptions, RevisionNumbering } from '@reelspan/core.messages'
import { Prober } from '@reelspan/membership.prober'
import { MembershipView } from '@reelspan/membership.view'
import { SeededRandom, VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'
import { memberOf } from './__utils__/memberOf.js'

const PROBE_PERIOD_MS = 700
const PROBE_TIMEOUT_MS = 300
const FLEET = 690
/** Members that are greeted by one box out of many in each round, so that each is greeted by a few. */
const ROUNDS = 100

/** Members answer at once, but for the silent ones. */
class FleetLink extends PeerLink {
  readonly heartbeats = new Map<string, number>()
  readonly silent = new Set<string>()
  /** How long members take to answer. */
  answersAfterMs = 0
  /** The revision of the list that members name. */
  fleetRevision = 1
  /** How members number revisions; those of an earlier release do not tell. */
  numbering: RevisionNumbering | undefined = RevisionNumbering.ByVersionAndEra
  readonly #clock: VirtualClock

  constructor (clock: VirtualClock) {
    super()
    this.#clock = clock
  }

  async call (address: string, message: PeerMessage, { timeoutMs }: PeerCallOptions): Promise<PeerMessage> {
    if (message.type === MessageType.MembersPull) return { type: MessageType.MembersState, members: [] }
    if (message.type === MessageType.ProbeFor) return { type: MessageType.ProbeResult }
    this.heartbeats.set(address, (this.heartbeats.get(address) ?? 0) + 1)
    if (this.silent.has(address)) {
      await this.#clock.sleep(timeoutMs)
      throw new PeerLinkError(`${address} did not answer in time`, { mayHaveArrived: true })
    }
    await this.#clock.sleep(Math.min(this.answersAfterMs, timeoutMs))
    if (this.answersAfterMs > timeoutMs) throw new PeerLinkError(`${address} did not answer in time`, { mayHaveArrived: true })
    const self = memberOf(Number(address.split(':')[1]))
    return { type: MessageType.HeartbeatAck, self, news: [], digest: 0, revisions: { [Collection.Declarations]: 1, [Collection.Fleet]: this.fleetRevision }, numbering: this.numbering, inFlight: 0 }
  }

  async * stream (): AsyncGenerator<PeerMessage> {}

  serve (_handler: PeerHandler): void {}

  async close (): Promise<void> {}
}

/** One box of a large fleet that believes of some others that they do not answer. */
function startProber (suspects: readonly Member[]) {
  const clock = new VirtualClock()
  const view = new MembershipView({ self: memberOf(0), goneMemoryMs: 600_000 })
  for (let i = 1; i < FLEET; i++) view.merge(memberOf(i), clock.nowMs())
  suspects.forEach(({ incarnation }) => view.suspect(incarnation, clock.nowMs()))
  return startWith(clock, view, [])
}

/** One box that knows of no other, but addresses at which nobody answers yet. */
function startAlone (listed: readonly Member[], answersAfterMs?: number) {
  const clock = new VirtualClock()
  const view = new MembershipView({ self: memberOf(0), goneMemoryMs: 600_000 })
  return { view, ...startWith(clock, view, listed.map(({ peerAddress }) => peerAddress), answersAfterMs) }
}

/** @param answersAfterMs how long the listed boxes take to answer; they do not without */
function startWith (clock: VirtualClock, view: MembershipView, listedAddresses: readonly string[], answersAfterMs?: number) {
  const link = new FleetLink(clock)
  link.answersAfterMs = answersAfterMs ?? 0
  const here = { fleetRevision: 1 }
  const reported: number[] = []
  if (answersAfterMs === undefined) listedAddresses.forEach((address) => link.silent.add(address))
  const prober = new Prober({
    clock,
    random: new SeededRandom(1),
    link,
    view,
    listedAddresses: () => listedAddresses,
    revisions: () => ({ [Collection.Declarations]: 1, [Collection.Fleet]: here.fleetRevision }),
    inFlight: () => 0,
    platformAnswering: () => undefined,
    onPlatformAnswering: () => {},
    onPeerRevisions: (_address, revisions) => reported.push(revisions[Collection.Fleet]),
    probePeriodMs: PROBE_PERIOD_MS,
    probeTimeoutMs: PROBE_TIMEOUT_MS,
    watchCount: 4,
    silentGoneMs: 600_000,
  })
  prober.start()
  return { clock, link, prober, here, reported }
}

test('a member that does not answer is greeted by a few of many boxes in a round, so that it is not flooded when it wakes', async (t) => {
  const suspect = memberOf(345)
  const { clock, link, prober } = startProber([suspect])
  link.silent.add(suspect.peerAddress)
  await clock.advance(ROUNDS * (PROBE_PERIOD_MS + PROBE_TIMEOUT_MS))
  const greetings = link.heartbeats.get(suspect.peerAddress) ?? 0
  t.true(greetings <= 10, `${greetings} in ${ROUNDS} rounds, of one box in ${FLEET}`)
  void prober.stop()
})

test('members that do not answer do not make it later that a box notices its contact with the others', async (t) => {
  const suspects = Array.from({ length: FLEET / 3 }, (_, i) => memberOf(3 * i + 1))
  const { clock, link, prober } = startProber(suspects)
  // Some are back and some are not: each wave of greetings finds one that answers and waits for one that does not.
  suspects.filter((_, i) => i % 2 === 0).forEach(({ peerAddress }) => link.silent.add(peerAddress))
  let longestMs = 0
  for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 50) {
    await clock.advance(50)
    longestMs = Math.max(longestMs, clock.nowMs() - prober.lastMajorityContactMs)
  }
  t.true(longestMs <= 2 * PROBE_PERIOD_MS, `${longestMs} ms: after ${2 * PROBE_PERIOD_MS} ms a box counts as alone and watches the platform itself`)
  void prober.stop()
})

test('a box that starts before the others meets them soon after they are up', async (t) => {
  const seeds = [memberOf(1), memberOf(2), memberOf(3)]
  const { clock, link, prober, view } = startAlone(seeds)
  await clock.advance(1000)
  link.silent.delete(seeds[2].peerAddress)
  await clock.advance(200)
  t.deepEqual(view.live().map(({ name }) => name), ['box-0', 'box-3'])
  void prober.stop()
})

test('a box that stays alone greets where others may be no more often than usual after a while', async (t) => {
  const seed = memberOf(1)
  const { clock, link, prober } = startAlone([seed])
  await clock.advance(10_000)
  const soon = link.heartbeats.get(seed.peerAddress) ?? 0
  t.true(soon <= 105, `${soon} in 10 s`)
  await clock.advance(60_000)
  const later = (link.heartbeats.get(seed.peerAddress) ?? 0) - soon
  t.true(later <= 60_000 / PROBE_PERIOD_MS / 2, `${later} in a minute`)
  void prober.stop()
})

function heartbeatsSent (link: FleetLink): number {
  return [...link.heartbeats.values()].reduce((sum, count) => sum + count, 0)
}

test('a revision after a quiet time is told of at once, to members that are not known to have it', async (t) => {
  const { clock, link, prober, here } = startProber([])
  // Right after a round, which told nothing of it.
  await clock.advance(PROBE_PERIOD_MS * 1.05)
  const before = heartbeatsSent(link)
  here.fleetRevision = 2
  void prober.announceRevisionsSoon()
  await clock.advance(1)
  t.is(heartbeatsSent(link) - before, 4)
  link.fleetRevision = 2
  await clock.advance(PROBE_PERIOD_MS * 1.9)
  const informed = heartbeatsSent(link)
  await prober.announceRevisionsSoon()
  t.is(heartbeatsSent(link), informed, 'all have named it')
  await prober.stop()
})

test('revisions of boxes of an earlier release, which number them otherwise, are taken for newer ones', async (t) => {
  const { clock, link, prober, reported } = startProber([])
  link.numbering = undefined
  link.fleetRevision = 100_000
  await clock.advance(2 * PROBE_PERIOD_MS)
  t.deepEqual(reported, [])
  link.numbering = RevisionNumbering.ByVersionAndEra
  link.fleetRevision = 7
  await clock.advance(2 * PROBE_PERIOD_MS)
  t.true(reported.length > 0 && reported.every((revision) => revision === 7))
  await prober.stop()
})

test('revisions in quick succession are told of together', async (t) => {
  const { clock, link, prober, here } = startProber([])
  await clock.advance(PROBE_PERIOD_MS)
  const before = heartbeatsSent(link)
  for (let i = 0; i < 70; i++) {
    here.fleetRevision++
    void prober.announceRevisionsSoon()
    await clock.advance(100)
  }
  const told = heartbeatsSent(link) - before
  const rounds = 7000 / PROBE_PERIOD_MS
  t.true(told >= 4 * rounds && told <= 3 * 4 * (rounds + 1), `${told} messages`)
  await prober.stop()
})

// Where three hundred boxes were started at the same moment, they were not serving within half a minute: all greeted
// the same three, which took longer than for a probe to answer each, and were greeted anew ten times a second.
test('boxes that are slow to answer are met, and not greeted anew before they have', async (t) => {
  const { clock, link, prober, view } = startAlone([memberOf(1), memberOf(2), memberOf(3)], 3 * PROBE_TIMEOUT_MS)
  await clock.advance(3.5 * PROBE_TIMEOUT_MS)
  t.is(view.live().length, 4)
  const most = Math.max(...link.heartbeats.values())
  t.true(most <= 2, `${most} greetings of one box`)
  void prober.stop()
})

test('an answer does not tell back what its question told, unless more is known here', async (t) => {
  const { clock, prober, view } = startAlone([], 0)
  const told = [memberOf(2), memberOf(3)]
  view.merge({ ...memberOf(3), version: 1, leaving: true }, clock.nowMs())
  const question = { type: MessageType.Heartbeat, self: memberOf(1), news: told, digest: 0, revisions: { [Collection.Declarations]: 1, [Collection.Fleet]: 1 }, inFlight: 0 } as const
  const answer = await prober.answer({ ...question, news: [...question.news] })
  t.true(answer?.type === MessageType.HeartbeatAck)
  const names = answer?.type === MessageType.HeartbeatAck ? answer.news.map(({ name, leaving }) => [name, leaving]) : []
  t.false(names.some(([name]) => name === memberOf(2).name))
  t.true(names.some(([name, leaving]) => name === memberOf(3).name && leaving === true))
  void prober.stop()
})
