import { z } from 'zod'

export enum MemberHealth {
  Alive = 'alive',
  Suspect = 'suspect',
  /** Final for this incarnation. If the box still runs, it takes a new one. */
  Gone = 'gone',
}

/** The known state of one incarnation of a box. Addresses are `ip:port`. */
export const memberSchema = z.object({
  name: z.string(),
  availabilityZone: z.string(),
  peerAddress: z.string(),
  callerAddress: z.string(),
  /** Random identifier generated at start; distinguishes processes at one address. */
  incarnation: z.string(),
  /** Raised only by the member itself, to refute a suspicion or to change its own state. */
  version: z.number().int().nonnegative(),
  health: z.enum(MemberHealth),
  /** The member announced that it is about to stop. */
  leaving: z.boolean(),
  /** Capacity for work besides callers' requests, relative to other boxes; about the number of cores. */
  room: z.number().positive().optional(),
  /** Whether the member understands the messages about service pools, which earlier builds do not: they close a connection on which such a message arrives. */
  admitsPoolCalls: z.boolean().optional(),
  /** Whether no upstream accepts connections from the member, while others reach it. Omitted if that is not so. */
  upstreamsUnreachable: z.boolean().optional(),
  /** The same for engines alone. Earlier builds do not say so. */
  enginesUnreachable: z.boolean().optional(),
  /** The same for services alone. */
  servicesUnreachable: z.boolean().optional(),
  /** Whether the member runs relayed requests for others that cannot reach any upstream. Earlier builds do not. */
  runsForOthers: z.boolean().optional(),
  /** Whether the member understands the messages about the origins of streams. Earlier builds do not. */
  knowsStreamOrigins: z.boolean().optional(),
  /** The member that took over the records after a planned stop. */
  successor: z.object({ peerAddress: z.string(), incarnation: z.string() }).optional(),
})

export type Member = z.infer<typeof memberSchema>

/** The identity of a member: one incarnation. */
export function memberId (member: Member): string {
  return member.incarnation
}
