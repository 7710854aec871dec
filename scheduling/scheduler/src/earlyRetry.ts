import { type ReserveRequest } from '@reelspan/core.messages'

/** What is done with an attempt of a request that was refused with a retry delay, or of which another attempt waits. */
export enum RepeatOutcome {
  /** It is answered at once with the remaining retry delay. */
  Refuse = 'refuse',
  /** It is placed if there is capacity now, and otherwise refused with the remaining retry delay. */
  PlaceNow = 'placeNow',
  /** It waits behind first attempts. */
  Queue = 'queue',
}

export interface RepeatInputs {
  /** Time until the retry delay has passed; undefined if it was not refused, or the delay has passed. */
  remainingMs?: number
  /** Whether another attempt of the same request waits. */
  isAttemptWaiting: boolean
  priority: number
  /** Highest priority of the waiting requests; undefined if none waits. */
  highestWaiting?: number
}

/** Decides on an attempt that repeats an earlier one; undefined if it does not. It never takes the slot of a first attempt of its own priority. */
export function decideRepeat ({ remainingMs, isAttemptWaiting, priority, highestWaiting }: RepeatInputs): RepeatOutcome | undefined {
  if (isAttemptWaiting) return RepeatOutcome.Queue
  if (remainingMs === undefined) return undefined
  if (highestWaiting === undefined) return RepeatOutcome.PlaceNow
  // A less urgent request does not keep a more urgent one from a slot.
  return highestWaiting >= priority ? RepeatOutcome.Refuse : RepeatOutcome.Queue
}

/**
 * Identifies a request over its attempts. A prompt's last prefix covers two thirds of it or more, so different
 * prompts with a common beginning can have the same `returnId`; they rarely have the same sizes as well.
 */
export function returnKeyOf ({ returnId, client, promptTokens, maxTokens }: ReserveRequest): string {
  return `${returnId} ${promptTokens} ${maxTokens} ${client}`
}
