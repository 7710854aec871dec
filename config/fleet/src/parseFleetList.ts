import { type ContentChange } from '@reelspan/config.store'
import { type z } from 'zod'
import { boxSpecSchema, FleetEntryKind, type ListedBox, type ListedUpstream, upstreamSpecSchema } from './entries.js'
import { FleetList } from './fleetList.js'

/** The result of parsing a spec for an entry of that name. `entry` is undefined if the spec is invalid. */
interface ParsedSpec<T> {
  name: string
  entry?: T
}

/** Parsed entries by their spec object. A store keeps the spec object of an entry that has not changed. */
const parsedBoxes = new WeakMap<object, ParsedSpec<ListedBox>>()
const parsedUpstreams = new WeakMap<object, ParsedSpec<ListedUpstream>>()

/**
 * Parses the platform's list. An invalid entry is skipped and does not
 * invalidate the others: unlike a declaration, the list describes what
 * exists, whoever wrote it. Unchanged entries are parsed once: with 128
 * upstreams and ten changes a second, parsing all of them each time took
 * an eighth of a box's processor time.
 */
export function parseFleetList (entries: readonly ContentChange[]): { value: FleetList, problems: string[] } {
  const ofKind = (kind: FleetEntryKind) => entries.filter((entry) => entry.kind === kind)
  const boxes = ofKind(FleetEntryKind.Box).flatMap((entry) => parseEntry<ListedBox>(entry, boxSpecSchema, parsedBoxes) ?? [])
  const upstreams = ofKind(FleetEntryKind.Upstream).flatMap((entry) => parseEntry<ListedUpstream>(entry, upstreamSpecSchema, parsedUpstreams) ?? [])
  return { value: new FleetList(boxes, upstreams), problems: [] }
}

function parseEntry<T extends { name: string }> ({ name, spec }: ContentChange, schema: z.ZodType<Omit<T, 'name'>>, cache: WeakMap<object, ParsedSpec<T>>): T | undefined {
  if (typeof spec !== 'object' || spec === null) return undefined
  const before = cache.get(spec)
  if (before?.name === name) return before.entry
  const result = schema.safeParse(spec)
  const entry = result.success ? { ...result.data, name } as T : undefined
  cache.set(spec, { name, entry })
  return entry
}
