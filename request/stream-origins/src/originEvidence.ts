import { type MessageOf, type MessageType } from '@reelspan/core.messages'
import { type CachedPart } from '@reelspan/upstream.client'
import { isContentKey } from './contentKey.js'
import { type Testimony } from './engineWitnesses.js'
import { type RoutedPath } from './routeTargets.js'

/** A stream that a client takes up. */
export interface OriginQuery {
  /** The attempt that brought its first event, if the client named it. */
  attempt?: string
  /** Hash of what its upstream receives; tells which stream it is if the client did not name the attempt. */
  content?: string
  model: string
  /** What chose its route. */
  routed?: RoutedPath
  /** The part of its prompt that no other request shares. */
  ownPart?: CachedPart
  /** Whether its route may have led to another model when the stream began. */
  mayBeOfOtherModel?: boolean
  /** The longest time for which clients wait, as far as this box knows: none takes up a stream that began longer ago. */
  keepMs: number
  /** How much longer its client waits, if it said so. It has waited for the rest of `keepMs` at most. */
  remainingMs?: number
}

/** Who knew the version of a stream. */
export enum OriginSource {
  /** This box has served or held the stream. */
  Own = 'own',
  Peers = 'peers',
  /** There was only one version. */
  List = 'list',
  /** Only engines of one version have generated something for it. */
  Engines = 'engines',
}

export interface FoundOrigin {
  version: string
  source: OriginSource
  /** Names of the boxes, or engines, that knew it. */
  knownBy: readonly string[]
}

export interface UnknownOrigin {
  reason: string
  /** When another try may succeed. Undefined if none will. */
  retryAfterMs?: number
  /** What engines reported of it, if they were asked. */
  testimony?: Testimony
}

/** A query whose client has waited for a time of which the upper bound is known. */
export interface BoundedQuery extends Omit<OriginQuery, 'content'> {
  maxAgeMs: number
}

/** What this box knows of a stream. */
export type OwnKnowledge = Omit<MessageOf<MessageType.StreamOriginContent>, 'type'>

/** What another box knows of it. */
export type Knowledge = OwnKnowledge & { box: string }

/** All that is known of a stream that a client takes up. */
export interface Evidence {
  query: BoundedQuery
  own: OwnKnowledge
  /** Of the boxes that have answered. */
  known: readonly Knowledge[]
  askedCount: number
  /** Whether another box has seen callers that wait longer than the query says. */
  mayBeOlder: boolean
}

const RETRY_AFTER_MS = 500
/** Age of a stream whose client waits longer than any is known to. */
const UNKNOWN_AGE_MS = Number.MAX_SAFE_INTEGER

/** Adds the longest time for which the client of a stream may have waited. A client that waits longer than any is known to may have begun at any time. */
export function withMaxAge (query: Omit<OriginQuery, 'content'>): BoundedQuery {
  const { keepMs, remainingMs = 0 } = query
  return { ...query, maxAgeMs: remainingMs <= keepMs ? keepMs - remainingMs : UNKNOWN_AGE_MS }
}

/** The version that boxes remember or conclude from their lists. */
export function versionAtBoxes (evidence: Evidence): FoundOrigin | undefined {
  const { query: { attempt } } = evidence
  return (attempt !== undefined && isContentKey(attempt) ? versionOfContent(evidence) : versionOfAttempt(evidence)) ?? versionInLists(evidence)
}

function versionOfAttempt ({ known }: Evidence): FoundOrigin | undefined {
  const knowing = known.filter(({ version }) => version !== undefined)
  const versions = new Set(knowing.map(({ version }) => version as string))
  return versions.size === 1 ? { version: [...versions][0], source: OriginSource.Peers, knownBy: knowing.map(({ box }) => box) } : undefined
}

/** Boxes that know several streams of a content count with all of their versions. */
function versionOfContent (evidence: Evidence): FoundOrigin | undefined {
  const { own, known } = evidence
  const versions = versionsRun(evidence)
  if (versions.size !== 1 || !mayGoOnAtModel(evidence) || !isMajority(evidence)) return undefined
  const knownBy = known.filter(({ version }) => version !== undefined).map(({ box }) => box)
  return { version: [...versions][0], source: own.version === undefined ? OriginSource.Peers : OriginSource.Own, knownBy }
}

/** The only version that there was since the stream began at the earliest, if this box and most of those asked know that. */
function versionInLists (evidence: Evidence): FoundOrigin | undefined {
  const { query, own, known, askedCount, mayBeOlder } = evidence
  const isConfirmed = own.coveredMs > 0 && (askedCount === 0 || 2 * known.length > askedCount)
  if (query.mayBeOfOtherModel || !mayGoOnAtModel(evidence) || hasLedElsewhere(evidence) || mayBeOlder || !isConfirmed) return undefined
  const versions = versionsListed(evidence)
  if (versions.size !== 1 || !all(evidence).some(({ coveredMs }) => coveredMs >= query.maxAgeMs)) return undefined
  return { version: [...versions][0], source: OriginSource.List, knownBy: known.map(({ box }) => box) }
}

/**
 * The only version of which engines have run the stream, as reported before to any box or just now to this one. Those
 * that this box does not list were not asked, so its list has to have all versions that others know.
 */
export function versionAtEngines (evidence: Evidence, testimony: Testimony | undefined): FoundOrigin | undefined {
  const { own, known } = evidence
  const isComplete = [...versionsListed(evidence)].every((version) => own.versions.includes(version))
  if (own.coveredMs === 0 || !isMajority(evidence) || !isComplete) return undefined
  const versions = new Set([...versionsRun(evidence), ...testimony?.versions ?? []])
  const isRemembered = known.some(({ version, isOfOtherModel }) => version !== undefined || isOfOtherModel)
  if (versions.size !== 1 || testimony?.isContested || isRemembered) return undefined
  return { version: [...versions][0], source: OriginSource.Engines, knownBy: testimony?.witnesses ?? [] }
}

/** Why nobody knows the version, and when another try may succeed. */
export function unknownOrigin (evidence: Evidence, testimony?: Testimony): UnknownOrigin {
  const { query, own, known, askedCount } = evidence
  const said = new Set(known.flatMap(({ version }) => version ?? []))
  if (said.size > 1) return { reason: `boxes differ on the version that began the stream: ${[...said].join(', ')}`, testimony }
  if (!mayGoOnAtModel(evidence)) return { reason: `the stream did not begin at the model ${query.model}`, testimony }
  const reason = `none of ${known.length} boxes that answered, of ${askedCount} asked, knows which version began the stream`
  const mayBeToldLater = known.length < askedCount || own.coveredMs === 0 || testimony?.isIncomplete
  const retryAfterMs = mayBeToldLater ? RETRY_AFTER_MS : conclusiveInMs(evidence)
  // A client that comes back later than it waits comes back in vain.
  return { reason, testimony, retryAfterMs: retryAfterMs !== undefined && retryAfterMs < (query.remainingMs ?? Number.POSITIVE_INFINITY) ? retryAfterMs : undefined }
}

/**
 * When the list may prove that there was one version since the stream began; undefined if it will not. The
 * stream of a client that says how much longer it waits grows as much older as the list grows longer.
 */
function conclusiveInMs (evidence: Evidence): number | undefined {
  const { query: { mayBeOfOtherModel, maxAgeMs, remainingMs } } = evidence
  const hasOneVersion = versionsListed(evidence).size === 1 && !hasLedElsewhere(evidence)
  const missingMs = maxAgeMs - Math.max(...all(evidence).map(({ coveredMs }) => coveredMs))
  return hasOneVersion && !mayBeOfOtherModel && remainingMs === undefined ? Math.max(missingMs, RETRY_AFTER_MS) : undefined
}

function all ({ own, known }: Evidence): OwnKnowledge[] {
  return [own, ...known]
}

function versionsListed (evidence: Evidence): Set<string> {
  return new Set(all(evidence).flatMap(({ versions }) => versions))
}

function versionsRun (evidence: Evidence): Set<string> {
  return new Set(all(evidence).flatMap(({ ranAt = [] }) => ranAt))
}

/** Whether no box knows that the stream began at another model. */
function mayGoOnAtModel (evidence: Evidence): boolean {
  return all(evidence).every(({ isOfOtherModel }) => !isOfOtherModel)
}

function hasLedElsewhere (evidence: Evidence): boolean {
  return all(evidence).some(({ mayHaveLedElsewhere }) => mayHaveLedElsewhere)
}

/** Whether most boxes, this one included, have answered. One lost box of three must not hide what is known. */
function isMajority ({ known, askedCount }: Evidence): boolean {
  return 2 * (known.length + 1) > askedCount + 1
}
