import { ConfigFollower, ConfigStore, PlatformReader, type RevisionedContent } from '@reelspan/config.store'
import { type TaskErrorListener } from '@reelspan/core.env'
import { Collection, MessageType, PeerLink, type PeerMessage, RevisionNumbering } from '@reelspan/core.messages'
import { SeededRandom, VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

/** Answers every read immediately, whatever wait it requests. */
class NonWaitingPlatform extends PlatformReader {
  reads = 0
  outage = false
  content: RevisionedContent = { revision: 1, full: true, changes: [] }

  get lastAnswerMs (): number {
    return 0
  }

  async read (): Promise<RevisionedContent> {
    this.reads++
    if (this.outage) throw new Error('the platform is down')
    return this.content
  }
}

interface FaultOptions {
  check?: () => never
  onTaskError?: TaskErrorListener
}

function createFollower (platform: PlatformReader, isWatcher = () => true, link = {} as PeerLink, { check, onTaskError }: FaultOptions = {}) {
  const clock = new VirtualClock()
  const store = new ConfigStore((entries, revision) => (revision > 0 && check?.()) || { value: entries, problems: [] })
  const follower = new ConfigFollower({
    clock,
    random: new SeededRandom(1),
    platform,
    link,
    store,
    onTaskError,
    collection: Collection.Declarations,
    isWatcher,
    watchWaitMs: 20_000,
    backstopPollMs: 10_000,
    peerTimeoutMs: 100,
    longestBackoffMs: 5000,
  })
  return { clock, store, follower }
}

test('a platform that answers watches without waiting is not polled in a tight loop', async (t) => {
  const platform = new NonWaitingPlatform()
  const { clock, store, follower } = createFollower(platform)
  follower.start()
  await clock.advance(60_000)
  t.is(store.revision, 1)
  t.true(platform.reads < 60, `${platform.reads} reads in a minute`)
  platform.content = { revision: 2, full: false, changes: [] }
  await clock.advance(10_000)
  t.is(store.revision, 2)
  await clock.run(follower.stop())
})

test('a box that becomes a watcher reads from the platform immediately', async (t) => {
  const role = { watcher: false }
  const platform = new NonWaitingPlatform()
  const { clock, follower } = createFollower(platform, () => role.watcher)
  follower.start()
  await clock.advance(4000)
  t.is(platform.reads, 0)
  role.watcher = true
  await clock.advance(600)
  t.true(platform.reads > 0)
  await clock.run(follower.stop())
})

test('during the start of a box, a platform that has answered is not read again, and one that has not is', async (t) => {
  const platform = new NonWaitingPlatform()
  const { clock, store, follower } = createFollower(platform, () => true, new PeersWithOneUnresponsive('none'))
  platform.outage = true
  await clock.run(follower.readFirst([]))
  t.is(store.revision, 0)
  platform.outage = false
  await clock.run(follower.readFirst([]))
  t.deepEqual([store.revision, platform.reads], [1, 2])
  await clock.run(follower.readFirst(['10.0.0.2:1']))
  t.deepEqual([store.revision, platform.reads], [7, 2], 'peers are still asked')
})

test('an unexpected error while validating the platform\'s content is not treated as an unreachable platform', async (t) => {
  const fault = new TypeError('x is not a function')
  const errors: unknown[] = []
  const { clock, follower } = createFollower(new NonWaitingPlatform(), () => true, {} as PeerLink, {
    check: () => { throw fault },
    onTaskError: (error) => { errors.push(error) },
  })
  follower.start()
  await clock.advance(100)
  t.deepEqual(errors, [fault])
  await clock.run(follower.stop())
})

/** Peers that have revision 7, except for one that never answers. */
class PeersWithOneUnresponsive extends PeerLink {
  readonly asked: string[] = []
  readonly #unresponsive: string

  constructor (unresponsive: string) {
    super()
    this.#unresponsive = unresponsive
  }

  serve (): void {}

  async close (): Promise<void> {}

  async call (address: string): Promise<PeerMessage> {
    this.asked.push(address)
    if (address === this.#unresponsive) return new Promise(() => {})
    return { type: MessageType.ConfigContent, numbering: RevisionNumbering.ByVersionAndEra, revision: 7, full: true, changes: [] }
  }

  stream (): AsyncIterable<PeerMessage> {
    throw new Error('not used')
  }
}

test('a box that receives changes with a digest mismatch requests the whole content', async (t) => {
  const asked: PeerMessage[] = []
  class PeerWithOtherChanges extends PeersWithOneUnresponsive {
    override async call (_: string, question?: PeerMessage): Promise<PeerMessage> {
      if (question) asked.push(question)
      const changes = [{ kind: 'Thing', name: 'a', revision: 7, spec: {} }]
      return asked.length === 1
        ? { type: MessageType.ConfigContent, numbering: RevisionNumbering.ByVersionAndEra, revision: 7, full: false, changes: [], digest: 'of something else' }
        : { type: MessageType.ConfigContent, numbering: RevisionNumbering.ByVersionAndEra, revision: 7, full: true, changes }
    }
  }
  const { clock, store, follower } = createFollower(new NonWaitingPlatform(), () => false, new PeerWithOtherChanges(''))
  store.adopt({ revision: 6, full: true, changes: [{ kind: 'Thing', name: 'b', revision: 6, spec: {} }] }, 0)
  const { digest } = store
  follower.observeRevision('10.0.0.2:1', 7)
  await clock.advance(400)
  t.deepEqual(asked.map((question) => question.type === MessageType.ConfigPull && [question.sinceRevision, question.digest]), [[6, digest], [0, undefined]])
  t.deepEqual((store.value as { name: string }[]).map(({ name }) => name), ['a'])
  await clock.run(follower.stop())
})

test('a peer that does not answer does not delay pulls from other peers', async (t) => {
  const link = new PeersWithOneUnresponsive('10.0.0.1:1')
  const { clock, store, follower } = createFollower(new NonWaitingPlatform(), () => false, link)
  follower.observeRevision('10.0.0.1:1', 7)
  await clock.advance(150)
  follower.observeRevision('10.0.0.2:1', 7)
  await clock.advance(400)
  t.is(store.revision, 7)
  follower.observeRevision('10.0.0.2:1', 7)
  await clock.advance(1000)
  t.deepEqual(link.asked, ['10.0.0.1:1', '10.0.0.2:1'], 'nothing is requested twice')
  await clock.run(follower.stop())
})
