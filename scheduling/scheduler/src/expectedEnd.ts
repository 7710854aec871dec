export interface ExpectedStream {
  /** When its first token is or was expected. */
  startAtMs: number
  /** Usual duration of such a stream. */
  usualMs: number
  /** When it ends at its maximum length. */
  latestEndMs: number
}

/** The minimum usual duration, so that the steps below have a length. */
const MIN_USUAL_MS = 1

/** Expected end of a stream. One that runs longer than usual is expected to end after the usual time again, and not later than the latest end. */
export function expectedEndMs ({ startAtMs, usualMs, latestEndMs }: ExpectedStream, nowMs: number): number {
  const stepMs = Math.max(MIN_USUAL_MS, usualMs)
  const steps = Math.max(1, Math.floor((nowMs - startAtMs) / stepMs) + 1)
  const endMs = startAtMs + steps * stepMs
  return latestEndMs > nowMs ? Math.min(endMs, latestEndMs) : endMs
}
