import { type Member, MessageType, PeerLink, type PeerMessage, PlacementOutcome, UpstreamOutcome } from '@reelspan/core.messages'
import { Placer, type Placement, type PlaceRequest } from '@reelspan/scheduling.placer'
import { SchedulerPlacer } from '@reelspan/scheduling.scheduler-placer'
import { type Shard } from '@reelspan/scheduling.shards'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

const PLAN = { outcome: PlacementOutcome.Placed as const, prefillEngine: 'p', prefillAddress: 'p:1', decodeEngine: 'd', decodeAddress: 'd:1', kvBytes: 1, startInMs: 0, startWithinMs: 300, expectedTtftMs: 100 }
const LABEL = { ownerAddress: '10.0.0.1:1', ownerIncarnation: 'own', requestId: '1', maxHoldMs: 1000 }
const REQUEST: PlaceRequest = { model: 'm', client: 'c', label: LABEL, returnId: 'r', priority: 0, promptTokens: 1, prefixes: [], maxTokens: 1, ttftLeftMs: 900, tbtTargetMs: 300, deadlineMs: 5000, avoid: [] }
const SILENT = [{ engine: 'd', outcome: UpstreamOutcome.Unreachable, silent: true }]

function schedulerAt (name: string): Member {
  return { name, incarnation: name, peerAddress: `${name}:1` } as unknown as Member
}

class RecordingLink extends PeerLink {
  readonly sent: { address: string, message: PeerMessage }[] = []

  async call (address: string, message: PeerMessage): Promise<PeerMessage> {
    this.sent.push({ address, message })
    return message.type === MessageType.Reserve ? { type: MessageType.ReserveAnswer, answer: PLAN } : { type: MessageType.Done }
  }

  async * stream (): AsyncGenerator<PeerMessage> {}
  serve (): void {}
  async close (): Promise<void> {}
}

class NoPlacer extends Placer {
  async place (): Promise<Placement> {
    throw new Error('placed without a scheduler')
  }
}

test('a new scheduler is not left without the slot of a superseded run that was not released yet', async (t) => {
  const clock = new VirtualClock()
  const link = new RecordingLink()
  let schedulers = [schedulerAt('before')]
  const placer = new SchedulerPlacer({ clock, link, selfIncarnation: () => 'own', schedulers: () => schedulers, shardsOfModel: () => [{ id: 'm#0' } as unknown as Shard], localScheduler: () => undefined, fallback: new NoPlacer() })
  const placement = await clock.run(placer.place(REQUEST, { signal: new AbortController().signal })) as Placement
  placement.recordOutcomes(SILENT)
  t.like(link.sent.at(-1), { address: 'before:1', message: { type: MessageType.ReleaseReservation, label: LABEL, outcomes: SILENT, stillReserved: true } })
  schedulers = [schedulerAt('after')]
  await clock.run(placer.transferToNewSchedulers())
  t.like(link.sent.at(-1), { address: 'after:1', message: { type: MessageType.AdoptReservations } })
  const { message } = link.sent.at(-1) as { message: PeerMessage }
  t.deepEqual(message.type === MessageType.AdoptReservations && message.reservations.map(({ request }) => request.label), [LABEL])
  placement.release()
  t.like(link.sent.at(-1), { address: 'after:1', message: { type: MessageType.ReleaseReservation, label: LABEL } })
})
