import { z } from 'zod'
import { finalSchema } from './answer.js'
import { bytesSchema } from './bytesSchema.js'

const durationMs = z.number().nonnegative()

/** A relayed request that another box runs for the box that received it. */
export const delegatedRequestSchema = z.object({
  id: z.string(),
  method: z.string(),
  host: z.string(),
  target: z.string(),
  headers: z.array(z.string()),
  body: bytesSchema,
  prompt: z.object({
    model: z.string(),
    promptTokens: z.number().positive(),
    maxTokens: z.number().positive(),
    expectedTokens: z.number().positive().optional(),
    prefixes: z.array(z.object({ digest: z.string(), tokens: z.number() })),
  }).optional(),
  /** The caller has received the answer up to the event with this ID. */
  resumeAfter: z.string().optional(),
  /** The software version that must go on with the stream. */
  softwareVersion: z.string().optional(),
  callerAddress: z.string(),
  account: z.string().optional(),
})

export type DelegatedRequest = z.infer<typeof delegatedRequestSchema>

/** How a delegated request is to be run. */
export const delegationTermsSchema = z.object({
  /** Distinguishes the run from all others of all boxes. */
  runId: z.string(),
  /** Name of the box that delegates the request. */
  box: z.string(),
  /** Time left for the request. */
  deadlineMs: durationMs,
  /** Time since the request arrived. */
  elapsedMs: durationMs,
  urgency: z.number(),
  /** Upstreams to which the request was already sent. They count as attempts. */
  attemptsUsed: z.number().int().nonnegative(),
  /** Revision of the declarations by which the request was admitted. */
  revision: z.number().int().nonnegative(),
})

export type DelegationTerms = z.infer<typeof delegationTermsSchema>

export enum DelegatedEventKind {
  /** The request was sent to an upstream and may run from then on. */
  Sent = 'sent',
  Head = 'head',
  Data = 'data',
  /** The answer is complete. */
  Finished = 'finished',
  /** The answer was interrupted and stays incomplete. */
  Aborted = 'aborted',
  /** The request has no answer of an upstream. */
  Refused = 'refused',
}

/** One event of a delegated run: any number of `sent`, one `head`, any number of `data`, and one of the last three. */
export const delegatedEventSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(DelegatedEventKind.Sent),
    upstream: z.string(),
    /** Software version of the upstream; empty if it has none. Earlier builds omit it. */
    softwareVersion: z.string().optional(),
  }),
  z.object({ kind: z.literal(DelegatedEventKind.Head), status: z.number().int(), headers: z.array(z.string()) }),
  z.object({ kind: z.literal(DelegatedEventKind.Data), bytes: bytesSchema }),
  z.object({ kind: z.literal(DelegatedEventKind.Finished) }),
  z.object({ kind: z.literal(DelegatedEventKind.Aborted), reason: z.string() }),
  z.object({ kind: z.literal(DelegatedEventKind.Refused), final: finalSchema }),
])

export type DelegatedEvent = z.infer<typeof delegatedEventSchema>
