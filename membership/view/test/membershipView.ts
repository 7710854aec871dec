import { UpstreamKind } from '@reelspan/config.fleet'
import { type Member, MemberHealth } from '@reelspan/core.messages'
import { mergeMember, MembershipView } from '@reelspan/membership.view'
import test from 'ava'
import fc from 'fast-check'

function member (incarnation: string, over: Partial<Member> = {}): Member {
  return {
    name: 'box',
    availabilityZone: 'zone',
    peerAddress: `10.0.0.1:${incarnation.length}`,
    callerAddress: '10.0.0.1:1',
    incarnation,
    version: 0,
    health: MemberHealth.Alive,
    leaving: false,
    ...over,
  }
}

const state = fc.record({
  version: fc.nat({ max: 3 }),
  health: fc.constantFrom(...Object.values(MemberHealth)),
}).map(({ version, health }) => member('a', { version, health }))

test('merged states do not depend on their order', (t) => {
  fc.assert(fc.property(fc.shuffledSubarray([0, 1, 2, 3, 4], { minLength: 5 }), fc.array(state, { minLength: 5, maxLength: 5 }), (order, states) => {
    const straight = states.reduce(mergeMember)
    const shuffled = order.map((i) => states[i]).reduce(mergeMember)
    return straight.health === shuffled.health && straight.version === shuffled.version
  }), { seed: 1 })
  t.pass()
})

test('an incarnation that is gone stays gone', (t) => {
  const gone = member('a', { health: MemberHealth.Gone })
  t.is(mergeMember(gone, member('a', { version: 100 })).health, MemberHealth.Gone)
})

test('a member refutes a suspicion of itself', (t) => {
  const view = new MembershipView({ self: member('a'), goneRetentionMs: 1000 })
  view.merge(member('a', { health: MemberHealth.Suspect, version: 4 }), 0)
  t.is(view.self.version, 5)
  t.is(view.self.health, MemberHealth.Alive)
})

test('digests are equal exactly for equal views, also after members are removed', (t) => {
  const one = new MembershipView({ self: member('a'), goneRetentionMs: 1000 })
  const two = new MembershipView({ self: member('b'), goneRetentionMs: 1000 })
  one.merge(two.self, 0)
  t.not(one.digest, two.digest)
  two.merge(one.self, 0)
  t.is(one.digest, two.digest)
  one.merge(member('c', { health: MemberHealth.Gone }), 0)
  one.removeExpired(2000)
  t.is(one.digest, two.digest)
})

test('the list of members that accept work is rebuilt only when a member has changed', (t) => {
  const view = new MembershipView({ self: member('a'), goneRetentionMs: 1000 })
  view.merge(member('b'), 0)
  const before = view.takingWork()
  t.is(view.takingWork(), before)
  view.merge(member('b', { version: 1, leaving: true }), 0)
  t.deepEqual(view.takingWork().map(({ incarnation }) => incarnation), ['a'])
})

test('a member without paths to the engines alone does not schedule, and runs calls to services', (t) => {
  const view = new MembershipView({ self: member('a', { enginesUnreachable: true }), goneRetentionMs: 1000 })
  view.merge(member('b', { name: 'other', upstreamsUnreachable: true }), 0)
  t.deepEqual(view.schedulerCandidates().map(({ incarnation }) => incarnation), ['a', 'b'])
  view.merge(member('c', { name: 'third', servicesUnreachable: true }), 0)
  t.deepEqual(view.schedulerCandidates().map(({ incarnation }) => incarnation), ['c'])
  t.deepEqual(view.reaching(UpstreamKind.Service).map(({ incarnation }) => incarnation), ['a'])
  t.false(view.mayReach(UpstreamKind.Service, 'other'))
  t.false(view.mayReach(UpstreamKind.Engine, 'box'))
  t.true(view.mayReach(UpstreamKind.Service, 'box'))
})
