import { z } from 'zod'
import { bytesSchema } from './bytesSchema.js'

export enum RequestKind {
  Completion = 'completion',
  Service = 'service',
}

const commonShape = {
  /** Identifies the request at its owner. */
  key: z.string(),
  route: z.string(),
  client: z.string(),
  /** The request may run at most once. */
  notRepeatable: z.boolean(),
  /** Time left until the caller no longer needs the answer. */
  deadlineMs: z.number().positive(),
}

const completionSchema = z.object({
  ...commonShape,
  kind: z.literal(RequestKind.Completion),
  model: z.string(),
  prompt: z.string(),
  maxTokens: z.number().int().positive(),
  /** Requests with a larger value are served first. */
  priority: z.number().int(),
  ttftTargetMs: z.number().positive(),
  tbtTargetMs: z.number().positive(),
})

const serviceSchema = z.object({
  ...commonShape,
  kind: z.literal(RequestKind.Service),
  method: z.string(),
  path: z.string(),
  contentType: z.string().optional(),
  body: bytesSchema,
})

export const requestSchema = z.discriminatedUnion('kind', [completionSchema, serviceSchema])

export type CompletionRequest = z.infer<typeof completionSchema>
export type ServiceRequest = z.infer<typeof serviceSchema>
export type RoutedRequest = z.infer<typeof requestSchema>
