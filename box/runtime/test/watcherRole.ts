import { WatcherRole } from '@reelspan/box.runtime'
import { settingsSchema } from '@reelspan/config.settings'
import { type Member, MemberHealth } from '@reelspan/core.messages'
import { MembershipView } from '@reelspan/membership.view'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

const WATCHERS = 2

function member (incarnation: string, over: Partial<Member> = {}): Member {
  return { name: incarnation, availabilityZone: 'hall-a', peerAddress: `${incarnation}:1`, callerAddress: `${incarnation}:2`, incarnation, version: 0, health: MemberHealth.Alive, leaving: false, ...over }
}

function createRoles (incarnations: readonly string[]) {
  const clock = new VirtualClock()
  const contact = { atMs: 0 }
  const settings = settingsSchema.parse({
    box: { name: 'any', availabilityZone: 'hall-a' },
    listen: { callerAddress: '10.0.0.1:1', peerAddress: '10.0.0.1:2', operatorAddress: '127.0.0.1:3' },
    platform: { addresses: ['10.9.0.1:80'], watchersPerAvailabilityZone: WATCHERS },
  })
  const roles = incarnations.map((incarnation) => {
    const view = new MembershipView({ self: member(incarnation), goneRetentionMs: 60_000 })
    incarnations.filter((other) => other !== incarnation).forEach((other) => view.merge(member(other), 0))
    return { incarnation, view, role: new WatcherRole({ clock, settings, view, lastMajorityContactMs: () => contact.atMs }) }
  })
  return { clock, contact, roles, watching: () => roles.filter(({ role }) => role.isWatcher()).map(({ incarnation }) => incarnation) }
}

test('the configured number of boxes per zone watch the platform, and all boxes agree on which', (t) => {
  const { watching } = createRoles(['a', 'b', 'c', 'd', 'e'])
  const first = watching()
  t.is(first.length, WATCHERS)
  t.deepEqual(watching(), first)
})

test('another box watches as soon as a watcher is known to be leaving or gone', (t) => {
  const { roles, watching } = createRoles(['a', 'b', 'c', 'd', 'e'])
  const [first, second] = watching()
  roles.forEach(({ incarnation, view }) => {
    if (incarnation === first) view.announce({ leaving: true }, 0)
    else view.merge(member(first, { version: 1, leaving: true }), 0)
  })
  t.is(watching().length, WATCHERS)
  t.false(watching().includes(first))
  roles.filter(({ incarnation }) => incarnation !== second).forEach(({ view }) => view.declareGone(second, 0))
  t.is(watching().filter((incarnation) => incarnation !== second).length, WATCHERS)
})

test('an isolated box watches the platform until it reaches the others again', async (t) => {
  const { clock, contact, watching } = createRoles(['a', 'b', 'c', 'd', 'e'])
  await clock.advance(5000)
  t.is(watching().length, 5)
  contact.atMs = clock.nowMs()
  t.is(watching().length, WATCHERS)
})
