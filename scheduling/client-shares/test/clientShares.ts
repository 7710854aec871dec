import { ClientShares, fairLevel } from '@reelspan/scheduling.client-shares'
import test from 'ava'

const NOW_MS = 10_000

test('a level leaves to others what a client does not request, and counts weights', (t) => {
  t.is(fairLevel([{ weight: 1, demand: 1 }, { weight: 1, demand: 30 }, { weight: 1, demand: 5 }], 20), 14)
  t.is(fairLevel([{ weight: 3, demand: 30 }, { weight: 1, demand: 30 }], 20), 5)
  t.is(fairLevel([{ weight: 1, demand: 8 }, { weight: 1, demand: 12 }], 20), Number.POSITIVE_INFINITY)
})

test('a large account is over its share only relative to its weight, and only while another one lacks something', (t) => {
  const shares = new ClientShares()
  shares.start('large', 60, 3, NOW_MS)
  shares.start('small', 20, 1, NOW_MS)
  shares.setWaiting([{ client: 'large', cost: 5, weight: 3 }], NOW_MS)
  t.false(shares.isOverShare('large', NOW_MS), 'the other one has all that it requests')
  shares.setWaiting([{ client: 'large', cost: 5, weight: 3 }, { client: 'small', cost: 5, weight: 1 }], NOW_MS)
  t.deepEqual(['large', 'small'].map((client) => shares.isOverShare(client, NOW_MS)), [false, false], 'both have their shares')
  shares.start('large', 10, 3, NOW_MS)
  t.deepEqual(['large', 'small'].map((client) => shares.isOverShare(client, NOW_MS)), [true, false])
})

test('an account that starts to request is within its share until it has it, however long others held everything', (t) => {
  const shares = new ClientShares()
  shares.start('old', 100, 1, NOW_MS)
  const later = NOW_MS + 60_000
  shares.setWaiting([{ client: 'old', cost: 10, weight: 1 }, { client: 'new', cost: 60, weight: 1 }], later)
  t.true(shares.isOverShare('old', later), 'what is held does not decay')
  t.deepEqual([40, 60].map((ahead) => shares.isOverShare('new', later, ahead)), [false, true], 'its own requests count as it is served')
})

test('a refusal counts as demand for seconds, and a usage that ended is corrected and decays', (t) => {
  const shares = new ClientShares()
  shares.start('heavy', 90, 1, NOW_MS)
  shares.start('light', 10, 1, NOW_MS)
  shares.setWaiting([], NOW_MS)
  shares.recordRefusal({ client: 'light', cost: 10, weight: 1 }, NOW_MS)
  t.true(shares.isOverShare('heavy', NOW_MS))
  shares.end('heavy', { expected: 90, actual: 9 }, NOW_MS)
  t.false(shares.isOverShare('heavy', NOW_MS))
})

test('where demand is not recorded, equal parts count', (t) => {
  const shares = new ClientShares()
  shares.charge('heavy', 60, 1, NOW_MS)
  t.false(shares.isOverShare('heavy', NOW_MS), 'it is alone')
  shares.charge('light', 40, 1, NOW_MS)
  t.deepEqual(['heavy', 'light', 'unknown'].map((client) => shares.isOverShare(client, NOW_MS)), [true, false, false])
})

test('holding constantly costs the same as holding again and again', (t) => {
  const shares = new ClientShares()
  const cost = shares.costOfHolding(0.25, 200)
  Array.from({ length: 100 }, (_, i) => shares.charge('steady', cost, 1, NOW_MS + 200 * i))
  shares.charge('other', shares.costOfHolding(0.25, Number.POSITIVE_INFINITY) * 1.2, 1, NOW_MS + 20_000)
  t.deepEqual(['steady', 'other'].map((client) => shares.isOverShare(client, NOW_MS + 20_000)), [false, true])
})
