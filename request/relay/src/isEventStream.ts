import { type RelayAnswer } from '@reelspan/upstream.client'

const OK = 200
const EVENT_STREAM_TYPE = /^\s*text\/event-stream\s*(;|$)/i
const IDENTITY_ENCODING = 'identity'

/** Whether an answer is a stream of events. Failures have bodies of other types, and an encoded body cannot be read as events. */
export function isEventStream ({ status, headers }: Pick<RelayAnswer, 'status' | 'headers'>): boolean {
  const contentEncoding = headerOf(headers, 'content-encoding') ?? IDENTITY_ENCODING
  return status === OK && EVENT_STREAM_TYPE.test(headerOf(headers, 'content-type') ?? '') && contentEncoding.toLowerCase() === IDENTITY_ENCODING
}

function headerOf (headers: readonly string[], name: string): string | undefined {
  return headers.find((_, i) => i % 2 === 1 && headers[i - 1].toLowerCase() === name)
}
