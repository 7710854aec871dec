import { prefixDigests, rankByRendezvous, tokensOfText, topByRendezvous } from '@reelspan/core.hashing'
import test from 'ava'

const MEMBERS = Array.from({ length: 40 }, (_, i) => `box-${i}`)

test('the top member is the first of the ranking', (t) => {
  for (let i = 0; i < 200; i++) t.is(topByRendezvous(`k${i}`, MEMBERS, String), rankByRendezvous(`k${i}`, MEMBERS, String)[0])
  t.is(topByRendezvous('k', [], String), undefined)
})

test('losing a member moves only its own keys', (t) => {
  for (let i = 0; i < 200; i++) {
    const before = topByRendezvous(`k${i}`, MEMBERS, String)
    const after = topByRendezvous(`k${i}`, MEMBERS.slice(1), String)
    if (before !== MEMBERS[0]) t.is(after, before)
  }
})

test('keys spread evenly', (t) => {
  const counts = new Map<string, number>()
  for (let i = 0; i < 8000; i++) {
    const top = topByRendezvous(`k${i}`, MEMBERS, String) as string
    counts.set(top, (counts.get(top) ?? 0) + 1)
  }
  t.true(Math.max(...counts.values()) < 300 && Math.min(...counts.values()) > 120)
})

test('prompts with the same beginning share its digests, and the list stays short', (t) => {
  const shared = 'guidance '.repeat(2000)
  const one = prefixDigests(`${shared} one`)
  const two = prefixDigests(`${shared} two and more`)
  const common = one.filter(({ digest }, i) => two[i]?.digest === digest)
  t.true((common.at(-1)?.tokens ?? 0) >= tokensOfText(shared) * 2 / 3)
  t.true(prefixDigests('x'.repeat(200_000)).length <= 22)
  t.deepEqual(prefixDigests('short'), [])
})
