/** How a completion went, for metrics. */
export interface RequestTimings {
  /** From acceptance to the first token. */
  ttftMs?: number
  /** Times between tokens. */
  tbtMs: number[]
  /** Prompt tokens that engines computed (not from their caches) for this request. */
  prefilledTokens: number
  /** Those of them whose result came to nothing. */
  wastedPrefillTokens: number
}
