import { z } from 'zod'

/** State that an upstream advertised, and how long ago. */
export const upstreamStateUpdateSchema = z.object({
  /** Names one start of the upstream. */
  upstream: z.string(),
  /** Requests a second that it takes from all boxes together. Left out when it names no limit any more. */
  perSecond: z.number().nonnegative().optional(),
  draining: z.boolean().optional(),
  ageMs: z.number().nonnegative(),
})

export type UpstreamStateUpdate = z.infer<typeof upstreamStateUpdateSchema>
