import { RunEnd, type RunEvent } from '@reelspan/core.messages'
import { judgeParts, RunHistory, SOUND_AFTER_MS } from '@reelspan/request.quarantine'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'
import fc from 'fast-check'

const RAN_MS = 60
const INTERVAL_MS = 900
const EXITS = 20

let nextId = 0

/** A run at the nth of a series of exits, the last of which is now. */
function exit (nth: number, parts: readonly string[], over: Partial<RunEvent> = {}): RunEvent {
  const id = `e${nextId++}`
  return { id, end: RunEnd.UpstreamEnded, content: id, caller: `caller-of-${id}`, upstream: `u${nth}`, ageMs: (EXITS - nth) * INTERVAL_MS, ranMs: RAN_MS, parts: [...parts], writtenMs: 0, targetVersion: 'm@1', ...over }
}

function clearance (part: string, nth: number, over: Partial<RunEvent> = {}): RunEvent {
  return { id: `c${nextId++}`, end: RunEnd.Finished, content: part, caller: '', ageMs: (EXITS - nth) * INTERVAL_MS, ranMs: 0, parts: [part], targetVersion: 'm@1', ...over }
}

function historyOf (events: readonly RunEvent[]): RunHistory {
  const history = new RunHistory({ clock: new VirtualClock() })
  events.forEach((event) => history.add(event))
  return history
}

/** What requests must have in common to be refused. */
function conditions (events: readonly RunEvent[]): string[] {
  return judgeParts(historyOf(events)).bans.map(({ parts, caller, content }) => [...parts, ...caller === undefined ? [] : ['caller'], ...content === undefined ? [] : ['content']].join(' ')).toSorted()
}

const NTHS = [1, 2, 3, 4, 5]

test('a part is refused after three successive exits, together with what else all of the runs have', (t) => {
  t.deepEqual(conditions([1, 2].map((nth) => exit(nth, ['aa', 'cc']))), [])
  t.deepEqual(conditions([1, 2, 3].map((nth) => exit(nth, ['aa', 'cc']))), ['aa cc'])
  t.deepEqual(conditions([1, 2, 3].map((nth) => exit(nth, ['aa', 'cc', `b${nth}`]))), ['aa cc'])
  t.deepEqual(conditions([...[1, 2, 3].map((nth) => exit(nth, ['aa', 'cc'])), exit(4, ['cc'])]), ['cc'])
  t.deepEqual(conditions([1, 2, 3].map((nth) => exit(nth, ['cc'], { caller: 'one' }))), ['cc caller'])
  t.deepEqual(conditions([1, 2, 3].map((nth) => exit(nth, ['cc'], { caller: 'one', content: 'same' }))), ['cc caller content'])
})

test('a run that goes on clears its parts of earlier exits and of those soon after it', (t) => {
  const exits = [1, 2, 3].map((nth) => exit(nth, ['aa', 'cc']))
  t.deepEqual(conditions([...exits, clearance('aa', 5)]), ['cc'])
  t.deepEqual(conditions([...exits, clearance('aa', 1, { ageMs: 21_000 })]), ['cc'], 'before the first exit')
  t.deepEqual(conditions([...exits, clearance('aa', 1, { ageMs: 60_000 })]), ['aa cc'], 'long before')
  t.deepEqual(conditions([...exits, clearance('cc', 5)]), ['aa'])
  t.deepEqual(conditions([...exits, clearance('aa', 5), clearance('cc', 5)]), [])
  t.deepEqual(conditions([...exits, clearance('aa', 5, { targetVersion: 'm@2' })]), ['aa cc'], 'at another version')
})

test('a run that had written for long does not make its parts suspects', (t) => {
  t.deepEqual(conditions(NTHS.map((nth) => exit(nth, ['aa'], { writtenMs: SOUND_AFTER_MS }))), [])
})

test('a part that ran beside the crashing one is not refused, however often', (t) => {
  const crashing = NTHS.map((nth) => exit(nth, ['cc']))
  t.deepEqual(conditions([...crashing, ...[2, 3, 4].map((nth) => exit(nth, ['dd'], { ranMs: 300 }))]), ['cc'])
})

test('a part at all exits of the crashing one, and in other runs there as well, is refused only together with it', (t) => {
  t.deepEqual(conditions(NTHS.flatMap((nth) => [exit(nth, ['aa', 'cc']), exit(nth, ['aa', `b${nth}`])])), ['aa cc'])
})

test('of two parts of different runs at the same exits only one is refused at a time, and an exit without it decides', (t) => {
  const both = NTHS.flatMap((nth) => [exit(nth, ['cc']), exit(nth, ['dd'], { writtenMs: 200 })])
  t.deepEqual(conditions(both.slice(0, 8)), [])
  t.deepEqual(conditions(both), ['cc'])
  t.deepEqual(conditions([...both, exit(6, ['dd'])]), ['dd'])
})

test('copies on upstreams that exit together count once', (t) => {
  const together = (nth: number) => Array.from({ length: 4 }, (_, i) => exit(nth, ['aa'], { upstream: `u${nth}-${i}`, ranMs: 200, ageMs: (EXITS - nth) * INTERVAL_MS + i }))
  t.deepEqual(conditions(together(1)), [])
  t.deepEqual(conditions([...together(1), ...together(2)]), [])
})

test('a part is refused at the versions at which it crashed upstreams, and one exit is enough at a further one', (t) => {
  const versions = (events: readonly RunEvent[]) => judgeParts(historyOf(events)).bans.map(({ targetVersions }) => targetVersions)
  const exits = [1, 2, 3].map((nth) => exit(nth, ['cc']))
  t.deepEqual(versions(exits), [['m@1']])
  t.deepEqual(versions([...exits, exit(4, ['cc'], { targetVersion: 'm@2' })]), [['m@1', 'm@2']])
})

test('events that a box of an earlier build passed on without parts are completed', (t) => {
  const exits = [1, 2, 3].map((nth) => exit(nth, ['cc']))
  const stripped = exits.map(({ parts, writtenMs, targetVersion, ...event }) => event)
  t.deepEqual(conditions(stripped), [])
  const [one, other] = [historyOf([...stripped, ...exits]), historyOf(exits)]
  t.is(one.digest, other.digest)
  t.is(judgeParts(one).bans.length, 1)
})

test('a flood of other runs does not make a box forget what a quarantine rests on', (t) => {
  const history = historyOf([1, 2, 3].map((nth) => exit(nth, ['cc'])))
  const ids = new Set(judgeParts(history).bans.flatMap(({ runs }) => runs.map(({ id }) => id)))
  history.protect(ids)
  Array.from({ length: 2500 }, (_, i) => history.add(exit(4 + i % 10, [`flood-${i}`], { upstream: `f${i}` })))
  t.true(judgeParts(history).bans.some(({ parts }) => parts.includes('cc')))
})

const INNOCENT = ['aa', 'b1', 'b2', 'b3', 'd1', 'd2']
/** Narrowing the condition takes an exit for each part that happened to be in all runs so far. */
const MAX_CRASHES = 8

test('no request whose parts were cleared is refused, and the crashing part is after few exits, whatever else happens', async (t) => {
  const innocentParts = fc.uniqueArray(fc.constantFrom(...INNOCENT), { minLength: 1, maxLength: 3 })
  const steps = fc.array(fc.oneof(
    { weight: 3, arbitrary: fc.record({ kind: fc.constant('crash' as const), parts: innocentParts, bystanders: fc.array(innocentParts, { maxLength: 3 }), writtenMs: fc.integer({ min: 0, max: 900 }) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant('chance' as const), runs: fc.array(innocentParts, { maxLength: 3 }), writtenMs: fc.integer({ min: 0, max: 3000 }) }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant('sound' as const), parts: innocentParts }) }
  ), { minLength: 10, maxLength: 50 })
  await fc.assert(fc.asyncProperty(steps, async (sequence) => {
    const clock = new VirtualClock()
    const history = new RunHistory({ clock })
    const isRefused = (parts: readonly string[]) => judgeParts(history).bans.some((ban) => ban.parts.every((part) => parts.includes(part)) && ban.caller === undefined)
    const add = (event: RunEvent) => history.add({ ...event, ageMs: 0 })
    INNOCENT.forEach((part) => add(clearance(part, 0)))
    let crashes = 0
    let sound = true
    for (const [i, step] of sequence.entries()) {
      await clock.advance(INTERVAL_MS)
      const over = { upstream: `s${i}` }
      if (step.kind === 'sound') step.parts.forEach((part) => add(clearance(part, 0)))
      if (step.kind === 'chance') step.runs.forEach((parts) => add(exit(0, parts, { ...over, writtenMs: step.writtenMs })))
      if (step.kind !== 'crash') continue
      // Innocent requests go on being served all the while.
      INNOCENT.forEach((part) => add(clearance(part, 0)))
      step.bystanders.forEach((parts) => add(exit(0, parts, { ...over, writtenMs: step.writtenMs })))
      if (!isRefused([...step.parts, 'bad'])) {
        crashes++
        add(exit(0, [...step.parts, 'bad'], over))
      }
      sound &&= INNOCENT.every((part) => !isRefused([part])) && !isRefused(INNOCENT)
    }
    return sound && crashes <= MAX_CRASHES
  }), { seed: 60, numRuns: 300 })
  t.pass()
})

test('boxes that received the same events in any order, and more than once, refuse the same', (t) => {
  const arbitraryEvents = fc.array(fc.record({ nth: fc.integer({ min: 1, max: 8 }), parts: fc.uniqueArray(fc.constantFrom('aa', 'cc', 'dd'), { minLength: 1 }), cleared: fc.boolean(), version: fc.constantFrom('m@1', 'm@2') }), { maxLength: 20 })
  fc.assert(fc.property(arbitraryEvents, fc.infiniteStream(fc.nat()), (drawn, order) => {
    const events = drawn.map(({ nth, parts, cleared, version }) => cleared ? clearance(parts[0], nth, { targetVersion: version }) : exit(nth, parts, { targetVersion: version }))
    const keys = new Map(events.map(({ id }) => [id, order.next().value]))
    const shuffled = [...events, ...events.slice(0, 3)].toSorted((a, b) => (keys.get(a.id) ?? 0) - (keys.get(b.id) ?? 0))
    const verdict = (history: RunHistory) => JSON.stringify(judgeParts(history).bans.map(({ key, targetVersions }) => [key, targetVersions.toSorted()]).toSorted())
    return historyOf(events).digest === historyOf(shuffled).digest && verdict(historyOf(events)) === verdict(historyOf(shuffled))
  }), { seed: 61, numRuns: 500 })
  t.pass()
})
