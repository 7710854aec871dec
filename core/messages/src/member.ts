import { z } from 'zod'

export enum MemberHealth {
  Alive = 'alive',
  Suspect = 'suspect',
  /** Final for this incarnation. The box behind it takes a new one if it still runs. */
  Gone = 'gone',
}

/** What is believed of one incarnation of a box. Addresses are `ip:port`. */
export const memberSchema = z.object({
  name: z.string(),
  availabilityZone: z.string(),
  peerAddress: z.string(),
  callerAddress: z.string(),
  /** Drawn at start; tells two processes at one address apart. */
  incarnation: z.string(),
  /** Raised by the member alone, to refute suspicion or to change what it says of itself. */
  version: z.number().int().nonnegative(),
  health: z.enum(MemberHealth),
  /** The member said that it is about to stop. */
  leaving: z.boolean(),
  /** How much work the box can do beside its callers' requests, against others; about the cores that it has. */
  room: z.number().positive().optional(),
  /** Who took over the records of a member that stopped as planned. */
  successor: z.object({ peerAddress: z.string(), incarnation: z.string() }).optional(),
})

export type Member = z.infer<typeof memberSchema>

/** The identity of a member: one incarnation. */
export function memberId (member: Member): string {
  return member.incarnation
}
