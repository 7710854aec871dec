import { z } from 'zod'

/** Ends of runs that say something of the request itself. */
export enum RunEnd {
  /** The upstream's process ended while it ran the request. */
  UpstreamEnded = 'upstreamEnded',
  /** The request ran to its end. */
  Finished = 'finished',
}

/** How a run of a request ended at an upstream, as boxes tell each other. */
export const runEventSchema = z.object({
  /** Names the event at all boxes. */
  id: z.string(),
  end: z.enum(RunEnd),
  /** Hash of what upstreams get of the request. */
  content: z.string(),
  /** Hash of who sent it. */
  caller: z.string(),
  /** The upstream that ended; left out where none did. */
  upstream: z.string().optional(),
  /** How long ago the run ended. */
  ageMs: z.number().nonnegative(),
  /** How long before its end the upstream had been sent the request. */
  ranMs: z.number().nonnegative(),
})

export type RunEvent = z.infer<typeof runEventSchema>
