import { AdoptOutcome, ConfigStore, type ContentChange } from '@reelspan/config.store'
import test from 'ava'

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

test('changes are applied on what is in force, deletions too', (t) => {
  const store = createStore()
  store.adopt({ revision: 1, full: true, changes: [change('a', 1), change('b', 1)] }, 0)
  store.adopt({ revision: 2, full: false, changes: [change('a', 2, null), change('c', 2)] }, 1)
  t.deepEqual(store.value, ['b', 'c'])
  t.deepEqual(store.changesSince(1).changes.map(({ name }) => name), ['a', 'c'])
})

test('changes counted from a revision that this box does not have are not applied', (t) => {
  const store = createStore()
  store.adopt({ revision: 1, full: true, changes: [change('a', 1)] }, 0)
  t.is(store.adopt({ revision: 9, full: false, changes: [change('z', 9)] }, 8), AdoptOutcome.NotNewer)
  t.deepEqual(store.value, ['a'])
})

test('a revision that is wrong anywhere leaves the one before whole', (t) => {
  const store = createStore()
  store.adopt({ revision: 1, full: true, changes: [change('a', 1)] }, 0)
  t.is(store.adopt({ revision: 2, full: false, changes: [change('b', 2), change('bad', 2)] }, 1), AdoptOutcome.Invalid)
  t.deepEqual(store.value, ['a'])
  t.is(store.rejected?.revision, 2)
  store.adopt({ revision: 3, full: false, changes: [change('b', 2), change('bad', 3, null)] }, 1)
  t.deepEqual(store.value, ['a', 'b'])
  t.is(store.rejected, undefined)
})

test('a reader from before forgotten deletions gets everything', (t) => {
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
