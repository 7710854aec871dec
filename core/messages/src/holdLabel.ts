import { z } from 'zod'

/** Stands on whatever an engine holds for a request: who answers for it and for how long at most. */
export const holdLabelSchema = z.object({
  ownerAddress: z.string(),
  ownerIncarnation: z.string(),
  requestId: z.string(),
  /** Longest time that anything with this label may be held, counted by each reader on its own clock. */
  maxHoldMs: z.number().nonnegative(),
})

export type HoldLabel = z.infer<typeof holdLabelSchema>

/** Names the request behind a label, unique over all boxes and incarnations. */
export function holdLabelKey (label: HoldLabel): string {
  return `${label.ownerIncarnation}/${label.requestId}`
}

/** Whether both labels belong to the same request of the same owner. */
export function sameHolder (a: HoldLabel, b: HoldLabel): boolean {
  return holdLabelKey(a) === holdLabelKey(b)
}
