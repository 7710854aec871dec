import { type Member } from '@reelspan/core.messages'
import { watchedMembers } from '@reelspan/membership.prober'
import test from 'ava'
import { memberOf } from './__utils__/memberOf.js'

function fleetOf (count: number): Member[] {
  return Array.from({ length: count }, (_, i) => memberOf(i))
}

/** Maximum number of hops that an update needs from the first member to any other. */
function hopsToAll (members: Member[]): number {
  const reached = new Set([members[0].incarnation])
  let frontier = [members[0]]
  let hops = 0
  for (; frontier.length > 0; hops++) {
    frontier = frontier.flatMap((member) => watchedMembers(member, members, 4)).filter(({ incarnation }) => !reached.has(incarnation) && reached.add(incarnation))
  }
  return reached.size === members.length ? hops - 1 : Number.POSITIVE_INFINITY
}

test('a box watches the same number of others whatever the size of the fleet', (t) => {
  [8, 50, 690].forEach((count) => {
    const members = fleetOf(count)
    members.slice(0, 20).forEach((member) => t.is(new Set(watchedMembers(member, members, 4)).size, 4))
  })
  t.is(watchedMembers(fleetOf(3)[0], fleetOf(3), 4).length, 2)
})

test('every box is watched by the same number of others', (t) => {
  const members = fleetOf(690)
  const watchers = new Map<string, number>()
  members.forEach((member) => watchedMembers(member, members, 4).forEach(({ incarnation }) => watchers.set(incarnation, (watchers.get(incarnation) ?? 0) + 1)))
  t.deepEqual([...new Set(watchers.values())], [4])
})

test('an update reaches 690 boxes in few hops', (t) => {
  t.true(hopsToAll(fleetOf(690)) <= 20, `${hopsToAll(fleetOf(690))} hops`)
})
