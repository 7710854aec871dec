import { ErrorCode, Verdict } from '@reelspan/core.error'
import { z } from 'zod'
import { bytesSchema } from './bytesSchema.js'

export enum AnswerEventKind {
  Token = 'token',
  Response = 'response',
  Final = 'final',
}

const tokenEventSchema = z.object({
  kind: z.literal(AnswerEventKind.Token),
  /** Position in the answer, from 0, without gaps. */
  index: z.number().int().nonnegative(),
  text: z.string(),
})

const responseEventSchema = z.object({
  kind: z.literal(AnswerEventKind.Response),
  status: z.number().int(),
  contentType: z.string(),
  body: bytesSchema,
})

export const finalSchema = z.object({
  kind: z.literal(AnswerEventKind.Final),
  verdict: z.enum(Verdict),
  code: z.enum(ErrorCode).optional(),
  message: z.string().optional(),
  retryAfterMs: z.number().nonnegative().optional(),
  /** Number of preceding tokens, or 1 for a service's response. */
  eventCount: z.number().int().nonnegative(),
  promptTokens: z.number().int().nonnegative().optional(),
})

/** One event of an answer: any number of tokens or one response, followed by one final event. */
export const answerEventSchema = z.discriminatedUnion('kind', [tokenEventSchema, responseEventSchema, finalSchema])

export type TokenEvent = z.infer<typeof tokenEventSchema>
export type ResponseEvent = z.infer<typeof responseEventSchema>
export type FinalAnswer = z.infer<typeof finalSchema>
export type AnswerEvent = z.infer<typeof answerEventSchema>
