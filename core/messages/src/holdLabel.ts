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

const INCARNATION = /^[0-9a-f]{16}$/

/** Whether a label was made by reelspan, and not by something else that uses the engine beside it. */
export function isOwnLabel ({ ownerIncarnation }: HoldLabel): boolean {
  return INCARNATION.test(ownerIncarnation)
}

/** Whether both labels belong to the same request of the same owner. */
export function sameHolder (a: HoldLabel, b: HoldLabel): boolean {
  return holdLabelKey(a) === holdLabelKey(b)
}
