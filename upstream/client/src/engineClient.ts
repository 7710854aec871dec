import { type HoldLabel } from '@reelspan/core.messages'
import { type EngineOrder, type EngineReport } from './engineReport.js'
import { type EngineTraces } from './engineTraces.js'

export interface UpstreamCallOptions {
  /** Timeout for the answer; for a stream, the idle timeout between events. */
  timeoutMs: number
  signal?: AbortSignal
}

export interface ReportOptions extends UpstreamCallOptions {
  /** The only start of the engine that may answer. Some engines do not check it. */
  instance?: string
}

export interface PrefillRequest {
  label: HoldLabel
  model: string
  /** The prompt. When a request is resumed, the text generated so far is appended. */
  prompt: string
  priority: number
}

export interface PrefillResult {
  label: HoldLabel
  kvBytes: number
  promptTokens: number
  cachedTokens: number
}

export interface DecodeRequest {
  label: HoldLabel
  model: string
  /** Address of the engine that holds the prefill result. */
  prefillAddress: string
  maxTokens: number
  priority: number
  /** Index of the first token to send. A value above 0 resumes an existing stream. */
  fromIndex: number
  /** Index assigned to the first generated token. */
  firstIndex: number
}

/** An event of a decode stream. It repeats the label, so that an answer to another request is detected. */
export type DecodeEvent =
  | { label: HoldLabel, index: number, text: string, end?: undefined }
  | { label: HoldLabel, end: true, count: number }

/** Cache evictions since a sequence number. If `firstSequence` is above the requested number, events were lost. */
export interface CacheEventPage {
  firstSequence: number
  nextSequence: number
  removedDigests: string[]
}

/** Talks to model engines. Every method throws `UpstreamError`. Addresses are `ip:port`. */
export abstract class EngineClient {
  abstract prefill (address: string, request: PrefillRequest, opts: UpstreamCallOptions): Promise<PrefillResult>

  /** Imports the prefill result into the engine and generates. */
  abstract decode (address: string, request: DecodeRequest, opts: UpstreamCallOptions): AsyncIterable<DecodeEvent>

  /** Frees everything that the engine holds under the label. Does nothing if it holds nothing. */
  abstract release (address: string, label: HoldLabel, opts: UpstreamCallOptions): Promise<void>

  abstract report (address: string, opts: ReportOptions): Promise<EngineReport>

  abstract cacheEvents (address: string, sinceSequence: number, opts: UpstreamCallOptions): Promise<CacheEventPage>

  /** What the engine still knows of the requests that it has run; undefined if it does not tell. */
  async traces (_address: string, _opts: ReportOptions): Promise<EngineTraces | undefined> {
    return undefined
  }

  abstract order (address: string, order: EngineOrder, opts: UpstreamCallOptions): Promise<void>
}
