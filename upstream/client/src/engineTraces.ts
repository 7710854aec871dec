/** What an engine still knows of the requests that it has run. */
export interface EngineTraces {
  /** Requests that it runs, also those whose connections are gone. */
  runs: readonly EngineRun[]
  /** Parts of prompts in its KV cache. */
  cachedParts: readonly CachedPart[]
}

export interface EngineRun {
  requestId: string
  /** Events of the answer that it has made. */
  events: number
}

export interface CachedPart {
  digest: string
  /** Includes what was generated behind the last part of a prompt. */
  tokens: number
}
