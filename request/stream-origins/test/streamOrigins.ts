import { FleetList, type ListedUpstream, UpstreamKind } from '@reelspan/config.fleet'
import { type Member, MemberHealth, MessageType, type StreamOrigin } from '@reelspan/core.messages'
import { type OriginQuery, OriginRecords, OriginSource, RouteTargets, StreamOrigins, VersionHistory } from '@reelspan/request.stream-origins'
import { Metrics } from '@reelspan/telemetry.metrics'
import { FakeNetwork, LinkFault, SeededRandom, VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

const MODEL = 'm'
const KEEP_MS = 15_000
/** Clients whose deadlines nobody has seen may wait this long. */
const ASSUMED_DEADLINE_MS = 60_000
const QUERY = { attempt: 'a1', model: MODEL, keepMs: KEEP_MS }
const ORIGIN: StreamOrigin = { attempt: 'a1', model: MODEL, version: 'v1', keepMs: KEEP_MS }
const ROUTED = { host: 'drafts.example', path: '/reply/1' }
/** Longer than beginnings are collected and on their way. */
const TOLD_MS = 100

function fleetOf (versions: readonly string[]): FleetList {
  return new FleetList([], versions.map((softwareVersion, i): ListedUpstream => ({ name: `d${i}`, kind: UpstreamKind.Engine, address: `10.1.0.${i}:1`, availabilityZone: 'a', pool: 'd', leaving: false, softwareVersion })))
}

function memberOf (i: number, zone: string): Member {
  return { name: `box-${i}`, availabilityZone: zone, peerAddress: `10.0.0.${i}:1`, callerAddress: '', incarnation: `incarnation-${i}`, version: 0, health: MemberHealth.Alive, leaving: false, knowsStreamOrigins: true }
}

interface BoxesOptions {
  count?: number
  versions?: readonly string[]
  /** Time since the boxes got their first list. */
  coveredMs?: number
  /** The model to which the route of the stream leads. */
  target?: string
  /** Versions of the engines that have generated something for the stream. */
  generatedAt?: string[]
  /** Whether an engine that accepts connections did not answer. */
  isIncomplete?: boolean
}

/** Boxes in three zones on a fake network, each with an own list. */
async function createBoxes ({ count = 8, versions = ['v1', 'v2'], coveredMs = 0, target = MODEL, generatedAt, isIncomplete = false }: BoxesOptions = {}) {
  const clock = new VirtualClock()
  const network = new FakeNetwork({ clock, random: new SeededRandom(1) })
  const members = Array.from({ length: count }, (_, i) => memberOf(i, 'abc'[i % 3]))
  const boxes = members.map((member) => {
    const state = { fleet: fleetOf(versions), target, sinceContactMs: 0 as number | undefined, told: 0, asked: 0 }
    const { link } = network.addNode(member.peerAddress)
    const origins = new StreamOrigins({
      clock,
      link,
      metrics: new Metrics(),
      selfIncarnation: () => member.incarnation,
      members: () => members,
      takingWork: () => members,
      fleet: () => state.fleet,
      poolsOfModels: () => new Map([[MODEL, ['p', 'd']]]),
      routes: () => [{ host: ROUTED.host, pathPrefix: '/reply/', targets: [state.target] }],
      sinceContactMs: () => state.sinceContactMs,
      witnesses: generatedAt && { find: async () => ({ versions: generatedAt, isContested: false, witnesses: ['d0'], unanswered: [], isIncomplete, asked: 1 }) },
    })
    link.serve({
      onCall: async (message) => {
        if (message.type === MessageType.StreamOriginPull) {
          state.asked++
          return origins.answer(message)
        }
        if (message.type === MessageType.StreamOriginsTell) {
          state.told++
          origins.receive(message.origins)
        }
        return { type: MessageType.Done }
      },
      onStream: async function * () {},
    })
    origins.onFleetChanged()
    origins.onDeclarationsChanged()
    const list = (listed: readonly string[]) => {
      state.fleet = fleetOf(listed)
      origins.onFleetChanged()
    }
    const move = (to: string) => {
      state.target = to
      origins.onDeclarationsChanged()
    }
    return { state, origins, address: member.peerAddress, list, move }
  })
  await clock.advance(coveredMs)
  const find = (box: number, query: OriginQuery = QUERY) => clock.run(boxes[box].origins.find(query, new AbortController().signal))
  return { clock, network, boxes, find }
}

test('another box finds out which version began a stream, also after the box that served it has gone', async (t) => {
  const { clock, network, boxes, find } = await createBoxes()
  boxes[0].origins.record(ORIGIN)
  await clock.advance(TOLD_MS)
  network.kill(boxes[0].address)
  for (const box of [1, 2, 3, 4, 5, 6, 7]) t.like(await find(box), { version: 'v1' }, `at box ${box}`)
})

test('a box that cannot reach the others does not conclude anything from its own list', async (t) => {
  const { clock, network, boxes, find } = await createBoxes({ versions: ['v1'], coveredMs: 2 * KEEP_MS })
  boxes.slice(1).forEach(({ address }) => network.blockBoth(boxes[0].address, address))
  boxes[1].list(['v1', 'v2'])
  boxes[1].origins.record({ ...ORIGIN, version: 'v2' })
  await clock.advance(TOLD_MS)
  const found = await find(0)
  t.false('version' in found)
  t.true('retryAfterMs' in found && found.retryAfterMs !== undefined)
})

test('a box whose list is not confirmed does not conclude anything from it', async (t) => {
  const { boxes, find } = await createBoxes({ versions: ['v1'], coveredMs: 2 * KEEP_MS })
  boxes[0].state.sinceContactMs = 60_000
  t.false('version' in await find(0))
})

test('with one version for as long as clients return, streams whose box has gone go on, and nothing was sent when they began', async (t) => {
  const { clock, network, boxes, find } = await createBoxes({ versions: ['v1', 'v1'], coveredMs: ASSUMED_DEADLINE_MS })
  boxes[0].origins.record(ORIGIN)
  await clock.advance(TOLD_MS)
  t.deepEqual(boxes.map(({ state: { told } }) => told), boxes.map(() => 0))
  network.kill(boxes[0].address)
  t.like(await find(1), { version: 'v1', source: OriginSource.List })
})

test('boxes that have just started do not take the only version that they know for the one that began a stream', async (t) => {
  const { network, boxes, find } = await createBoxes({ versions: ['v2'], coveredMs: 1000 })
  network.kill(boxes[0].address)
  const found = await find(1)
  t.false('version' in found)
})

test('a version that has left the list counts for as long as clients return', async (t) => {
  const { clock, boxes, find } = await createBoxes({ versions: ['v1', 'v2'], coveredMs: 2 * KEEP_MS })
  boxes.forEach(({ list }) => list(['v2']))
  t.false('version' in await find(0))
  await clock.advance(KEEP_MS + 1000)
  t.like(await find(0), { version: 'v2', source: OriginSource.List })
})

test('others are told of the streams that began before the second version was listed', async (t) => {
  const { clock, network, boxes, find } = await createBoxes({ versions: ['v1'] })
  boxes[0].origins.record(ORIGIN)
  await clock.advance(1000)
  boxes.forEach(({ list }) => list(['v1', 'v2']))
  await clock.advance(TOLD_MS)
  network.kill(boxes[0].address)
  t.like(await find(3), { version: 'v1' })
})

test('a stream that nobody knows is refused without a delay, one of which some were not asked with one', async (t) => {
  const { network, boxes, find } = await createBoxes()
  t.like(await find(0), { retryAfterMs: undefined })
  network.blockBoth(boxes[0].address, boxes[1].address)
  const found = await find(0)
  t.true('retryAfterMs' in found && (found.retryAfterMs ?? 0) > 0)
})

test('a stream that nobody knows is refused with a delay if an engine may still tell', async (t) => {
  const { find } = await createBoxes({ generatedAt: [], isIncomplete: true })
  t.like(await find(0), { retryAfterMs: 500 })
  t.like(await find(0, { ...QUERY, remainingMs: 400 }), { retryAfterMs: undefined })
})

test('boxes that differ on a version are not believed', async (t) => {
  const { boxes, find } = await createBoxes()
  boxes.slice(1).forEach(({ origins }, i) => origins.receive([{ ...ORIGIN, version: i % 2 === 0 ? 'v1' : 'v2' }]))
  const found = await find(0)
  t.false('version' in found)
})

test('an unresponsive box delays a stream that is taken up by no more than two time-outs', async (t) => {
  const { clock, network, boxes, find } = await createBoxes()
  boxes.slice(1, 4).forEach(({ address }) => network.failBoth(boxes[0].address, address, LinkFault.Blocked))
  const fromMs = clock.nowMs()
  await find(0)
  t.true(clock.nowMs() - fromMs <= 250, `${clock.nowMs() - fromMs} ms`)
})

test('origins are kept for as long as clients return, the version recorded first stands, and their number is bounded', async (t) => {
  const clock = new VirtualClock()
  const records = new OriginRecords({ clock })
  records.add(ORIGIN)
  records.add({ ...ORIGIN, version: 'v2' })
  t.is(records.versionOf('a1', MODEL), 'v1')
  t.is(records.versionOf('a1', 'other'), undefined)
  await clock.advance(KEEP_MS + 1)
  t.is(records.versionOf('a1', MODEL), undefined)
  records.add({ ...ORIGIN, version: 'v2' })
  t.is(records.versionOf('a1', MODEL), 'v2')
  Array.from({ length: 15_000 }, (_, i) => records.add({ ...ORIGIN, attempt: `b${i}` }))
  t.is(records.size, 10_000)
  t.is(records.versionOf('b14999', MODEL), 'v1')
})

test('an entry that comes back with another version counts with both', async (t) => {
  const clock = new VirtualClock()
  const history = new VersionHistory({ clock })
  t.is(history.coveredMs, 0)
  history.observe(fleetOf(['v1']))
  history.observe(fleetOf(['v2']))
  t.deepEqual(history.versions(['d'], KEEP_MS).sort(), ['v1', 'v2'])
  await clock.advance(KEEP_MS + 1)
  t.deepEqual(history.versions(['d'], KEEP_MS), ['v2'])
})

test('origins are sent to other boxes while the list does not cover the longest deadline', async (t) => {
  const { clock, network, boxes, find } = await createBoxes({ versions: ['v1'], coveredMs: 1000 })
  boxes[0].origins.record(ORIGIN)
  await clock.advance(TOLD_MS)
  network.kill(boxes[0].address)
  for (const box of [1, 2, 3, 4, 5, 6, 7]) t.like(await find(box), { version: 'v1' }, `at box ${box}`)
})

test('a client that has most of its deadline left took its stream up soon, so that a short list is enough', async (t) => {
  const { find } = await createBoxes({ versions: ['v1'], coveredMs: 2000 })
  t.false('version' in await find(1, { ...QUERY, remainingMs: 12_000 }))
  t.like(await find(1, { ...QUERY, remainingMs: 14_000 }), { version: 'v1', source: OriginSource.List })
})

// Guards against streams of two versions where a client waits longer than the boxes that it comes back to have seen.
test('nothing is concluded for a client that waits longer than any that was seen', async (t) => {
  const { boxes, find } = await createBoxes({ versions: ['v2'], coveredMs: 2 * KEEP_MS })
  t.false('version' in await find(1, { ...QUERY, remainingMs: KEEP_MS + 1 }))
  boxes.slice(2).forEach(({ origins }) => origins.deadlines.observe(MODEL, 4 * KEEP_MS))
  t.false('version' in await find(1), 'other boxes have seen a longer deadline')
  t.is(boxes[1].origins.deadlines.longestMs(MODEL), 4 * KEEP_MS)
})

// Guards against streams that are joined from two models, when their route leads to another one than before.
test('a stream that began at another model does not go on at the only version of this one', async (t) => {
  const { boxes, find } = await createBoxes({ versions: ['v1'], coveredMs: 2 * KEEP_MS })
  boxes[3].origins.record({ ...ORIGIN, model: 'm-before' })
  t.like(await find(0), { reason: 'the stream did not begin at the model m', retryAfterMs: undefined })
  t.false('version' in await find(0, { ...QUERY, attempt: 'a2', mayBeOfOtherModel: true }))
})

test('a client gets no retry delay beyond its deadline, nor one after which the list would prove no more', async (t) => {
  const { clock, network, boxes, find } = await createBoxes({ versions: ['v2'], coveredMs: 1000 })
  t.like(await find(1, { ...QUERY, remainingMs: 10_000 }), { retryAfterMs: undefined })
  await clock.advance(5000)
  t.false('version' in await find(1, { ...QUERY, remainingMs: 5000 }))
  const unbounded = await find(1)
  t.true('retryAfterMs' in unbounded && unbounded.retryAfterMs !== undefined)
  network.kill(boxes[0].address)
  t.like(await find(1, { ...QUERY, remainingMs: 400 }), { retryAfterMs: undefined })
  t.like(await find(1, { ...QUERY, remainingMs: 4000 }), { retryAfterMs: 500 })
})

// Guards against refusing streams whose engines still run them, when no box that knew their beginning is left.
test('what engines reported to run tells boxes that have just started which version began a stream', async (t) => {
  const { boxes, find } = await createBoxes({ versions: ['v1', 'v2'] })
  boxes[5].origins.observeRuns('d1', [{ requestId: 'a1', events: 2 }, { requestId: 'a2', events: 0 }])
  t.like(await find(1), { version: 'v2', source: OriginSource.Engines })
  t.false('version' in await find(1, { ...QUERY, attempt: 'a2' }), 'a run without an event may have begun elsewhere')
})

// Guards against losing the engines' evidence when the client is refused for another reason and retries.
test('a version that engines reported is recorded and sent to other boxes', async (t) => {
  const { clock, network, boxes, find } = await createBoxes({ versions: ['v1', 'v2'] })
  boxes[5].origins.observeRuns('d1', [{ requestId: 'a1', events: 2 }])
  t.like(await find(1), { source: OriginSource.Engines })
  await clock.advance(TOLD_MS)
  network.kill(boxes[5].address)
  network.kill(boxes[1].address)
  for (const box of [0, 2, 3, 4, 6, 7]) t.like(await find(box), { version: 'v2' }, `at box ${box}`)
})

test('an attempt that engines of two versions ran is not taken up', async (t) => {
  const { boxes, find } = await createBoxes({ versions: ['v1', 'v2'] })
  boxes[2].origins.observeRuns('d0', [{ requestId: 'a1', events: 2 }])
  boxes[5].origins.observeRuns('d1', [{ requestId: 'a1', events: 2 }])
  t.false('version' in await find(1))
})

// Guards against streams of two versions at a box that was out of step while engines of the second one joined: those that it lists may have run an earlier request of the session.
test('a box that cannot reach the others does not believe the engines that it lists', async (t) => {
  const { network, boxes, find } = await createBoxes({ versions: ['v1'], generatedAt: ['v1'] })
  boxes.slice(1).forEach(({ address, list }) => {
    network.blockBoth(boxes[0].address, address)
    list(['v1', 'v2'])
  })
  const found = await find(0)
  t.false('version' in found)
  t.true('retryAfterMs' in found && found.retryAfterMs !== undefined)
})

test('a box whose list lacks a version that others know does not believe the engines that it lists', async (t) => {
  const { boxes, find } = await createBoxes({ versions: ['v1'], generatedAt: ['v1'] })
  boxes.slice(1).forEach(({ list }) => list(['v1', 'v2']))
  t.false('version' in await find(0))
  t.like(await find(1), { version: 'v1', source: OriginSource.Engines })
})

test('a box whose list is not confirmed does not believe the engines that it lists', async (t) => {
  const { boxes, find } = await createBoxes({ generatedAt: ['v1'] })
  boxes[1].state.sinceContactMs = 60_000
  t.false('version' in await find(1))
  t.like(await find(0), { version: 'v1', source: OriginSource.Engines })
})

const CONTENT = 'Zm9vYmFyYmF6'
const UNNAMED = { content: CONTENT, model: MODEL, keepMs: KEEP_MS }

test('a stream whose client does not name the attempt is known by its content, also after the box that served it has gone', async (t) => {
  const { clock, network, boxes, find } = await createBoxes()
  boxes[0].origins.record({ ...ORIGIN, content: CONTENT })
  await clock.advance(TOLD_MS)
  network.kill(boxes[0].address)
  for (const box of [1, 2, 3, 4, 5, 6, 7]) t.like(await find(box, UNNAMED), { version: 'v1' }, `at box ${box}`)
  await clock.advance(KEEP_MS)
  t.false('version' in await find(1, UNNAMED))
})

// Guards against a stream that goes on at the version of an earlier request of its session, whose engine has gone.
test('a stream is not taken up while another one of the same content began at another version, whatever engines tell', async (t) => {
  const { clock, boxes, find } = await createBoxes({ generatedAt: ['v1'] })
  boxes[0].origins.record({ ...ORIGIN, content: CONTENT })
  await clock.advance(KEEP_MS / 2)
  boxes[1].origins.record({ ...ORIGIN, attempt: 'a2', version: 'v2', content: CONTENT })
  await clock.advance(TOLD_MS)
  for (const box of [0, 1, 2, 3, 4, 5, 6, 7]) t.false('version' in await find(box, UNNAMED), `at box ${box}`)
  t.like(await find(3), { version: 'v1' }, 'a named attempt')
  await clock.advance(KEEP_MS / 2)
  t.like(await find(3, UNNAMED), { version: 'v2' }, 'the earlier stream is no longer taken up')
})

test('a box that cannot reach the others does not go on with a stream by its content', async (t) => {
  const { network, boxes, find } = await createBoxes({ versions: ['v1'] })
  boxes[0].origins.record({ ...ORIGIN, content: CONTENT })
  t.like(await find(0, UNNAMED), { version: 'v1', source: OriginSource.Own })
  boxes.slice(1).forEach(({ address }) => network.blockBoth(boxes[0].address, address))
  t.false('version' in await find(0, UNNAMED))
})

// Guards against streams that are joined from two models, when their route was moved and only the box that served them knew it.
test('nothing is concluded from the list for a stream whose route led to another model lately, at this box or at another one', async (t) => {
  const { clock, boxes, find } = await createBoxes({ versions: ['v1'], coveredMs: 2 * KEEP_MS, target: 'm-before' })
  const query = { ...QUERY, routed: ROUTED }
  boxes.slice(0, 4).forEach(({ move }) => move(MODEL))
  for (const box of [0, 1, 2, 3, 4, 5, 6, 7]) t.false('version' in await find(box, query), `at box ${box}`)
  boxes.slice(4).forEach(({ move }) => move(MODEL))
  await clock.advance(KEEP_MS + 1)
  t.like(await find(0, query), { version: 'v1', source: OriginSource.List })
})

test('changes of other routes do not count, and too many changes count for all', async (t) => {
  const clock = new VirtualClock()
  const targets = new RouteTargets({ clock })
  const route = { host: ROUTED.host, pathPrefix: '/reply/', targets: [MODEL] }
  const others = (i: number) => [route, { host: ROUTED.host, pathPrefix: '/rep', targets: [`m${i}`] }, { host: 'other.example', pathPrefix: '/reply/1', targets: [`m${i}`] }]
  Array.from({ length: 60 }, (_, i) => targets.observe(others(i)))
  t.false(targets.mayHaveLedElsewhere(ROUTED, MODEL, KEEP_MS))
  Array.from({ length: 10 }, (_, i) => targets.observe(others(i)))
  t.true(targets.mayHaveLedElsewhere(ROUTED, MODEL, KEEP_MS))
  await clock.advance(KEEP_MS + 1)
  t.false(targets.mayHaveLedElsewhere(ROUTED, MODEL, KEEP_MS))
  targets.observe([...others(0), { ...route, pathPrefix: '/reply/1', targets: ['m-new'] }])
  t.true(targets.mayHaveLedElsewhere(ROUTED, MODEL, KEEP_MS), 'a longer prefix')
})
