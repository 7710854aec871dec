/** Timings and token counts of a completion, for metrics. */
export interface RequestTimings {
  /** From acceptance to the first token. */
  ttftMs?: number
  /** Times between tokens. */
  tbtMs: number[]
  /** Prompt tokens that engines computed for this request, without cache hits. */
  prefilledTokens: number
  /** Computed prompt tokens whose result was not used. */
  wastedPrefillTokens: number
}
