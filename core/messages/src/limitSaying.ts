import { z } from 'zod'

/** What an upstream said of its limit, and how long ago. */
export const limitSayingSchema = z.object({
  /** Names one start of the upstream. */
  upstream: z.string(),
  /** Requests a second that it takes from all boxes together. Left out when it names no limit any more. */
  perSecond: z.number().nonnegative().optional(),
  ageMs: z.number().nonnegative(),
})

export type LimitSaying = z.infer<typeof limitSayingSchema>
