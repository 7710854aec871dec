import { z } from 'zod'

/** The kinds of entry in the platform's list. */
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
  /** The declared pool it belongs to. */
  pool: z.string(),
  leaving: z.boolean().default(false),
  /** What it is called over all its starts, where its name names one of them. */
  instance: z.string().optional(),
  /** When this start of it began, in Unix milliseconds by its own clock. Only starts of one instance can be compared. */
  startedAtMs: z.number().int().optional(),
})

/** A box that may be a member of the system. */
export type ListedBox = z.infer<typeof boxSpecSchema> & { name: string }

/** A back end. */
export type ListedUpstream = z.infer<typeof upstreamSpecSchema> & { name: string }
