import { z } from 'zod'
import { holdLabelSchema } from './holdLabel.js'

/** What a pool's coordinator answers to a call. */
export enum PoolOutcome {
  /** The call may be sent to the named upstream. */
  Granted = 'granted',
  /** The call still waits. The asking box asks again under the same label. */
  Waiting = 'waiting',
  /** The call cannot be served in time. */
  Refused = 'refused',
  /** The coordinator knows no upstream that the call may be sent to. */
  NoUpstream = 'noUpstream',
}

/** How a call to an upstream of a pool ended. */
export enum PoolCallOutcome {
  Answered = 'answered',
  /** The upstream refused it because it was full. */
  Full = 'full',
  Failed = 'failed',
  /** It was not sent. */
  NotSent = 'notSent',
}

/** A call to a service pool for which a box asks the pool's coordinator. */
export const poolCallSchema = z.object({
  label: holdLabelSchema,
  /** Empty if the request belongs to no client account. */
  account: z.string(),
  /** 0 is the most urgent. */
  urgency: z.number().int().nonnegative(),
  /** Remaining time in which an answer is in time. Negative if it is late already. */
  inTimeMs: z.number(),
  /** Remaining time in which an answer is useful. */
  usefulMs: z.number().nonnegative(),
  /** Upstreams that it must not be sent to. */
  avoid: z.array(z.string()),
  /** Identifies the request over its caller's attempts. */
  returnId: z.string().optional(),
})

export type PoolCall = z.infer<typeof poolCallSchema>

export const poolAnswerSchema = z.object({
  outcome: z.enum(PoolOutcome),
  upstream: z.string().optional(),
  retryAfterMs: z.number().nonnegative().optional(),
  /** Whether the account was over its share at the decision. */
  overShare: z.boolean().optional(),
})

export type PoolAnswer = z.infer<typeof poolAnswerSchema>

/** A call in flight that a box reports to a coordinator that does not know it. */
export const runningPoolCallSchema = z.object({
  label: holdLabelSchema,
  upstream: z.string(),
  ageMs: z.number().nonnegative(),
})

export type RunningPoolCall = z.infer<typeof runningPoolCallSchema>

/** Reports that a pool is short of capacity. */
export const poolShortageSchema = z.object({
  pool: z.string(),
  /** Concurrent calls that the pool's upstreams can take together. Omitted if unknown. */
  limit: z.number().positive().optional(),
  /** How long the pool counts as short without further reports, from the report on. */
  forMs: z.number().nonnegative(),
  ageMs: z.number().nonnegative(),
})

export type PoolShortage = z.infer<typeof poolShortageSchema>
