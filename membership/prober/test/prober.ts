import { Collection, type Member, type PeerHandler, PeerLink, PeerLinkError, type PeerMessage, MessageType, type PeerCallOptions, RevisionNumbering } from '@reelspan/core.messages'
import { Prober } from '@reelspan/membership.prober'
import { MembershipView } from '@reelspan/membership.view'
import { SeededRandom, VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'
import { memberOf } from './__utils__/memberOf.js'

const PROBE_PERIOD_MS = 700
const PROBE_TIMEOUT_MS = 300
const FLEET = 690
/** Probe rounds of one box, over which its contacts of a suspect member are counted. */
const ROUNDS = 100

/** Members answer immediately, except for the unresponsive ones. */
class FleetLink extends PeerLink {
  readonly heartbeats = new Map<string, number>()
  readonly unresponsive = new Set<string>()
  /** How long members take to answer. */
  answersAfterMs = 0
  /** The fleet revision that members report. */
  fleetRevision = 1
  /** How members number revisions; undefined for members of an earlier release. */
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
    if (this.unresponsive.has(address)) {
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

/** Starts one box of a large fleet, with some members suspect in its view. */
function startProber (suspects: readonly Member[]) {
  const clock = new VirtualClock()
  const view = new MembershipView({ self: memberOf(0), goneRetentionMs: 600_000 })
  for (let i = 1; i < FLEET; i++) view.merge(memberOf(i), clock.nowMs())
  suspects.forEach(({ incarnation }) => view.suspect(incarnation, clock.nowMs()))
  return startWith(clock, view, [])
}

/** Starts one box that knows no peers, only listed addresses. Without `answersAfterMs` they do not answer. */
function startIsolated (listed: readonly Member[], answersAfterMs?: number) {
  const clock = new VirtualClock()
  const view = new MembershipView({ self: memberOf(0), goneRetentionMs: 600_000 })
  return { view, ...startWith(clock, view, listed.map(({ peerAddress }) => peerAddress), answersAfterMs) }
}

/** @param answersAfterMs how long the listed boxes take to answer; if omitted, they do not answer */
function startWith (clock: VirtualClock, view: MembershipView, listedAddresses: readonly string[], answersAfterMs?: number) {
  const link = new FleetLink(clock)
  link.answersAfterMs = answersAfterMs ?? 0
  const here = { fleetRevision: 1 }
  const reported: number[] = []
  if (answersAfterMs === undefined) listedAddresses.forEach((address) => link.unresponsive.add(address))
  const prober = new Prober({
    clock,
    random: new SeededRandom(1),
    link,
    view,
    listedAddresses: () => listedAddresses,
    revisions: () => ({ [Collection.Declarations]: 1, [Collection.Fleet]: here.fleetRevision }),
    inFlight: () => 0,
    platformAvailability: () => undefined,
    onPlatformAvailability: () => {},
    onPeerRevisions: (_address, revisions) => reported.push(revisions[Collection.Fleet]),
    probePeriodMs: PROBE_PERIOD_MS,
    probeTimeoutMs: PROBE_TIMEOUT_MS,
    watchCount: 4,
    silentGoneMs: 600_000,
  })
  prober.start()
  return { clock, link, prober, here, reported }
}

test('a suspect member is contacted by only a few of many boxes per round, so that it is not overloaded when it resumes', async (t) => {
  const suspect = memberOf(345)
  const { clock, link, prober } = startProber([suspect])
  link.unresponsive.add(suspect.peerAddress)
  await clock.advance(ROUNDS * (PROBE_PERIOD_MS + PROBE_TIMEOUT_MS))
  const contacts = link.heartbeats.get(suspect.peerAddress) ?? 0
  t.true(contacts <= 10, `${contacts} in ${ROUNDS} rounds, of one box in ${FLEET}`)
  void prober.stop()
})

test('members that do not answer do not delay the detection of contact with the majority', async (t) => {
  const suspects = Array.from({ length: FLEET / 3 }, (_, i) => memberOf(3 * i + 1))
  const { clock, link, prober } = startProber(suspects)
  // Half of them have recovered, so that each batch of contacts includes members that answer and members that do not.
  suspects.filter((_, i) => i % 2 === 0).forEach(({ peerAddress }) => link.unresponsive.add(peerAddress))
  let longestMs = 0
  for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 50) {
    await clock.advance(50)
    longestMs = Math.max(longestMs, clock.nowMs() - prober.lastMajorityContactMs)
  }
  t.true(longestMs <= 2 * PROBE_PERIOD_MS, `${longestMs} ms: after ${2 * PROBE_PERIOD_MS} ms a box counts as isolated and watches the platform itself`)
  void prober.stop()
})

test('contact with those that are still trusted is none with most of the boxes', async (t) => {
  for (const [lost, hasQuorum] of [[FLEET / 3, true], [FLEET - 3, false]] as const) {
    const suspects = Array.from({ length: lost }, (_, i) => memberOf(i + 1))
    const { clock, link, prober } = startProber(suspects)
    suspects.forEach(({ peerAddress }) => link.unresponsive.add(peerAddress))
    await clock.advance(10_000)
    t.true(clock.nowMs() - prober.lastMajorityContactMs <= 2 * PROBE_PERIOD_MS)
    t.is(clock.nowMs() - prober.lastQuorumContactMs <= 2 * PROBE_PERIOD_MS, hasQuorum)
    void prober.stop()
  }
})

test('a box that starts before the others contacts them soon after they are up', async (t) => {
  const seeds = [memberOf(1), memberOf(2), memberOf(3)]
  const { clock, link, prober, view } = startIsolated(seeds)
  await clock.advance(1000)
  link.unresponsive.delete(seeds[2].peerAddress)
  await clock.advance(200)
  t.deepEqual(view.live().map(({ name }) => name), ['box-0', 'box-3'])
  void prober.stop()
})

test('a box that stays isolated reduces its contacts to the regular rate after a while', async (t) => {
  const seed = memberOf(1)
  const { clock, link, prober } = startIsolated([seed])
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

test('a revision after an idle period is announced immediately to members that have not reported it', async (t) => {
  const { clock, link, prober, here } = startProber([])
  // Right after a round, which did not include it.
  await clock.advance(PROBE_PERIOD_MS * 1.05)
  const before = heartbeatsSent(link)
  here.fleetRevision = 2
  void prober.announceRevisionsSoon()
  await clock.advance(1)
  t.is(heartbeatsSent(link) - before, 4)
  link.fleetRevision = 2
  await clock.advance(PROBE_PERIOD_MS * 1.9)
  const afterReports = heartbeatsSent(link)
  await prober.announceRevisionsSoon()
  t.is(heartbeatsSent(link), afterReports, 'all members have reported it')
  await prober.stop()
})

test('revisions reported by boxes of an earlier release, which number them differently, are ignored', async (t) => {
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

test('revisions in quick succession are announced together', async (t) => {
  const { clock, link, prober, here } = startProber([])
  await clock.advance(PROBE_PERIOD_MS)
  const before = heartbeatsSent(link)
  for (let i = 0; i < 70; i++) {
    here.fleetRevision++
    void prober.announceRevisionsSoon()
    await clock.advance(100)
  }
  const sent = heartbeatsSent(link) - before
  const rounds = 7000 / PROBE_PERIOD_MS
  t.true(sent >= 4 * rounds && sent <= 3 * 4 * (rounds + 1), `${sent} messages`)
  await prober.stop()
})

// Guards against an overload at the start of three hundred boxes, which were not serving within half a minute: all
// contacted the same three boxes, which took longer than a probe timeout to answer, and retried ten times a second.
test('boxes that are slow to answer are joined, and not contacted again before they have answered', async (t) => {
  const { clock, link, prober, view } = startIsolated([memberOf(1), memberOf(2), memberOf(3)], 3 * PROBE_TIMEOUT_MS)
  await clock.advance(3.5 * PROBE_TIMEOUT_MS)
  t.is(view.live().length, 4)
  const most = Math.max(...link.heartbeats.values())
  t.true(most <= 2, `${most} contacts of one box`)
  void prober.stop()
})

test('an answer does not return the updates of its question unless a newer state is known here', async (t) => {
  const { clock, prober, view } = startIsolated([], 0)
  const received = [memberOf(2), memberOf(3)]
  view.merge({ ...memberOf(3), version: 1, leaving: true }, clock.nowMs())
  const question = { type: MessageType.Heartbeat, self: memberOf(1), news: received, digest: 0, revisions: { [Collection.Declarations]: 1, [Collection.Fleet]: 1 }, inFlight: 0 } as const
  const answer = await prober.answer({ ...question, news: [...question.news] })
  t.true(answer?.type === MessageType.HeartbeatAck)
  const names = answer?.type === MessageType.HeartbeatAck ? answer.news.map(({ name, leaving }) => [name, leaving]) : []
  t.false(names.some(([name]) => name === memberOf(2).name))
  t.true(names.some(([name, leaving]) => name === memberOf(3).name && leaving === true))
  void prober.stop()
})
