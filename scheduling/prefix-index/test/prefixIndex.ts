import { createPrefixIndex, PrefixIndexKind } from '@reelspan/scheduling.prefix-index'
import test from 'ava'

const PREFIXES = [{ digest: 'a', tokens: 64 }, { digest: 'ab', tokens: 128 }]
const LATER_MS = 5000

function indexOf (kind: PrefixIndexKind) {
  const index = createPrefixIndex(kind)
  index.recordSent('e', PREFIXES, 0)
  return index
}

test('an index finds the longest prefix that was sent to an engine', (t) => {
  const known = [PrefixIndexKind.TimeLimit, PrefixIndexKind.Events, PrefixIndexKind.HitJudged]
  known.forEach((kind) => {
    t.is(indexOf(kind).cachedTokens('e', [...PREFIXES, { digest: 'abc', tokens: 192 }], LATER_MS), 128, kind)
    t.is(indexOf(kind).cachedTokens('other', PREFIXES, LATER_MS), 0, kind)
  })
  t.is(indexOf(PrefixIndexKind.None).cachedTokens('e', PREFIXES, 0), 0)
})

test('a removal is applied unless it is older than the last send', (t) => {
  const kinds = [PrefixIndexKind.Events, PrefixIndexKind.HitJudged]
  kinds.forEach((kind) => {
    const index = indexOf(kind)
    index.recordRemovals('e', { removedDigests: ['ab'], afterGap: false }, LATER_MS)
    t.is(index.cachedTokens('e', PREFIXES, LATER_MS), 64, kind)
    index.recordSent('e', PREFIXES, LATER_MS + 100)
    t.is(index.cachedTokens('e', PREFIXES, LATER_MS + 200), 128, kind)
  })
})

test('the time limit index expires entries by age only', (t) => {
  const index = indexOf(PrefixIndexKind.TimeLimit)
  index.recordRemovals('e', { removedDigests: ['ab'], afterGap: false }, LATER_MS)
  t.is(index.cachedTokens('e', PREFIXES, LATER_MS), 128)
  t.is(index.cachedTokens('e', PREFIXES, 31_000), 0)
})

test('a gap in the events invalidates old entries', (t) => {
  const events = indexOf(PrefixIndexKind.Events)
  events.recordRemovals('e', { removedDigests: [], afterGap: true }, LATER_MS)
  t.is(events.cachedTokens('e', PREFIXES, LATER_MS), 0)
  const judged = indexOf(PrefixIndexKind.HitJudged)
  judged.recordRemovals('e', { removedDigests: [], afterGap: true }, LATER_MS)
  t.is(judged.cachedTokens('e', PREFIXES, LATER_MS), 128, 'young enough')
  t.is(judged.cachedTokens('e', PREFIXES, 40_000), 0)
})

test('the number of entries per engine is bounded', (t) => {
  const index = createPrefixIndex(PrefixIndexKind.Events)
  for (let i = 0; i < 10_000; i++) index.recordSent('e', [{ digest: String(i), tokens: 64 }], i)
  t.is(index.size, 4000)
})
