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
})

/** A box that may be a member of the system. */
export type ListedBox = z.infer<typeof boxSpecSchema> & { name: string }

/** A back end. */
export type ListedUpstream = z.infer<typeof upstreamSpecSchema> & { name: string }
