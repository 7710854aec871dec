import { z } from 'zod'

/** Label of everything that an engine holds for a request: its owner and the maximum duration. */
export const holdLabelSchema = z.object({
  ownerAddress: z.string(),
  ownerIncarnation: z.string(),
  requestId: z.string(),
  /** Maximum hold time of anything with this label, measured by each reader on its own clock. */
  maxHoldMs: z.number().nonnegative(),
})

export type HoldLabel = z.infer<typeof holdLabelSchema>

/** Returns the key of a label's request, unique over all boxes and incarnations. */
export function holdLabelKey (label: HoldLabel): string {
  return `${label.ownerIncarnation}/${label.requestId}`
}

const INCARNATION = /^[0-9a-f]{16}$/

/** Whether a label was created by reelspan and not by another user of the engine. */
export function isOwnLabel ({ ownerIncarnation }: HoldLabel): boolean {
  return INCARNATION.test(ownerIncarnation)
}

/** Whether both labels belong to the same request of the same owner. */
export function isSameHolder (a: HoldLabel, b: HoldLabel): boolean {
  return holdLabelKey(a) === holdLabelKey(b)
}
