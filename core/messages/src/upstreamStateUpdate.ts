import { z } from 'zod'

/** State that an upstream advertised, with its age. */
export const upstreamStateUpdateSchema = z.object({
  /** Identifies one start of the upstream. */
  upstream: z.string(),
  /** Requests per second that it accepts from all boxes together. Omitted if it no longer advertises a limit. */
  perSecond: z.number().nonnegative().optional(),
  draining: z.boolean().optional(),
  ageMs: z.number().nonnegative(),
})

export type UpstreamStateUpdate = z.infer<typeof upstreamStateUpdateSchema>
