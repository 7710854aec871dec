import { type PeerCallOptions, PeerLink, PeerLinkError, type Member, MemberHealth, MessageType, type PeerMessage, PlacementOutcome, type PlacementPlan } from '@reelspan/core.messages'
import { type Placement, Placer, type PlaceRequest } from '@reelspan/scheduling.placer'
import { SchedulerPlacer } from '@reelspan/scheduling.scheduler-placer'
import { type Shard } from '@reelspan/scheduling.shards'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

const PLAN = { outcome: PlacementOutcome.Placed, prefillEngine: 'p', decodeEngine: 'd' } as unknown as PlacementPlan
const REQUEST = {
  model: 'm',
  client: '',
  label: { ownerAddress: '10.0.0.1:1', ownerIncarnation: 'own', requestId: 'r' },
  prefixes: [],
  ttftLeftMs: 900,
  patienceMs: 2700,
} as unknown as PlaceRequest
const SCHEDULER: Member = {
  name: 'scheduler',
  availabilityZone: 'zone',
  peerAddress: '10.0.0.2:1',
  callerAddress: '',
  incarnation: 'other',
  version: 0,
  health: MemberHealth.Alive,
  leaving: false,
}

/** Fails the first message, and answers the others. */
class FailingLink extends PeerLink {
  readonly sent: { message: PeerMessage, opts: PeerCallOptions }[] = []
  readonly #clock: VirtualClock
  readonly #failure: PeerLinkError

  constructor (clock: VirtualClock, failure: PeerLinkError) {
    super()
    this.#clock = clock
    this.#failure = failure
  }

  async call (_address: string, message: PeerMessage, opts: PeerCallOptions): Promise<PeerMessage> {
    this.sent.push({ message, opts })
    if (this.sent.length === 1) {
      await this.#clock.sleep(250)
      throw this.#failure
    }
    return message.type === MessageType.Reserve ? { type: MessageType.ReserveAnswer, answer: PLAN } : { type: MessageType.Done }
  }

  async * stream (): AsyncGenerator<PeerMessage> {}
  serve (): void {}
  async close (): Promise<void> {}
}

class FallbackPlacer extends Placer {
  async place (): Promise<Placement> {
    return { plan: PLAN, placedBy: 'alone', recordPrefillEnd: () => {}, recordOutcomes: () => {}, release: () => {}, recordProgress: () => {} }
  }
}

/** Places a request while the first message to the scheduler fails. */
async function placeWithFailure (failure: PeerLinkError) {
  const clock = new VirtualClock()
  const link = new FailingLink(clock, failure)
  const placer = new SchedulerPlacer({
    clock,
    link,
    selfIncarnation: () => 'own',
    schedulers: () => [SCHEDULER],
    shardsOfModel: () => [{ id: 'm#0' } as unknown as Shard],
    localScheduler: () => undefined,
    fallback: new FallbackPlacer(),
  })
  const placement = await clock.run(placer.place(REQUEST, { signal: new AbortController().signal }))
  return { placement, sent: link.sent }
}

test('a call over an unresponsive connection is retried on a new one, after any reservation is released', async (t) => {
  const { placement, sent } = await placeWithFailure(new PeerLinkError('the connection is unresponsive', { mayHaveArrived: true, silent: true }))
  t.like(placement, { placedBy: 'scheduler' })
  t.deepEqual(sent.map(({ message }) => message.type), [MessageType.Reserve, MessageType.ReleaseReservation, MessageType.Reserve])
  t.like(sent[2].message, { request: { ttftLeftMs: 650, patienceMs: 2450 } })
})

test('an unresponsive scheduler is not waited for', async (t) => {
  const { placement, sent } = await placeWithFailure(new PeerLinkError('the peer does not answer', { mayHaveArrived: true }))
  t.like(placement, { placedBy: 'alone' })
  t.deepEqual(sent.map(({ message }) => message.type), [MessageType.Reserve, MessageType.ReleaseReservation])
  t.true(sent[0].opts.failIfUnresponsive)
})
