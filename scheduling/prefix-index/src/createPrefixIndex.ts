import { EventPrefixIndex } from './eventPrefixIndex.js'
import { HitJudgedPrefixIndex } from './hitJudgedPrefixIndex.js'
import { NoPrefixIndex } from './noPrefixIndex.js'
import { type PrefixIndex } from './prefixIndex.js'
import { TimeLimitPrefixIndex } from './timeLimitPrefixIndex.js'

export enum PrefixIndexKind {
  None = 'none',
  TimeLimit = 'timeLimit',
  Events = 'events',
  HitJudged = 'hitJudged',
}

const MAX_ENTRIES_PER_ENGINE = 4000
const TIME_LIMIT_MS = 30_000
const EVENT_LAG_MS = 1000

export function createPrefixIndex (kind: PrefixIndexKind): PrefixIndex {
  switch (kind) {
    case PrefixIndexKind.None: return new NoPrefixIndex()
    case PrefixIndexKind.TimeLimit: return new TimeLimitPrefixIndex(MAX_ENTRIES_PER_ENGINE, TIME_LIMIT_MS)
    case PrefixIndexKind.Events: return new EventPrefixIndex(MAX_ENTRIES_PER_ENGINE)
    case PrefixIndexKind.HitJudged: return new HitJudgedPrefixIndex(MAX_ENTRIES_PER_ENGINE, { eventLagMs: EVENT_LAG_MS, unconfirmedTtlMs: TIME_LIMIT_MS })
  }
}
