import { type ContentChange } from '@reelspan/config.store'
import { type z } from 'zod'
import { boxSpecSchema, FleetEntryKind, upstreamSpecSchema } from './entries.js'
import { FleetList } from './fleetList.js'

/**
 * Reads the platform's list. An entry that cannot be read is left out
 * and does not keep the rest from use: unlike a declaration, the list
 * tells of what exists, whoever wrote it.
 */
export function parseFleetList (entries: readonly ContentChange[]): { value: FleetList, problems: string[] } {
  const parse = <T extends z.ZodObject>(kind: FleetEntryKind, schema: T) => entries
    .filter((entry) => entry.kind === kind)
    .flatMap(({ name, spec }) => {
      const result = schema.safeParse(spec)
      return result.success ? [{ ...result.data, name }] : []
    })
  const boxes = parse(FleetEntryKind.Box, boxSpecSchema)
  const upstreams = parse(FleetEntryKind.Upstream, upstreamSpecSchema)
  return { value: new FleetList(boxes, upstreams), problems: [] }
}
