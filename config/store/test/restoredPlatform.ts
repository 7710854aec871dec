import { AdoptOutcome, ConfigFollower, ConfigStore, orderedRevisionOf, PlatformReader, type PlatformReadOptions, type RevisionedContent, storeRevisionOf } from '@reelspan/config.store'
import { Collection, MessageType, PeerLink, type PeerMessage, RevisionNumbering } from '@reelspan/core.messages'
import { SeededRandom, VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

const PEER = '10.0.0.2:1'

class ScriptedPlatform extends PlatformReader {
  content: RevisionedContent = { revision: 19, full: true, changes: [entry(19)] }
  readonly positions: PlatformReadOptions['position'][] = []

  get lastAnswerMs (): number {
    return 0
  }

  async read (_collection: Collection, _sinceRevision: number, { position }: PlatformReadOptions): Promise<RevisionedContent> {
    this.positions.push(position)
    return this.content
  }
}

/** A link to peers that all have one content. */
class OnePeer extends PeerLink {
  numbering: RevisionNumbering | undefined = RevisionNumbering.ByVersionAndEra
  content: RevisionedContent = { revision: 0, full: true, changes: [] }

  serve (): void {}

  async close (): Promise<void> {}

  async call (): Promise<PeerMessage> {
    return { type: MessageType.ConfigContent, numbering: this.numbering, ...this.content }
  }

  async * stream (): AsyncGenerator<PeerMessage> {}

  send (): void {}
}

function entry (revision: number) {
  return { kind: 'Route', name: `r-${revision}`, revision, spec: { revision } }
}

function createFollower () {
  const platform = new ScriptedPlatform()
  const peer = new OnePeer()
  const clock = new VirtualClock()
  const store = new ConfigStore((entries) => ({ value: entries.map(({ name }) => name), problems: entries.some(({ name }) => name === 'r-13') ? ['bad'] : [] }))
  const confirmed: number[] = []
  const follower = new ConfigFollower({
    clock,
    random: new SeededRandom(1),
    platform,
    link: peer,
    store,
    collection: Collection.Declarations,
    isWatcher: () => false,
    watchWaitMs: 2000,
    backstopPollMs: 10_000,
    peerTimeoutMs: 100,
    longestBackoffMs: 5000,
    onConfirmed: (revision) => confirmed.push(revision),
  })
  return { platform, peer, clock, store, follower, confirmed }
}

test('a platform restored from an older copy does not confirm the configuration in force until it has the revision again', async (t) => {
  const { platform, clock, follower, confirmed } = createFollower()
  await clock.run(follower.confirm())
  t.deepEqual(confirmed, [19])
  platform.content = { ...platform.content, shownRevision: 17, sinceRestoredMs: 60_000 }
  await clock.run(follower.confirm())
  t.deepEqual(confirmed, [19], 'the platform has an older version')
  platform.content = { ...platform.content, shownRevision: 19, sinceRestoredMs: 500 }
  await clock.run(follower.confirm())
  t.deepEqual(confirmed, [19], 'lost entries may not have been rewritten yet')
  platform.content = { ...platform.content, sinceRestoredMs: 2200 }
  await clock.run(follower.confirm())
  t.deepEqual(confirmed, [19, 19])
})

test('a box that starts while the platform has an older copy adopts the newer configuration of a peer', async (t) => {
  const { peer, clock, store, follower } = createFollower()
  peer.content = { revision: 21, full: true, changes: [entry(21)], position: { era: 0, revision: 30 } }
  await clock.run(follower.readFirst([PEER]))
  t.is(store.revision, 21)
  t.deepEqual(store.value, ['r-21'])
  t.deepEqual(store.position, { era: 0, revision: 30 })
})

test('a box that pulls only from a peer does not return to the older copy and adopts the next revision', async (t) => {
  const { peer, clock, store, follower } = createFollower()
  peer.content = { revision: 21, full: true, changes: [entry(21)] }
  follower.observeRevision(PEER, 21)
  await clock.advance(200)
  peer.content = { revision: 19, full: true, changes: [entry(19)] }
  follower.observeRevision(PEER, 19)
  await clock.run(follower.readFirst([PEER]))
  t.is(store.revision, 21)
  peer.content = { revision: 22, full: true, changes: [entry(22)] }
  follower.observeRevision(PEER, 22)
  await clock.advance(200)
  t.deepEqual(store.value, ['r-22'])
})

test('content of a box of an earlier release, numbered by the store\'s revision, does not block later revisions', async (t) => {
  const { platform, peer, clock, store, follower } = createFollower()
  peer.numbering = undefined
  peer.content = { revision: 100_000, full: true, changes: [entry(19)] }
  await clock.run(follower.readFirst([PEER]))
  t.is(store.revision, 19)
  platform.content = { revision: 21, full: true, changes: [entry(21)] }
  await clock.run(follower.confirm())
  t.is(store.revision, 21)
})

test('a poll continues at the feed position of content that came from a peer', async (t) => {
  const { platform, peer, clock, follower } = createFollower()
  peer.content = { revision: 21, full: true, changes: [entry(21)], position: { era: 1, revision: 23 } }
  await clock.run(follower.readFirst([PEER]))
  await clock.run(follower.confirm())
  t.deepEqual(platform.positions.at(-1), { era: 1, revision: 23 })
})

test('a rejected version does not block later ones', async (t) => {
  const { platform, peer, clock, store, follower } = createFollower()
  platform.content = { revision: 11, full: true, changes: [entry(11)] }
  await clock.run(follower.readFirst([]))
  platform.content = { revision: 13, full: true, changes: [entry(13)] }
  await clock.run(follower.confirm())
  t.is(store.rejected?.revision, 13)
  await clock.run(follower.confirm())
  t.is(store.revision, 11, 'rejected again')
  peer.content = { revision: 14, full: true, changes: [entry(14)] }
  follower.observeRevision(PEER, 14)
  await clock.advance(200)
  t.is(store.revision, 14)
  t.is(store.rejected, undefined)
})

test('a list of a later era is newer than any of an earlier one, and the ordered revision can be converted back', (t) => {
  const positions = [{ era: 0, revision: 0 }, { era: 0, revision: 2 ** 39 }, { era: 1, revision: 0 }, { era: 1, revision: 7 }, { era: 8191, revision: 1 }]
  const orders = positions.map(orderedRevisionOf)
  t.deepEqual(orders, orders.toSorted((a, b) => a - b))
  t.deepEqual(orders.map(storeRevisionOf), positions)
  t.true(orders.every(Number.isSafeInteger))
})

test('boxes of two eras that exchange changes converge on the complete list of the later era', (t) => {
  const upstream = (name: string, order: number, leaving = false) => ({ kind: 'upstream', name, revision: order, spec: { name, leaving } })
  const create = () => new ConfigStore((entries) => ({ value: entries.map(({ name, spec }) => `${name} ${JSON.stringify(spec)}`).toSorted(), problems: [] }))
  const [before, after] = [create(), create()]
  const old = (revision: number) => orderedRevisionOf({ era: 0, revision })
  const next = (revision: number) => orderedRevisionOf({ era: 1, revision })
  const first = { revision: old(90), full: true, changes: [upstream('a', old(10)), upstream('b', old(20))] }
  before.adopt(first, 0)
  after.adopt(first, 0)
  before.adopt({ revision: old(100), full: true, changes: [upstream('a', old(95), true), upstream('c', old(100))] }, 0)
  after.adopt({ revision: next(92), full: true, changes: [upstream('a', next(10)), upstream('b', next(20)), upstream('d', next(92))] }, 0)
  t.is(before.adopt(after.changesSince(before.revision, before.digest), before.revision), AdoptOutcome.Adopted)
  t.is(after.adopt(before.changesSince(after.revision, after.digest), after.revision), AdoptOutcome.NotNewer)
  t.deepEqual(before.value, after.value)
  after.adopt({ revision: next(93), full: true, changes: [upstream('a', next(93), true), upstream('b', next(20)), upstream('d', next(92))] }, 0)
  t.is(before.adopt(after.changesSince(before.revision, before.digest), before.revision), AdoptOutcome.Adopted)
  t.deepEqual(before.value, after.value)
  t.is(before.digest, after.digest)
})
