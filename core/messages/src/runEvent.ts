import { z } from 'zod'

/** Ends of runs that are evidence about the request itself. */
export enum RunEnd {
  /** The upstream's process exited while it ran the request. */
  UpstreamEnded = 'upstreamEnded',
  /** The request ran to completion. */
  Finished = 'finished',
}

/**
 * The end of a request's run at an upstream, as announced between boxes. A finished run with `parts` is a clearance:
 * runs of any requests with these prompt parts did not crash their upstreams.
 */
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
  /** Time between the end of the run and the moment at which its upstream was known to have exited; 0 if that was found out by a probe. */
  exitKnownAfterMs: z.number().nonnegative().optional(),
  /** Time between sending the request to the upstream and the end of the run. */
  ranMs: z.number().nonnegative(),
  /** Hashes of the prompt parts that other requests may share. Earlier builds drop this field and the following ones. */
  parts: z.array(z.string()).optional(),
  /** Time between the first and the last event of the answer, if there was one. A clearance has it unless the answer was complete. */
  writtenMs: z.number().nonnegative().optional(),
  /** Model or pool that the request was sent to, and the software version of the upstream. */
  targetVersion: z.string().optional(),
  /** Pool and availability zone of the upstream that exited. */
  pool: z.string().optional(),
  availabilityZone: z.string().optional(),
})

export type RunEvent = z.infer<typeof runEventSchema>
