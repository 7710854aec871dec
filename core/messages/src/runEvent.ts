import { z } from 'zod'

/** Ends of runs that are evidence about the request itself. */
export enum RunEnd {
  /** The upstream's process exited while it ran the request. */
  UpstreamEnded = 'upstreamEnded',
  /** The request ran to completion. */
  Finished = 'finished',
}

/** The end of a request's run at an upstream, as announced between boxes. */
export const runEventSchema = z.object({
  /** Identifies the event at all boxes. */
  id: z.string(),
  end: z.enum(RunEnd),
  /** Hash of the request's content as sent to upstreams. */
  content: z.string(),
  /** Hash of the request's caller. */
  caller: z.string(),
  /** The upstream that exited, if any. */
  upstream: z.string().optional(),
  /** Time since the run ended. */
  ageMs: z.number().nonnegative(),
  /** Time between sending the request to the upstream and the end of the run. */
  ranMs: z.number().nonnegative(),
})

export type RunEvent = z.infer<typeof runEventSchema>
