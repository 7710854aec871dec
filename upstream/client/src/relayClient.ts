import { type UpstreamSignals } from './upstreamSignals.js'
import { type UpstreamCallOptions } from './engineClient.js'

/** Declared sizes of a prompt that is itself opaque. */
export interface PromptSizes {
  model: string
  promptTokens: number
  /** The most tokens that the answer may have. */
  maxTokens: number
  /** The caller's own estimate of the answer's tokens. At the median it is right. */
  expectedTokens?: number
  /** Beginnings of the prompt that other prompts may share, each with the tokens up to its end. */
  prefixes: readonly { digest: string, tokens: number }[]
}

/** A caller's request, which upstreams get as it came. */
export interface RelayedRequest {
  /** The caller's name for this attempt. A retry has another one. */
  id: string
  method: string
  host: string
  /** Path and query. */
  target: string
  /** Names and values in turn, without those that concern one connection. */
  headers: readonly string[]
  body: Uint8Array
  prompt?: PromptSizes
  /** Number of the last event that the caller has of an earlier attempt's answer. */
  resumeAfter?: string
  /** Where the caller is: its IP number. */
  callerAddress: string
  /** Digest of the client account's key that came with it, if any. The key itself is not kept. */
  keyDigest?: string
  /** The client account that it was taken in for. Upstreams are told. */
  account?: string
}

/** One incarnation of an upstream. Any other one at the address refuses the request unrun. */
export interface RelayTarget {
  instance: string
  address: string
}

/** Where a decode engine fetches the KV cache of a prompt. */
export interface PrefillSource {
  address: string
  handle: string
}

export interface RelayCallOptions {
  signal: AbortSignal
  /** Time that the upstream has for the request. */
  deadlineMs: number
  /** The upstream may act on the request from now on. Always called before anything is sent. */
  onSend?: () => void
  /** Called with each response head: success, failure or refusal. */
  onSignals?: (signals: UpstreamSignals) => void
}

export interface RelayRunOptions extends RelayCallOptions {
  source?: PrefillSource
  /** Goes on behind this event of an answer that broke off. */
  resumeAfter?: string
  /** 0 is the most urgent. */
  urgency?: number
}

/** An upstream's answer, as it came. */
export interface RelayAnswer {
  status: number
  /** The upstream says that it did not run the request and will not. */
  notRun: boolean
  headers: readonly string[]
  body: AsyncIterable<Uint8Array>
}

/** A prompt whose KV cache an engine keeps for a short while. */
export interface PrefilledPrompt {
  handle: string
  promptTokens: number
}

/** Sends opaque requests to upstreams, each exactly once. Every method throws `UpstreamError`. */
export abstract class RelayClient {
  /** Runs the request. Resolves with the head of the answer. */
  abstract run (target: RelayTarget, request: RelayedRequest, opts: RelayRunOptions): Promise<RelayAnswer>

  /** Computes the KV cache of the prompt and nothing more. */
  abstract prefill (target: RelayTarget, request: RelayedRequest, opts: RelayCallOptions): Promise<PrefilledPrompt>

  /** Frees what an engine keeps of a prompt. */
  abstract free (source: PrefillSource, opts: UpstreamCallOptions): Promise<void>
}
