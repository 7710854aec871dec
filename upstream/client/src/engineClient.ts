import { type HoldLabel } from '@reelspan/core.messages'
import { type EngineOrder, type EngineReport } from './engineReport.js'

export interface UpstreamCallOptions {
  /** Longest wait for the answer; for a stream, the longest silence. */
  timeoutMs: number
  signal?: AbortSignal
}

export interface PrefillRequest {
  label: HoldLabel
  model: string
  /** The prompt, and after it whatever was already generated when a request is taken up again. */
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
  /** Where the prefill result is. */
  prefillAddress: string
  maxTokens: number
  priority: number
  /** Index of the first token to send. Above 0, an existing stream is taken up again. */
  fromIndex: number
  /** Index that the first generated token gets. */
  firstIndex: number
}

/** A part of a decode stream. It repeats its label, so that a crossed answer is found out. */
export type DecodeEvent =
  | { label: HoldLabel, index: number, text: string, end?: undefined }
  | { label: HoldLabel, end: true, count: number }

/** Cache changes since a sequence number. A gap shows as `firstSequence` above the asked one. */
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

  /** Frees whatever the engine holds under the label. Does nothing when there is nothing. */
  abstract release (address: string, label: HoldLabel, opts: UpstreamCallOptions): Promise<void>

  abstract report (address: string, opts: UpstreamCallOptions): Promise<EngineReport>

  abstract cacheEvents (address: string, sinceSequence: number, opts: UpstreamCallOptions): Promise<CacheEventPage>

  abstract order (address: string, order: EngineOrder, opts: UpstreamCallOptions): Promise<void>
}
