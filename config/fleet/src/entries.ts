import { z } from 'zod'

/** Kinds of entries in the platform's list. */
export enum FleetEntryKind {
  Box = 'box',
  Upstream = 'upstream',
}

export enum UpstreamKind {
  Engine = 'engine',
  Service = 'service',
}

const address = z.string().regex(/^[\d.:[\]a-f]+:\d+$/, 'an address of the form ip:port')

export const boxSpecSchema = z.object({
  peerAddress: address,
  availabilityZone: z.string(),
  leaving: z.boolean().default(false),
})

export const upstreamSpecSchema = z.object({
  kind: z.enum(UpstreamKind),
  address,
  availabilityZone: z.string(),
  /** The declared pool that it belongs to. */
  pool: z.string(),
  leaving: z.boolean().default(false),
  /** Version of the upstream's software, not of a model's weights. What two of them write does not fit into one stream. */
  softwareVersion: z.string().optional(),
  /** Name of the upstream over all its starts, if `name` identifies a single start. */
  instance: z.string().optional(),
  /** Start time in Unix milliseconds, by the upstream's own clock. Comparable only between starts of one instance. */
  startedAtMs: z.number().int().optional(),
})

/** A box that may be a member of the system. */
export type ListedBox = z.infer<typeof boxSpecSchema> & { name: string }

/** An upstream in the platform's list. */
export type ListedUpstream = z.infer<typeof upstreamSpecSchema> & { name: string }

/** The software version of an upstream. Those without one count as one version. */
export function softwareVersionOf ({ softwareVersion = '' }: Pick<ListedUpstream, 'softwareVersion'>): string {
  return softwareVersion
}
