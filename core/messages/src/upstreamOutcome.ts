import { z } from 'zod'

/** Outcome of a request that was sent to an upstream. */
export enum UpstreamOutcome {
  Answered = 'answered',
  /** The upstream answered with a failure, or its answer was interrupted. */
  Failed = 'failed',
  /** The connection failed, or the upstream did not respond. */
  Unreachable = 'unreachable',
}

/** Outcome of one call to an engine for a placement. */
export const engineOutcomeSchema = z.object({
  engine: z.string(),
  outcome: z.enum(UpstreamOutcome),
  /** Whether the engine refused the request for want of a slot or memory. Earlier builds ignore this. */
  full: z.boolean().optional(),
  /** Whether it is unreachable because it sent nothing on any connection, though none failed. Earlier builds ignore this. */
  silent: z.boolean().optional(),
})

export type EngineOutcome = z.infer<typeof engineOutcomeSchema>
