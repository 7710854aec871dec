import { type Member, MemberHealth } from '@reelspan/core.messages'
import { ExpectedBoxes } from '@reelspan/membership.limits'
import test from 'ava'

const SILENT_GONE_MS = 600_000
const LISTED = ['a', 'b', 'c', 'd']

function memberAt (peerAddress: string, health = MemberHealth.Alive): Member {
  return { name: peerAddress, availabilityZone: 'z', peerAddress, callerAddress: '', incarnation: peerAddress, version: 0, health, leaving: false }
}

function startWith (addresses: readonly string[], isComplete: boolean) {
  const known = { members: [memberAt('a')] }
  const boxes = new ExpectedBoxes({ startedAtMs: 0, selfAddress: 'a', list: () => ({ addresses, isComplete }), members: () => known.members, silentGoneMs: SILENT_GONE_MS })
  return {
    boxes,
    learn: (nowMs: number, ...members: Member[]) => {
      known.members = [...known.members, ...members]
      boxes.observeMembers(nowMs)
    }
  }
}

test('a box that knows only itself is not settled, and is one of as many as are listed', (t) => {
  const { boxes, learn } = startWith(LISTED, true)
  t.false(boxes.isSettled(100))
  t.is(boxes.reachableShare(100), 1 / 4)
  learn(200, memberAt('b'), memberAt('c', MemberHealth.Suspect), memberAt('d'))
  t.false(boxes.isSettled(200))
  learn(300, ...['e', 'f', 'g', 'h', 'i', 'j'].map((address) => memberAt(address)))
  t.true(boxes.isSettled(300))
  t.is(boxes.reachableShare(300), 9 / 10)
  t.is(boxes.ownShare(300), 1 / 10)
})

test('seed addresses do not tell how many boxes there are, so that a box with seeds only waits until it learns of no further ones', (t) => {
  const { boxes, learn } = startWith(['a', 'b'], false)
  learn(900, memberAt('b'))
  t.false(boxes.isSettled(1399))
  t.true(boxes.isSettled(1400))
})

test('a box that reaches no other one considers itself alone only after some seconds', (t) => {
  const { boxes } = startWith(['b'], false)
  t.false(boxes.isSettled(4999))
  t.true(boxes.isSettled(5000))
})

test('a box without a list and without seed addresses of others is a fleet of its own', (t) => {
  t.true(startWith([], false).boxes.isSettled(0))
  t.true(startWith(['a'], false).boxes.isSettled(0))
})

test('a listed box that is not a member counts until its address refuses connections, or for as long as a silent member', (t) => {
  const { boxes } = startWith(LISTED, true)
  boxes.recordRefused('b', 1000)
  t.is(boxes.reachableShare(6000), 1 / 4, 'it may have been about to start')
  boxes.recordRefused('b', 6000)
  t.is(boxes.reachableShare(6000), 1 / 3)
  t.is(boxes.reachableShare(SILENT_GONE_MS + 1), 1)
})

test('boxes that start on two sides of a partition with the same seeds grant one limit together', (t) => {
  const sides = [['b', 'e', 'f'], ['g']].map((members) => {
    const { boxes, learn } = startWith(['a', 'b', 'c', 'd'], false)
    learn(100, ...members.map((address) => memberAt(address)))
    return boxes
  })
  // In the second one, «a» is on this side, and the others are beyond the partition.
  t.deepEqual(sides.map((boxes) => boxes.reachableShare(2000)), [2 / 4, 1 / 4])
})
