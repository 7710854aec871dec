import { z } from 'zod'

/** How a request that was sent to an upstream ended there. */
export enum UpstreamOutcome {
  Answered = 'answered',
  /** An answer that says that the upstream failed, or one that broke off. */
  Failed = 'failed',
  /** No connection, or silence. */
  Unreachable = 'unreachable',
}

/** What became of one call to an engine that a placement led to. */
export const engineOutcomeSchema = z.object({
  engine: z.string(),
  outcome: z.enum(UpstreamOutcome),
})

export type EngineOutcome = z.infer<typeof engineOutcomeSchema>
