import { z } from 'zod'

/** The software version that began a stream. */
export const streamOriginSchema = z.object({
  /** Id of the client's attempt that brought the stream's first event. */
  attempt: z.string(),
  model: z.string(),
  /** Software version of the engines that may go on with it; empty for engines without one. */
  version: z.string(),
  /** Time for which its client may still take it up. */
  keepMs: z.number().nonnegative(),
})

export type StreamOrigin = z.infer<typeof streamOriginSchema>
