import { type AnswerBuffer } from './answerBuffer.js'
import { type AnswerFraming } from './answerFraming.js'
import { type UpstreamSignals } from './upstreamSignals.js'
import { type UpstreamCallOptions } from './engineClient.js'

/** Declared sizes of a prompt that is itself opaque. */
export interface PromptSizes {
  model: string
  promptTokens: number
  /** Maximum number of tokens in the answer. */
  maxTokens: number
  /** The caller's estimate of the answer's length in tokens. It is correct at the median. */
  expectedTokens?: number
  /** Prefixes that the prompt may share with other prompts, each with its length in tokens. */
  prefixes: readonly { digest: string, tokens: number }[]
}

/** A caller's request, passed to upstreams unchanged. */
export interface RelayedRequest {
  /** The caller's ID of this attempt. A retry has a different ID. */
  id: string
  method: string
  host: string
  /** Path and query. */
  target: string
  /** Alternating names and values, without hop-by-hop headers. */
  headers: readonly string[]
  body: Uint8Array
  prompt?: PromptSizes
  /** ID of the last event that the caller received of an earlier attempt's answer. */
  resumeAfter?: string
  /** ID of the earlier attempt that brought the first event of the stream that is taken up. */
  resumesAttempt?: string
  /** The software version that must go on with the stream, found out by the box that delegates the request. */
  softwareVersion?: string
  /** The caller's IP address. */
  callerAddress: string
  /** Digest of the client account key sent with the request, if any. The key itself is not kept. */
  keyDigest?: string
  /** The client account under which the request was admitted. It is passed to upstreams. */
  account?: string
}

/** One incarnation of an upstream. Any other incarnation at the address refuses the request without running it. */
export interface RelayTarget {
  instance: string
  address: string
}

/** The engine from which a decode engine fetches the KV cache of a prompt. */
export interface PrefillSource {
  address: string
  handle: string
}

export interface RelayCallOptions {
  signal: AbortSignal
  /** Time left for the upstream to complete the request. */
  deadlineMs: number
  /** Called before anything is sent. From then on the upstream may act on the request. */
  onSend?: () => void
  /** Called with the signals of each response head: success, failure or refusal. */
  onSignals?: (signals: UpstreamSignals) => void
}

export interface RelayRunOptions extends RelayCallOptions {
  /** Accounts for the bytes of the answer that are received and not passed on yet. */
  buffer?: AnswerBuffer
  source?: PrefillSource
  /** Resumes an interrupted answer after the event with this ID. */
  resumeAfter?: string
  /** 0 is the most urgent. */
  urgency?: number
}

/** Where an exchange ran, for logs. */
export interface ConnectionUse {
  /** Number of the connection among those that this box has opened to upstreams. */
  connection: number
  /** Number of the exchange among those on the connection. */
  exchange: number
}

/** An upstream's answer, unchanged. */
export interface RelayAnswer {
  status: number
  /** The upstream reports that it did not run the request and will not run it. */
  notRun: boolean
  /** The upstream's signature is missing, without which a success does not count. */
  unsigned?: boolean
  headers: readonly string[]
  /** What ends the body, if the transport knows it. */
  framing?: AnswerFraming
  /** The connection on which it arrived, if the transport knows it. */
  use?: ConnectionUse
  body: AsyncIterable<Uint8Array>
  /** Ends its exchange, if that may go on after the head of the answer has arrived. */
  cancel?: () => void
}

/** A prompt whose KV cache an engine keeps for a short time. */
export interface PrefilledPrompt {
  handle: string
  promptTokens: number
}

/** Sends opaque requests to upstreams, each exactly once. Every method throws `UpstreamError`. */
export abstract class RelayClient {
  /** Runs the request. Resolves once the head of the answer has arrived. */
  abstract run (target: RelayTarget, request: RelayedRequest, opts: RelayRunOptions): Promise<RelayAnswer>

  /** Computes the KV cache of the prompt without generating tokens. */
  abstract prefill (target: RelayTarget, request: RelayedRequest, opts: RelayCallOptions): Promise<PrefilledPrompt>

  /** Whether the next request to an address is sent on a connection that is open already. */
  abstract hasIdleConnection (address: string): boolean

  /** Frees the KV cache that an engine keeps for a prompt. */
  abstract free (source: PrefillSource, opts: UpstreamCallOptions): Promise<void>
}
