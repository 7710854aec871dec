import { z } from 'zod'
import { holdLabelSchema } from './holdLabel.js'

export enum PlacementOutcome {
  Placed = 'placed',
  Refused = 'refused',
}

/** What a scheduler needs to know of a request to place it. */
export const reserveRequestSchema = z.object({
  shardId: z.string(),
  label: holdLabelSchema,
  /** Names the request over its tries, so that one that was asked to come back is known again. */
  returnId: z.string(),
  client: z.string(),
  priority: z.number().int(),
  promptTokens: z.number().int().positive(),
  prefixes: z.array(z.object({ digest: z.string(), tokens: z.number() })),
  maxTokens: z.number().int().positive(),
  /** Time left until the first token is late. */
  ttftLeftMs: z.number(),
  /** Time left until the first token is of no use any more. Without it, a late one is of none. */
  patienceMs: z.number().optional(),
  tbtTargetMs: z.number().positive(),
  deadlineMs: z.number().positive(),
  /** Whether the owner can do without a prefill engine: its decode engine may then compute the prompt itself. */
  allowsOwnPrefill: z.boolean().optional(),
  /** Where the owner is. Streams go through it. */
  availabilityZone: z.string().optional(),
  /** Engines that just failed this request. */
  avoid: z.array(z.string()),
})

/** Where a request runs. Everything in it is reserved until `lifeMs` after it was made or its release. */
export const placementPlanSchema = z.object({
  outcome: z.literal(PlacementOutcome.Placed),
  prefillEngine: z.string(),
  prefillAddress: z.string(),
  decodeEngine: z.string(),
  decodeAddress: z.string(),
  kvBytes: z.number().nonnegative(),
  /** Wait this long before starting the prefill. */
  startInMs: z.number().nonnegative(),
  /** The prefill must have been started by then, or the plan is void. */
  startWithinMs: z.number().nonnegative(),
  expectedTtftMs: z.number().nonnegative(),
})

export const placementRefusalSchema = z.object({
  outcome: z.literal(PlacementOutcome.Refused),
  reason: z.string(),
  retryAfterMs: z.number().nonnegative(),
})

export const placementAnswerSchema = z.discriminatedUnion('outcome', [placementPlanSchema, placementRefusalSchema])

/** How a placed request that finished went, to learn from. */
export const placementReportSchema = z.object({
  completionTokens: z.number().int().nonnegative(),
  /** First token after the plan was made, less what the plan expected. */
  ttftErrorMs: z.number(),
  /** Median time between tokens. */
  tbtP50Ms: z.number().nonnegative(),
})

/** Whether the decode engine of a placement computes the prompt itself. */
export function isOwnPrefill ({ prefillEngine, decodeEngine }: { prefillEngine: string, decodeEngine: string }): boolean {
  return prefillEngine === decodeEngine
}

export type PlacementReport = z.infer<typeof placementReportSchema>
export type ReserveRequest = z.infer<typeof reserveRequestSchema>
export type PlacementPlan = z.infer<typeof placementPlanSchema>
export type PlacementRefusal = z.infer<typeof placementRefusalSchema>
export type PlacementAnswer = z.infer<typeof placementAnswerSchema>
