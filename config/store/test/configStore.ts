import { AdoptOutcome, ConfigStore, type ContentChange, type RevisionedContent } from '@reelspan/config.store'
import test from 'ava'
import fc from 'fast-check'

const SEED = 20_261_202
const RUNS = 500

function change (name: string, revision: number, spec: unknown = {}): ContentChange {
  return { kind: 'Thing', name, revision, spec }
}

function createStore (): ConfigStore<string[]> {
  return new ConfigStore((entries) => ({ value: entries.map(({ name }) => name), problems: entries.some(({ name }) => name === 'bad') ? ['bad'] : [] }))
}

test('only a higher revision is adopted', (t) => {
  const store = createStore()
  t.is(store.adopt({ revision: 3, full: true, changes: [change('a', 3)] }, 0), AdoptOutcome.Adopted)
  t.is(store.adopt({ revision: 3, full: true, changes: [] }, 0), AdoptOutcome.NotNewer)
  t.is(store.adopt({ revision: 2, full: true, changes: [] }, 0), AdoptOutcome.NotNewer)
  t.deepEqual(store.value, ['a'])
})

test('changes are applied to the content in force, including deletions', (t) => {
  const store = createStore()
  store.adopt({ revision: 1, full: true, changes: [change('a', 1), change('b', 1)] }, 0)
  store.adopt({ revision: 2, full: false, changes: [change('a', 2, null), change('c', 2)] }, 1)
  t.deepEqual(store.value, ['b', 'c'])
  t.deepEqual(store.changesSince(1).changes.map(({ name }) => name), ['a', 'c'])
})

test('changes since a revision above the one in force are not applied', (t) => {
  const store = createStore()
  store.adopt({ revision: 1, full: true, changes: [change('a', 1)] }, 0)
  t.is(store.adopt({ revision: 9, full: false, changes: [change('z', 9)] }, 8), AdoptOutcome.NotNewer)
  t.deepEqual(store.value, ['a'])
})

test('an invalid revision leaves the previous one unchanged', (t) => {
  const store = createStore()
  store.adopt({ revision: 1, full: true, changes: [change('a', 1)] }, 0)
  t.is(store.adopt({ revision: 2, full: false, changes: [change('b', 2), change('bad', 2)] }, 1), AdoptOutcome.Invalid)
  t.deepEqual(store.value, ['a'])
  t.is(store.rejected?.revision, 2)
  store.adopt({ revision: 3, full: false, changes: [change('b', 2), change('bad', 3, null)] }, 1)
  t.deepEqual(store.value, ['a', 'b'])
  t.is(store.rejected, undefined)
})

test('a reader that may lack removed deletions gets the whole content', (t) => {
  const store = createStore()
  store.adopt({ revision: 1, full: true, changes: [change('kept', 1)] }, 0)
  for (let i = 0; i < 1005; i++) {
    store.adopt({ revision: 2 + 2 * i, full: false, changes: [change(`t${i}`, 2 + 2 * i)] }, 1 + 2 * i)
    store.adopt({ revision: 3 + 2 * i, full: false, changes: [change(`t${i}`, 3 + 2 * i, null)] }, 2 + 2 * i)
  }
  t.true(store.changesSince(2).full)
  t.false(store.changesSince(store.revision - 1).full)
  t.deepEqual(store.value, ['kept'])
})

/** Whole content with all entries at its revision, as from a platform that publishes all entries in one item. */
function whole (revision: number, specs: Record<string, unknown>): RevisionedContent {
  return { revision, full: true, changes: Object.entries(specs).map(([name, spec]) => change(name, revision, spec)) }
}

function adoptAll (...contents: RevisionedContent[]): ConfigStore<string[]> {
  const store = createStore()
  contents.forEach((content) => store.adopt(structuredClone(content), store.revision))
  return store
}

/** One store pulls from another. */
function pull (reader: ConfigStore<unknown>, from: ConfigStore<unknown>): { content: RevisionedContent, outcome: AdoptOutcome } {
  const content = structuredClone(from.changesSince(reader.revision, reader.digest))
  return { content, outcome: reader.adopt(content, reader.revision) }
}

test('a reader whose content was in force here gets the changes since, also if contents were adopted whole', (t) => {
  const first = whole(3, { a: 1, b: 1, c: 1 })
  const here = adoptAll(first, whole(5, { a: 1, b: 2, c: 1 }), whole(9, { a: 1, b: 2, d: 1 }))
  const reader = adoptAll(first)
  const { content, outcome } = pull(reader, here)
  t.false(content.full)
  t.deepEqual(content.changes.map(({ name, spec }) => [name, spec]), [['b', 2], ['d', 1], ['c', null]])
  t.is(outcome, AdoptOutcome.Adopted)
  t.deepEqual(reader.value, ['a', 'b', 'd'])
  t.is(reader.digest, here.digest)
})

test('a reader whose content was never in force here gets the whole content, whatever its revision', (t) => {
  const here = adoptAll(whole(3, { a: 1 }), whole(9, { a: 1 }))
  const between = adoptAll(whole(3, { a: 1 }), whole(5, { a: 2 }))
  t.true(here.changesSince(between.revision, between.digest).full)
  t.true(here.changesSince(3, adoptAll(whole(3, { a: 2 })).digest).full)
  t.true(here.changesSince(3).full, 'also without a digest, as from an earlier release')
  pull(between, here)
  t.is(between.digest, here.digest)
})

test('changes whose result does not match their digest are not adopted', (t) => {
  const store = adoptAll(whole(3, { a: 1, b: 1 }))
  const digest = adoptAll(whole(5, { a: 1, b: 2 })).digest
  t.is(store.adopt({ revision: 5, full: false, changes: [change('a', 5, 2)], digest }, 3), AdoptOutcome.Mismatch)
  t.is(store.revision, 3)
  t.is(store.adopt({ revision: 5, full: false, changes: [change('b', 5, 2)], digest }, 3), AdoptOutcome.Adopted)
})

test(`stores that pull from each other have the published content of their revision (seed ${SEED})`, (t) => {
  const specs = fc.dictionary(fc.constantFrom('a', 'b', 'c', 'd', 'e'), fc.integer({ min: 0, max: 1 }), { noNullPrototype: true })
  const steps = fc.array(fc.record({
    specs,
    /** Indexes of the stores that read the platform; then pairs of pulling and source stores. */
    readers: fc.array(fc.integer({ min: 0, max: 3 }), { maxLength: 3 }),
    pulls: fc.array(fc.tuple(fc.integer({ min: 0, max: 3 }), fc.integer({ min: 0, max: 3 })), { maxLength: 6 }),
  }), { minLength: 8, maxLength: 20 })
  const seen = { changes: 0, wholes: 0, mismatches: 0 }
  fc.assert(fc.property(steps, (run) => {
    const stores = Array.from({ length: 4 }, () => new ConfigStore((entries) => ({ value: Object.fromEntries(entries.map(({ name, spec }) => [name, spec])), problems: [] })))
    const published = new Map<number, object>([[0, {}]])
    run.forEach(({ specs, readers, pulls }, i) => {
      const revision = i + 1
      published.set(revision, specs)
      const inOrder = Object.fromEntries(Object.entries(specs).sort(([a], [b]) => a < b ? -1 : 1))
      readers.forEach((at) => stores[at].adopt(structuredClone(whole(revision, inOrder)), stores[at].revision))
      pulls.forEach(([to, from]) => {
        const { content, outcome } = pull(stores[to], stores[from])
        if (outcome === AdoptOutcome.Mismatch) stores[to].adopt(structuredClone(stores[from].changesSince(0)), 0)
        if (outcome === AdoptOutcome.Mismatch) seen.mismatches++
        else if (outcome === AdoptOutcome.Adopted) seen[content.full ? 'wholes' : 'changes']++
        t.true(stores[to].revision >= stores[from].revision)
      })
      stores.forEach((store) => t.deepEqual(store.value, published.get(store.revision)))
    })
  }), { seed: SEED, numRuns: RUNS })
  t.log(seen)
  t.true(seen.changes > RUNS && seen.mismatches < seen.changes / 10)
})
