import { ErrorCode, Verdict } from '@reelspan/core.error'
import { type RunEvent } from '@reelspan/core.messages'
import { hashOfPart, type RequestIdentity } from '@reelspan/request.identity'
import { MAX_UPSTREAM_EXITS_IF_AMBIGUOUS, PART_QUARANTINE_MS, Quarantine, RunHistory } from '@reelspan/request.quarantine'
import { Log, LogEvent, type LogFields } from '@reelspan/telemetry.log'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

const RAN_MS = 60
const INTERVAL_MS = 900
/** Clearances and runs of the last exit can have arrived by then. */
const SETTLED_MS = 1000
/** A box looks again whether an upstream has exited, and others hear of it. */
const LATE_REPORT_MS = 300

class RecordingLog extends Log {
  readonly lines: (LogFields & { event: LogEvent })[] = []

  info (event: LogEvent, fields: LogFields = {}): void {
    this.lines.push({ event, ...fields })
  }

  warn (event: LogEvent, fields: LogFields = {}): void {
    this.lines.push({ event, ...fields })
  }
}

function startQuarantine ({ clock = new VirtualClock(), mayTry = () => true, incarnation = 'a' }: { clock?: VirtualClock, mayTry?: (key: string, lapsedMs: number) => boolean, incarnation?: string } = {}) {
  const history = new RunHistory({ clock })
  const log = new RecordingLog()
  const announced: { event: RunEvent, atMs: number }[] = []
  const quarantine = new Quarantine({ clock, log, history, incarnation: () => incarnation, onEvent: (event) => announced.push({ event, atMs: clock.nowMs() }), mayTry })
  const exit = (identity: RequestIdentity, upstream: string, over: Partial<RunEvent> = {}) =>
    quarantine.recordUpstreamExit(identity, upstream, { ranMs: RAN_MS, ageMs: 0, writtenMs: 0, targetVersion: 'm@1', ...over })
  /** Adds what another box has announced. */
  const receive = (received: readonly RunEvent[]) => quarantine.onEventsAdded(received.filter((event) => history.add(event)))
  /** What this box has announced, with the ages that it has now. */
  const events = () => announced.map(({ event, atMs }) => ({ ...event, ageMs: event.ageMs + clock.nowMs() - atMs }))
  return { clock, history, log, events, quarantine, exit, receive }
}

let nextContent = 0

/** A request unlike any other. */
function requestWith (parts: readonly string[], over: Partial<RequestIdentity> = {}): RequestIdentity {
  return { content: `content-${nextContent++}`, caller: 'w', parts, ...over }
}

test('a request that a caller repeats is not quarantined for exits at which a crashing prompt part was', async (t) => {
  const { clock, quarantine, exit } = startQuarantine()
  const repeated = requestWith(['aa', 'b1'])
  for (let nth = 0; nth < 5; nth++) {
    exit(requestWith(['aa', 'cc']), `u${nth}`)
    if (nth > 1) exit(repeated, `u${nth}`, { ranMs: 300 })
    await clock.advance(INTERVAL_MS)
  }
  t.is(quarantine.refusalOf(() => repeated), undefined)
  t.truthy(quarantine.refusalOf(() => requestWith(['aa', 'cc'])))
})

test('a request that a caller repeats is not quarantined however many exits of a crashing prompt part it was at', async (t) => {
  const { clock, quarantine, exit } = startQuarantine()
  const repeated = requestWith(['aa', 'b1'])
  for (let nth = 0; nth <= MAX_UPSTREAM_EXITS_IF_AMBIGUOUS; nth++) {
    exit(requestWith(['aa', 'cc']), `u${nth}`)
    if (nth > 0) exit(repeated, `u${nth}`, { ranMs: 300 })
    await clock.advance(INTERVAL_MS)
  }
  t.is(quarantine.refusalOf(() => repeated), undefined)
})

// Guards against a quarantine of a request that ran beside a crashing prompt part at each of its exits, and at no other.
test('a request that was at all exits of a crashing prompt part is not quarantined before it is at one without the part', async (t) => {
  const { clock, quarantine, exit } = startQuarantine()
  const repeated = requestWith([])
  for (let nth = 0; nth < 3; nth++) {
    exit(requestWith(['aa', 'cc']), `u${nth}`)
    exit(repeated, `u${nth}`, { ranMs: 300 })
    await clock.advance(INTERVAL_MS)
  }
  t.is(quarantine.refusalOf(() => repeated), undefined)
  t.truthy(quarantine.refusalOf(() => requestWith(['aa', 'cc'])))
  exit(repeated, 'u3')
  await clock.advance(SETTLED_MS)
  t.truthy(quarantine.refusalOf(() => repeated))
})

// Guards against a quarantine in the time between the reports of two runs at the same exit.
test('a request beside a crashing prompt part is not quarantined while the run with the part at the last exit may not be known yet', async (t) => {
  for (const isReported of [true, false]) {
    const { clock, quarantine, exit } = startQuarantine()
    const repeated = requestWith([])
    for (let nth = 0; nth < 3; nth++) {
      if (nth < 2) exit(requestWith(['aa', 'cc']), `u${nth}`)
      exit(repeated, `u${nth}`, { ranMs: 300 })
      if (nth < 2) await clock.advance(INTERVAL_MS)
    }
    t.is(quarantine.refusalOf(() => repeated), undefined)
    await clock.advance(LATE_REPORT_MS)
    t.is(quarantine.refusalOf(() => repeated), undefined)
    if (isReported) exit(requestWith(['aa', 'cc']), 'u2', { ageMs: LATE_REPORT_MS })
    await clock.advance(SETTLED_MS)
    t.is(quarantine.refusalOf(() => repeated) === undefined, isReported)
  }
})

test('a request that crashes upstreams is quarantined after three exits, whatever parts it has', async (t) => {
  const { clock, quarantine, exit } = startQuarantine()
  const crashing = requestWith(['aa', 'cc'])
  for (let nth = 0; nth < 3; nth++) {
    exit(crashing, `u${nth}`)
    exit(requestWith(['aa']), `u${nth}`, { ranMs: 300 })
    await clock.advance(INTERVAL_MS)
  }
  t.truthy(quarantine.refusalOf(() => crashing))
})

test('calls that a proxy accepts for an upstream that has exited count as one exit, at whichever boxes', async (t) => {
  const { clock, quarantine, exit } = startQuarantine()
  const equal = requestWith([], { content: 'equal' })
  // The list shows only now that the upstream has gone, while each of the calls was interrupted at once.
  for (let nth = 0; nth < 6; nth++) exit(equal, 'u1', { ageMs: 6000 - 900 * nth, exitKnownAfterMs: 6000 - 900 * nth, ranMs: 5 })
  t.is(quarantine.refusalOf(() => equal), undefined)
  await clock.advance(INTERVAL_MS)
  exit(equal, 'u2')
  await clock.advance(INTERVAL_MS)
  t.is(quarantine.refusalOf(() => equal), undefined)
  exit(equal, 'u3')
  t.truthy(quarantine.refusalOf(() => equal))
})

const CRASHING = ['aa', 'cc']

/** Three exits with the crashing part, of requests of different callers, after the last of which clearances can have arrived. */
async function crashThree ({ clock, exit }: ReturnType<typeof startQuarantine>): Promise<void> {
  for (let nth = 0; nth < 3; nth++) {
    exit(requestWith(CRASHING, { caller: `w${nth}` }), `u${nth}`)
    await clock.advance(nth < 2 ? INTERVAL_MS : SETTLED_MS)
  }
}

test('requests that have all in common with those that crashed upstreams are refused as not run, those with less are not', async (t) => {
  const started = startQuarantine()
  await crashThree(started)
  const { quarantine } = started
  const refusal = quarantine.refusalOf(() => requestWith(['b1', ...CRASHING]))
  t.like(refusal, { code: ErrorCode.RequestQuarantined, verdict: Verdict.NotRun })
  t.is(refusal?.retryAfterMs, PART_QUARANTINE_MS - SETTLED_MS)
  t.is(quarantine.refusalOf(() => requestWith(['aa', 'b1'])), undefined)
  t.is(quarantine.refusalOf(() => requestWith(['cc'])), undefined, 'it may not be the one that crashes them')
  t.is(quarantine.refusalOf(() => requestWith([])), undefined)
  t.deepEqual(quarantine.countParts(), { suspected: 2, banned: 1, cleared: 0 })
})

test('a caller cannot get a part of others refused by sending it with content of its own', async (t) => {
  const { clock, quarantine, exit } = startQuarantine()
  for (let nth = 0; nth < 6; nth++) {
    exit(requestWith(['aa'], { caller: 'attacker' }), `u${nth}`)
    await clock.advance(INTERVAL_MS)
  }
  t.truthy(quarantine.refusalOf(() => requestWith(['aa'], { caller: 'attacker' })))
  t.is(quarantine.refusalOf(() => requestWith(['aa'], { caller: 'other' })), undefined)
})

test('a run of any box clears a part at all boxes, also if it was before the exits, and nothing is announced without an exit', async (t) => {
  const clock = new VirtualClock()
  const [one, other] = [startQuarantine({ clock, incarnation: 'a' }), startQuarantine({ clock, incarnation: 'b' })]
  const aa = hashOfPart('m', 'aa')
  other.quarantine.recordSound({ model: 'm', parts: ['aa'], targetVersion: 'm@1' }, Number.POSITIVE_INFINITY)
  t.deepEqual(other.events(), [])
  for (let nth = 0; nth < 3; nth++) {
    one.exit(requestWith([aa, 'cc'], { caller: `w${nth}` }), `u${nth}`)
    await clock.advance(INTERVAL_MS)
  }
  other.receive(one.events())
  t.is(other.events().length, 1)
  t.like(other.log.lines.find(({ event }) => event === LogEvent.PromptPartCleared), { partHash: aa, targetVersion: 'm@1' })
  t.is(one.quarantine.refusalOf(() => requestWith(['cc'])), undefined, 'aa may be the cause')
  one.receive(other.events())
  ;[one, other].forEach(({ quarantine }) => {
    t.truthy(quarantine.refusalOf(() => requestWith(['cc'])))
    t.is(quarantine.refusalOf(() => requestWith([aa])), undefined)
  })
  t.is(one.history.digest, other.history.digest)
})

test('boxes that clear a part of the same exit announce the same event', (t) => {
  const clock = new VirtualClock()
  const [first, second, third] = ['a', 'b', 'c'].map((incarnation) => startQuarantine({ clock, incarnation }))
  const sound = { model: 'm', parts: ['aa'], targetVersion: 'm@1' }
  ;[second, third].forEach(({ quarantine }) => quarantine.recordSound(sound, 250))
  first.exit(requestWith([hashOfPart('m', 'aa')]), 'u1')
  ;[second, third].forEach(({ receive }) => receive(first.events()))
  t.is(second.events().length, 1)
  t.deepEqual(second.events().map(({ id }) => id), third.events().map(({ id }) => id))
})

test('a part that crashed upstreams of one version is refused only where no other version serves the request', async (t) => {
  const started = startQuarantine()
  await crashThree(started)
  const request = () => requestWith(CRASHING)
  const { quarantine, clock, exit } = started
  t.truthy(quarantine.refusalOf(request, () => ['m@1']))
  t.is(quarantine.refusalOf(request, () => ['m@1', 'm@2']), undefined)
  t.deepEqual(quarantine.bannedVersions(request), ['m@1'])
  await clock.advance(INTERVAL_MS)
  exit(request(), 'u9', { targetVersion: 'm@2' })
  t.truthy(quarantine.refusalOf(request, () => ['m@1', 'm@2']))
  t.is(quarantine.refusalOf(request, () => ['m@3']), undefined)
})

test('after its quarantine one request at a time may try, at one box, and its outcome decides for all', async (t) => {
  for (const finishes of [true, false]) {
    const asked: number[] = []
    const trialBox = startQuarantine({ mayTry: (_key, lapsedMs) => { asked.push(lapsedMs); return true } })
    const { clock, quarantine, exit, history } = trialBox
    const otherBox = startQuarantine({ clock, mayTry: () => false, incarnation: 'b' })
    const cc = hashOfPart('m', 'cc')
    for (let nth = 0; nth < 3; nth++) {
      exit(requestWith([cc], { caller: `w${nth}` }), `u${nth}`)
      await clock.advance(INTERVAL_MS)
    }
    otherBox.receive(trialBox.events())
    await clock.advance(SETTLED_MS)
    const [tries, waits] = [requestWith([cc]), requestWith([cc])]
    t.truthy(quarantine.refusalOf(() => tries))
    t.deepEqual(asked, [])
    await clock.advance(PART_QUARANTINE_MS)
    t.truthy(otherBox.quarantine.refusalOf(() => waits))
    t.is(quarantine.refusalOf(() => tries), undefined)
    t.truthy(quarantine.refusalOf(() => waits))
    t.is(quarantine.refusalOf(() => tries), undefined, 'checked again before each send')
    const announcedBefore = trialBox.events().length
    if (finishes) quarantine.recordSound({ model: 'm', parts: ['cc'], targetVersion: 'm@1' }, Number.POSITIVE_INFINITY)
    else exit(tries, 'u9')
    otherBox.receive(trialBox.events().slice(announcedBefore))
    ;[quarantine, otherBox.quarantine].forEach((one) => t.is(one.refusalOf(() => waits) === undefined, finishes))
    await clock.advance(PART_QUARANTINE_MS)
    t.is(quarantine.refusalOf(() => waits) === undefined, finishes, 'the next trial is later')
    t.true(history.size > 0)
  }
})

test('a trial without an outcome makes way for another request', async (t) => {
  const started = startQuarantine()
  await crashThree(started)
  const { clock, quarantine } = started
  await clock.advance(PART_QUARANTINE_MS)
  const [first, second] = [requestWith(CRASHING), requestWith(CRASHING)]
  t.is(quarantine.refusalOf(() => first), undefined)
  t.truthy(quarantine.refusalOf(() => second))
  await clock.advance(10_000)
  t.is(quarantine.refusalOf(() => second), undefined)
  t.truthy(quarantine.refusalOf(() => first))
})

test('a box that heard of exits, and not yet of what cleared a part of them, does not refuse the part', async (t) => {
  const clock = new VirtualClock()
  const [reporting, clearing, unaware] = ['a', 'b', 'c'].map((incarnation) => startQuarantine({ clock, incarnation }))
  const aa = hashOfPart('m', 'aa')
  clearing.quarantine.recordSound({ model: 'm', parts: ['aa'], targetVersion: 'm@1' }, Number.POSITIVE_INFINITY)
  for (let nth = 0; nth < 3; nth++) {
    await clock.advance(INTERVAL_MS)
    reporting.exit(requestWith([aa], { caller: `w${nth}` }), `u${nth}`)
  }
  clearing.receive(reporting.events())
  unaware.receive(reporting.events())
  t.is(unaware.quarantine.refusalOf(() => requestWith([aa])), undefined)
  unaware.receive(clearing.events())
  t.is(unaware.quarantine.refusalOf(() => requestWith([aa])), undefined)
})
