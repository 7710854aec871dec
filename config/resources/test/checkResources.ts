import { checkResources, Configuration, ResourceKind, routeSpecSchema } from '@reelspan/config.resources'
import { sampleDeclarations } from '@reelspan/utils.fakes'
import test from 'ava'

const DECLARED = sampleDeclarations().map((entry) => ({ ...entry, revision: 1 }))

function problemsWith (name: string, spec: object, kind: string = ResourceKind.Route): string[] {
  return checkResources([...DECLARED.filter((entry) => entry.name !== name), { kind, name, revision: 1, spec }], 1)
    .problems.map(({ resource, field, message }) => `${resource}: ${field}: ${message}`)
}

test('a valid deployment is accepted', (t) => {
  t.deepEqual(checkResources(DECLARED, 1).problems, [])
})

test('a misspelt field is reported with a suggestion', (t) => {
  t.deepEqual(problemsWith('drafts', { model: 'draft', ttftTargetMS: 1 }), ['Route/drafts: spec.ttftTargetMS: unknown key; did you mean «ttftTargetMs»?'])
})

test('a reference to an unknown resource is reported with a suggestion', (t) => {
  t.deepEqual(problemsWith('drafts', { model: 'draught' }), ['Route/drafts: spec.model: there is no Model/draught; did you mean «draft»?'])
  t.deepEqual(problemsWith('r', { model: 'dratf', toVersion: '2', enginePercent: 1 }, ResourceKind.Rollout), ['Rollout/r: spec.model: there is no Model/dratf; did you mean «draft»?'])
})

test('a resource that is declared twice is reported once', (t) => {
  const problems = checkResources([...DECLARED, DECLARED[0]], 1).problems
  t.deepEqual(problems, [{ resource: 'Pool/draft-prefill', field: 'name', message: 'declared more than once' }])
})

test('a pool with the wrong role is reported', (t) => {
  t.deepEqual(problemsWith('desk', { pool: 'draft-decode', pathPrefix: '/desk' }), ['Route/desk: spec.pool: Pool/draft-decode has role decode, service is needed'])
})

test('an unknown kind is reported with a suggestion', (t) => {
  t.deepEqual(problemsWith('x', {}, 'Rout'), ['Rout/x: kind: unknown kind «Rout»; did you mean «Route»?'])
})

test('a route cannot use reelspan\'s own paths', (t) => {
  t.deepEqual(problemsWith('desk', { pool: 'script-desk', pathPrefix: '/v1/completions' }), ['Route/desk: spec.pathPrefix: «/v1/completions» is reelspan\'s own'])
})

test('a call gets the route with the longest path prefix, and a prefix matches whole path segments', (t) => {
  const route = (name: string, pathPrefix: string) => ({ kind: ResourceKind.Route as const, name, revision: 1, spec: routeSpecSchema.parse({ pool: 'p', pathPrefix }) })
  const configuration = new Configuration(1, [route('short', '/desk'), route('long', '/desk/bookings')])
  t.is(configuration.routeOfCall('POST', '/desk/bookings/7')?.name, 'long')
  t.is(configuration.routeOfCall('POST', '/desk/other')?.name, 'short')
  t.is(configuration.routeOfCall('POST', '/desktop'), undefined)
})
