import { checkResources, DeclarationsChecker, type Resource, ResourceKind, resourceId } from '@reelspan/config.resources'
import { AdoptOutcome, ConfigStore, type ContentChange, type RevisionedContent } from '@reelspan/config.store'
import { sampleDeclarations } from '@reelspan/utils.fakes'
import test from 'ava'
import fc from 'fast-check'
import { isDeepStrictEqual } from 'node:util'

const SEED = 20_261_202
const RUNS = 500

function createStore () {
  const checker = new DeclarationsChecker()
  return { checker, store: new ConfigStore(checker.parse) }
}

/** Content as received from another process: it shares no objects with this one. */
function received (content: RevisionedContent): RevisionedContent {
  return structuredClone(content)
}

function routes (count: number, revision: number): ContentChange[] {
  return Array.from({ length: count }, (_, i) => ({ kind: ResourceKind.Route, name: `route-${i}`, revision, spec: { model: 'draft', deadlineMs: 1000 + i } }))
}

test('only the changed entries of a whole content are validated', (t) => {
  const { checker, store } = createStore()
  const first = [...sampleDeclarations().map((entry) => ({ ...entry, revision: 1 })), ...routes(100, 1)]
  store.adopt(received({ revision: 1, full: true, changes: first }), 0)
  t.is(checker.checkedCount, first.length)
  const second = first.map((entry) => ({ ...entry, revision: 2, spec: entry.name === 'route-7' ? { model: 'draft', deadlineMs: 5 } : entry.spec }))
  store.adopt(received({ revision: 2, full: true, changes: second }), 1)
  t.is(checker.checkedCount, first.length + 1)
  t.is(store.value.route('route-7')?.deadlineMs, 5)
  t.is(store.value.route('route-8')?.deadlineMs, 1008)
  t.is(store.value.resources.find(({ name }) => name === 'route-7')?.revision, 2)
  t.is(store.value.resources.find(({ name }) => name === 'route-8')?.revision, 1, 'its last change was at revision 1')
})

test('an unchanged entry is rejected when a resource that it references is removed', (t) => {
  const { store } = createStore()
  const first = [...sampleDeclarations().map((entry) => ({ ...entry, revision: 1 })), ...routes(2, 1)]
  store.adopt(received({ revision: 1, full: true, changes: first }), 0)
  store.adopt(received({ revision: 2, full: true, changes: first.filter(({ kind }) => kind !== ResourceKind.Model) }), 1)
  t.is(store.revision, 1)
  t.true(store.rejected?.problems.includes('Route/route-0: spec.model: there is no Model/draft'))
})

test('a rejected entry is rejected again', (t) => {
  const { store } = createStore()
  const bad = { kind: ResourceKind.Route, name: 'r', revision: 1, spec: { model: 'm', deadlineMs: -1 } }
  store.adopt({ revision: 1, full: true, changes: [bad] }, 0)
  const { problems } = store.rejected ?? {}
  t.true(problems?.some((problem) => problem.startsWith('Route/r: spec.deadlineMs')))
  store.adopt({ revision: 2, full: true, changes: [bad] }, 0)
  t.deepEqual(store.rejected, { revision: 2, problems })
})

const poolSpec = fc.record({ role: fc.constantFrom('prefill', 'decode', 'service', 'none') })
const modelSpec = fc.record({
  prefillPool: fc.constantFrom('a', 'b'),
  decodePool: fc.constantFrom('b', 'c'),
  kvBytesPerToken: fc.constantFrom(1, 2, -1),
  prefillTokensPerSecond: fc.constant(1),
  decodeStepBaseMs: fc.constant(1),
  decodeStepPerRequestMs: fc.constant(0),
})
const routeSpec = fc.record({
  model: fc.constantFrom('a', 'b'),
  pool: fc.constantFrom('a', 'c'),
  pathPrefix: fc.constantFrom('/a', 'a'),
  targets: fc.array(fc.record({ model: fc.constantFrom('a', 'b'), pool: fc.constantFrom('a', 'c') }, { requiredKeys: [] }), { maxLength: 2 }),
  maxAttempts: fc.constantFrom(1, 2, 0),
  unknownField: fc.constant(1),
}, { requiredKeys: [] })
const rolloutSpec = fc.record({ model: fc.constantFrom('a', 'b'), toVersion: fc.constant('2'), enginePercent: fc.constantFrom(1, 2, 101) })
const anySpec = fc.oneof(poolSpec, modelSpec, routeSpec, rolloutSpec, fc.constant(null), fc.constant('text'))

const entry: fc.Arbitrary<{ kind: string, name: string, spec: unknown }> = fc.oneof(
  ...[[ResourceKind.Pool, poolSpec], [ResourceKind.Model, modelSpec], [ResourceKind.Route, routeSpec], [ResourceKind.Rollout, rolloutSpec], ['Rout', anySpec], [ResourceKind.Route, anySpec]]
    .map(([kind, spec]) => fc.record({ kind: fc.constant(kind as string), name: fc.constantFrom('a', 'b', 'c'), spec: fc.oneof({ weight: 9, arbitrary: spec as fc.Arbitrary<unknown> }, { weight: 1, arbitrary: fc.constant(null) }) }))
)
/** Successive contents that share most entries, like those of a deployment. */
const contents = fc.array(fc.record({ full: fc.boolean(), kept: fc.integer({ min: 0, max: 255 }), changes: fc.array(entry, { maxLength: 4 }) }), { minLength: 1, maxLength: 8 })

test(`validation with cached results equals a full validation (seed ${SEED})`, (t) => {
  let adopted = 0
  fc.assert(fc.property(contents, (steps) => {
    const { store } = createStore()
    let inForce = new Map<string, ContentChange>()
    steps.forEach(({ full, kept, changes }, i) => {
      const revision = i + 1
      const before = full ? [...inForce.values()].filter((_, at) => (kept >> (at % 8)) & 1) : []
      const content = received({ revision, full, changes: [...before, ...changes].map((change) => ({ ...change, revision })) })
      // If two entries have the same name, the first one is used.
      const given = content.changes.filter((change, at) => content.changes.findIndex((other) => resourceId(other) === resourceId(change)) === at)
      // Whole content gives every entry the new revision, but an entry with an unchanged spec has not changed.
      const lastChange = (change: ContentChange) => {
        const known = inForce.get(resourceId(change))
        return full && known && isDeepStrictEqual(known.spec, change.spec) ? known : change
      }
      const next = new Map([...(full ? [] : inForce), ...given.map((change) => [resourceId(change), lastChange(change)] as const)])
      const expected = checkResources([...next.values()].filter(({ spec }) => spec !== null), revision)
      const outcome = store.adopt(received(content), store.revision)
      t.is(outcome, expected.problems.length > 0 ? AdoptOutcome.Invalid : AdoptOutcome.Adopted)
      t.deepEqual(store.rejected?.problems.toSorted() ?? [], expected.problems.map(({ resource, field, message }) => `${resource}: ${field}: ${message}`).toSorted())
      if (outcome === AdoptOutcome.Invalid) return
      adopted++
      inForce = next
      t.deepEqual(byId(store.value.resources), byId(expected.configuration.resources))
    })
  }), { seed: SEED, numRuns: RUNS })
  t.true(adopted > RUNS / 10, `${adopted} contents were adopted`)
})

function byId (resources: readonly Resource[]): Map<string, Resource> {
  return new Map(resources.map((resource) => [resourceId(resource), resource]))
}
