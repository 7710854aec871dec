import { UpstreamKind } from '@reelspan/config.fleet'
import { Verdict } from '@reelspan/core.error'
import { type FakeFleet } from '@reelspan/utils.fake-fleet'
import { LinkFault } from '@reelspan/utils.fakes'
import { LogEvent } from '@reelspan/telemetry.log'
import test, { type ExecutionContext } from 'ava'
import { startFleet } from './__utils__/crashingRequests.js'
import { load, type Outcome } from './__utils__/limitedUpstreams.js'

const KINDS = ['status', 'once', 'draft', 'reply']
/** Requests per second of each kind, at all boxes together. */
const PER_SECOND = 12
const CUT_SECONDS = 6
/** A box must know this long after a cut began, or ended, that it did. */
const DETECTION_MS = 1000
const MIN_SHARE_OF_OTHERS = 0.9
const MIN_OTHERS = 0.97
const REFUSAL_BOUND_MS = 50
const EVENTS = Array.from({ length: 20 }, (_, i) => `id: ${i}\ndata: ${i}\n\n`).join('')

async function loadAll (fleet: FakeFleet, name: string, seconds: number): Promise<Outcome[]> {
  const outcomes = await Promise.all(KINDS.map((kind) => load(fleet, { target: `/${kind}/`, perSecond: PER_SECOND, seconds, name: `${name}-${kind}` })))
  return outcomes.flat()
}

function servedShare (outcomes: readonly Outcome[]): number {
  return outcomes.filter(({ caller }) => caller.complete).length / outcomes.length
}

/** Targets of requests that may run once and reached upstreams more often. */
function repeated ({ relayedUpstreams }: FakeFleet): string[] {
  const runs = relayedUpstreams.arrivals.filter(({ prefill, target }) => !prefill && (target.startsWith('/once/') || target.startsWith('/draft/'))).map(({ id }) => id)
  return runs.filter((id, i) => runs.indexOf(id) !== i)
}

/** Requests whose complete answers miss or repeat an event. */
function damaged (outcomes: readonly Outcome[]): string[] {
  return outcomes.filter(({ caller }) => caller.complete && caller.body !== EVENTS).map(({ id }) => id)
}

/** Lines of an event in the logs of all boxes. */
function linesOf (fleet: FakeFleet, event: LogEvent) {
  return fleet.boxes.flatMap(({ name, log }) => log.entries.filter((entry) => entry.event === event).map(({ fields }) => ({ ...fields, box: name })))
}

/** The scheduling box and some others. */
function chooseBoxes (fleet: FakeFleet, count: number): string[] {
  const scheduler = fleet.schedulerBox().name
  const others = fleet.liveBoxes().map(({ name }) => name).filter((name) => name !== scheduler)
  return [scheduler, ...others].slice(0, count)
}

async function loadDuringCut (t: ExecutionContext, fleet: FakeFleet, cut: readonly string[], fault: LinkFault, kind?: UpstreamKind): Promise<{ atCut: Outcome[], atOthers: Outcome[] }> {
  await loadAll(fleet, 'before', 2)
  fleet.cutFromUpstreams(cut, fault, kind)
  const cutAtMs = fleet.clock.nowMs()
  const outcomes = await loadAll(fleet, 'during', CUT_SECONDS)
  const atCut = outcomes.filter(({ box, sentAtMs }) => cut.includes(box) && sentAtMs >= cutAtMs + DETECTION_MS)
  const atOthers = outcomes.filter(({ box }) => !cut.includes(box))
  const unserved = atOthers.filter(({ caller }) => !caller.complete).map(({ id, box, sentAtMs, heldMs, caller: { refused } }) => `${id} at ${box}, ${Math.round(sentAtMs - cutAtMs)} ms, held ${Math.round(heldMs)}: ${refused?.code} ${refused?.message}`)
  if (unserved.length > 0) t.log(unserved)
  t.log(`${cut.length} boxes cut off: ${servedShare(atCut).toFixed(3)} of ${atCut.length} served there, ${servedShare(atOthers).toFixed(3)} of ${atOthers.length} at the others`)
  return { atCut, atOthers }
}

for (const fault of Object.values(LinkFault)) {
  test(`callers of boxes that lose their paths to all upstreams are served like those of the others (links: ${fault})`, async (t) => {
    for (const count of [1, 5, 7]) {
      const fleet = await startFleet()
      const cut = chooseBoxes(fleet, count)
      const { atCut, atOthers } = await loadDuringCut(t, fleet, cut, fault)
      fleet.reconnectToUpstreams(cut)
      await fleet.clock.advance(2 * DETECTION_MS)
      const after = await loadAll(fleet, 'after', 2)
      t.true(servedShare(atOthers) >= MIN_OTHERS, `${count} cut off, at the others`)
      t.true(servedShare(atCut) >= MIN_SHARE_OF_OTHERS * servedShare(atOthers), `${count} cut off, there`)
      t.true(servedShare(after) >= MIN_OTHERS, `${count} cut off, afterwards`)
      t.deepEqual(repeated(fleet), [])
      t.deepEqual(damaged([...atCut, ...atOthers, ...after]), [])
      t.deepEqual(linesOf(fleet, LogEvent.QuarantineChanged), [])
      await fleet.stop()
    }
  })
}

for (const fault of [LinkFault.Blocked, LinkFault.Reset]) {
  test(`requests are refused at once, as not run, while no box reaches an upstream (links: ${fault})`, async (t) => {
    const fleet = await startFleet()
    const boxes = fleet.boxes.map(({ name }) => name)
    const { atCut } = await loadDuringCut(t, fleet, boxes, fault)
    atCut.forEach(({ caller: { refused }, heldMs, id }) => {
      t.is(refused?.verdict, Verdict.NotRun, id)
      t.true((refused?.retryAfterMs ?? 0) > 0, id)
      t.true(heldMs <= REFUSAL_BOUND_MS, `${id}: ${heldMs}`)
    })
    fleet.reconnectToUpstreams(boxes)
    await fleet.clock.advance(2 * DETECTION_MS)
    t.true(servedShare(await loadAll(fleet, 'after', 2)) >= MIN_OTHERS)
    await fleet.stop()
  })
}

test('callers are served while a box that schedules loses its paths to the engines alone', async (t) => {
  const fleet = await startFleet()
  const { atCut, atOthers } = await loadDuringCut(t, fleet, chooseBoxes(fleet, 1), LinkFault.Reset, UpstreamKind.Engine)
  t.true(servedShare(atOthers) >= MIN_OTHERS, 'at the others')
  t.true(servedShare(atCut) >= MIN_SHARE_OF_OTHERS * servedShare(atOthers), 'at the box that is cut off')
  await fleet.stop()
})

for (const kind of Object.values(UpstreamKind)) {
  test(`callers are served while most boxes lose their paths to all upstreams of one kind (${kind})`, async (t) => {
    for (const fault of Object.values(LinkFault)) {
      const fleet = await startFleet()
      const { atCut, atOthers } = await loadDuringCut(t, fleet, chooseBoxes(fleet, 5), fault, kind)
      t.true(servedShare(atOthers) >= MIN_OTHERS, `${fault}, at the others`)
      t.true(servedShare(atCut) >= MIN_SHARE_OF_OTHERS * servedShare(atOthers), `${fault}, at the boxes that are cut off`)
      t.deepEqual(repeated(fleet), [])
      t.deepEqual(damaged([...atCut, ...atOthers]), [])
      await fleet.stop()
    }
  })
}

test('open connections are used while no box can open new ones', async (t) => {
  const fleet = await startFleet()
  const { atCut } = await loadDuringCut(t, fleet, fleet.boxes.map(({ name }) => name), LinkFault.RefusesNew)
  t.true(servedShare(atCut) >= 0.6)
  await fleet.stop()
})

for (const fault of Object.values(LinkFault)) {
  test(`boxes that reach all engines do not avoid any for what boxes without paths report (links: ${fault})`, async (t) => {
    const fleet = await startFleet()
    const cut = chooseBoxes(fleet, 6).slice(1)
    const scheduler = fleet.schedulerBox().name
    const { atOthers } = await loadDuringCut(t, fleet, cut, fault)
    const avoided = linesOf(fleet, LogEvent.UpstreamSuspected).filter(({ box }) => !cut.includes(box))
    t.deepEqual(avoided, [])
    t.deepEqual(linesOf(fleet, LogEvent.EngineUnresponsive), [])
    t.deepEqual(linesOf(fleet, LogEvent.SchedulerTaken).filter(({ box }) => cut.includes(box)).map(({ box }) => box).filter((box) => box === scheduler), [])
    t.is(servedShare(atOthers), 1)
    await fleet.stop()
  })
}

test('an engine is not avoided for a connection that failed right before its box knew of the lost paths', async (t) => {
  const fleet = await startFleet({ seed: 6 })
  const cut = chooseBoxes(fleet, 6).slice(1)
  await loadDuringCut(t, fleet, cut, LinkFault.RefusesNew)
  t.deepEqual(linesOf(fleet, LogEvent.UpstreamSuspected).filter(({ box }) => !cut.includes(box)), [])
  await fleet.stop()
})

test('an engine that is really down is avoided as soon as before, by its scheduler and by all boxes', async (t) => {
  const fleet = await startFleet()
  await loadAll(fleet, 'before', 1)
  fleet.killEngine('decode-1')
  fleet.relayedUpstreams.abortRuns(fleet.address('decode-1'))
  const killedAtMs = fleet.clock.nowMs()
  const outcomes = await loadAll(fleet, 'after', 3)
  t.deepEqual(linesOf(fleet, LogEvent.UpstreamPathsLost), [])
  t.true(servedShare(outcomes) >= MIN_OTHERS, `${servedShare(outcomes)}`)
  const late = fleet.relayedUpstreams.arrivals.filter(({ upstream, atMs }) => upstream === 'decode-1' && atMs > killedAtMs + DETECTION_MS)
  t.deepEqual(late, [])
  await fleet.stop()
})

test('callers are served while the links of boxes to all upstreams flap', async (t) => {
  const fleet = await startFleet()
  const cut = chooseBoxes(fleet, 4)
  const flapping = (async () => {
    for (let i = 0; i < 6; i++) {
      fleet.cutFromUpstreams(cut, LinkFault.Reset)
      await fleet.clock.sleep(700)
      fleet.reconnectToUpstreams(cut)
      await fleet.clock.sleep(500)
    }
  })()
  const outcomes = await loadAll(fleet, 'flapping', 7)
  await fleet.clock.run(flapping)
  const atCut = outcomes.filter(({ box }) => cut.includes(box))
  const atOthers = outcomes.filter(({ box }) => !cut.includes(box))
  t.log({ atCut: servedShare(atCut), atOthers: servedShare(atOthers), losses: linesOf(fleet, LogEvent.UpstreamPathsLost).length })
  t.true(servedShare(atOthers) >= MIN_OTHERS)
  t.true(servedShare(atCut) >= MIN_SHARE_OF_OTHERS * servedShare(atOthers))
  t.deepEqual(repeated(fleet), [])
  t.deepEqual(damaged(outcomes), [])
  await fleet.stop()
})

test('a box that loses its paths again while it asks for reports stays known as without paths', async (t) => {
  const fleet = await startFleet()
  const boxes = fleet.boxes.map(({ name }) => name)
  const scheduler = fleet.schedulerBox().name
  fleet.cutFromUpstreams(boxes, LinkFault.Blocked)
  const sending = loadAll(fleet, 'during', 4)
  await fleet.clock.advance(2 * DETECTION_MS)
  fleet.reconnectToUpstreams(boxes)
  const hasRegained = () => linesOf(fleet, LogEvent.UpstreamPathsRegained).some(({ box }) => box === scheduler)
  for (let i = 0; i < DETECTION_MS && !hasRegained(); i++) await fleet.clock.advance(1)
  t.true(hasRegained())
  fleet.cutFromUpstreams([scheduler], LinkFault.Blocked)
  await fleet.clock.advance(DETECTION_MS)
  const { upstreamPaths, self } = fleet.box(scheduler).box.describe()
  t.true(upstreamPaths.lost)
  t.true(self.upstreamsUnreachable)
  await fleet.clock.run(sending)
  await fleet.stop()
})

test('a planned stop of a box without paths, or of the boxes that run its requests, interrupts no request', async (t) => {
  const fleet = await startFleet()
  const cut = chooseBoxes(fleet, 4)
  const [stoppingWithoutPaths] = cut
  const stoppingWithPaths = fleet.liveBoxes().map(({ name }) => name).filter((name) => !cut.includes(name)).slice(0, 2)
  fleet.cutFromUpstreams(cut, LinkFault.Reset)
  await fleet.clock.advance(DETECTION_MS)
  const sending = loadAll(fleet, 'during', 6)
  await fleet.clock.advance(300)
  const stops = [stoppingWithoutPaths, ...stoppingWithPaths].map((name) => fleet.box(name).box.drain())
  const outcomes = await fleet.clock.run(sending)
  await fleet.clock.run(Promise.all(stops))
  const interrupted = outcomes.filter(({ caller }) => !caller.complete && caller.refused?.verdict !== Verdict.NotRun)
  t.deepEqual(interrupted.map(({ id, box, caller }) => ({ id, box, refused: caller.refused })), [])
  t.deepEqual(repeated(fleet), [])
  await fleet.stop()
})

test('88 boxes serve the callers of a whole availability zone that loses its paths, with the schedulers in it', async (t) => {
  const fleet = await startFleet({ boxCount: 88 })
  const cut = fleet.boxes.filter(({ availabilityZone }) => availabilityZone === fleet.schedulerBox().availabilityZone).map(({ name }) => name)
  const { atCut, atOthers } = await loadDuringCut(t, fleet, cut, LinkFault.Blocked)
  t.true(servedShare(atOthers) >= MIN_OTHERS, 'at the others')
  t.true(servedShare(atCut) >= MIN_SHARE_OF_OTHERS * servedShare(atOthers), 'at the boxes that are cut off')
  await fleet.stop()
})

test('a stream that an engine breaks off inside an event does not reach the caller of a box without paths as complete', async (t) => {
  const fleet = await startFleet()
  const cut = chooseBoxes(fleet, 3)
  // The first run of each stream is broken off.
  const brokenOff = new Set<string>()
  fleet.relayedUpstreams.breaksOffInsideEvent = ({ id }) => !brokenOff.has(id) && !!brokenOff.add(id)
  await loadAll(fleet, 'before', 1)
  fleet.cutFromUpstreams(cut, LinkFault.Reset)
  await fleet.clock.advance(DETECTION_MS)
  const outcomes = await loadAll(fleet, 'during', 2)
  const atCut = outcomes.filter(({ box, id }) => cut.includes(box) && brokenOff.has(id))
  t.true(atCut.length >= 10)
  t.deepEqual(damaged(outcomes), [])
  t.true(atCut.some(({ caller }) => caller.wasAborted))
  t.true(atCut.some(({ caller }) => caller.complete))
})
