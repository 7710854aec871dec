import { z } from 'zod'
import { holdLabelSchema } from './holdLabel.js'

export enum PlacementOutcome {
  Placed = 'placed',
  Refused = 'refused',
}

/** The data of a request that a scheduler needs to place it. */
export const reserveRequestSchema = z.object({
  shardId: z.string(),
  label: holdLabelSchema,
  /** Identifies the request over its attempts, so that a retry is recognized. */
  returnId: z.string(),
  client: z.string(),
  priority: z.number().int(),
  promptTokens: z.number().int().positive(),
  prefixes: z.array(z.object({ digest: z.string(), tokens: z.number() })),
  maxTokens: z.number().int().positive(),
  /** Time left until the TTFT target. */
  ttftLeftMs: z.number(),
  /** Time left until the first token is no longer useful. If omitted, a token after the TTFT target is not useful. */
  patienceMs: z.number().optional(),
  tbtTargetMs: z.number().positive(),
  deadlineMs: z.number().positive(),
  /** Whether the decode engine may compute the prompt itself, without a prefill engine. */
  allowsOwnPrefill: z.boolean().optional(),
  /** Availability zone of the owner, which relays the streams. */
  availabilityZone: z.string().optional(),
  /** Engines at which this request has just failed. */
  avoid: z.array(z.string()),
  /** The software version that began the stream, which must go on with it. */
  softwareVersion: z.string().optional(),
  /** Whether the stream may be taken up at another engine of its version. */
  resumable: z.boolean().optional(),
})

/** The engines that run a request. They stay reserved until the reservation is released, or until the request's deadline plus a grace period. */
export const placementPlanSchema = z.object({
  outcome: z.literal(PlacementOutcome.Placed),
  prefillEngine: z.string(),
  prefillAddress: z.string(),
  decodeEngine: z.string(),
  decodeAddress: z.string(),
  kvBytes: z.number().nonnegative(),
  /** Wait this long before starting the prefill. */
  startInMs: z.number().nonnegative(),
  /** The plan is void if the prefill has not started within this time. */
  startWithinMs: z.number().nonnegative(),
  expectedTtftMs: z.number().nonnegative(),
})

export const placementRefusalSchema = z.object({
  outcome: z.literal(PlacementOutcome.Refused),
  reason: z.string(),
  retryAfterMs: z.number().nonnegative(),
  /** Time for which requests are expected to wait at the scheduler, so that a box refuses an early retry without asking. */
  busyForMs: z.number().nonnegative().optional(),
})

export const placementAnswerSchema = z.discriminatedUnion('outcome', [placementPlanSchema, placementRefusalSchema])

/** Observations of a finished request, used for estimates. */
export const placementReportSchema = z.object({
  completionTokens: z.number().int().nonnegative(),
  /** Time from the plan to the first token, minus the expected time. */
  ttftErrorMs: z.number(),
  /** Median time between events of the answer. An event can hold several tokens. */
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
