/** What a box reads for itself from upstreams and the platform. */
export enum AnswerKind {
  Report = 'report',
  Order = 'order',
  /** The body of an answer with an error status. */
  Error = 'error',
  /** The answer to another call of the native engine interface. */
  EngineCall = 'engineCall',
  /** An event of a decode stream of the native engine interface. */
  Event = 'event',
  Service = 'service',
  /** A read of the platform's store or collections. */
  Platform = 'platform',
}

/** An answer that was larger than any valid one of its kind, so that the rest of it was not read. */
export interface OversizedAnswer {
  kind: AnswerKind
  /** Of the server that sent it. */
  address: string
  maxBytes: number
  /** What was received before its connection was closed. */
  readBytes: number
}

export type OversizedAnswerListener = (answer: OversizedAnswer) => void

export interface ReadBound {
  kind: AnswerKind
  address: string
  maxBytes: number
  onOversized?: OversizedAnswerListener
}

/** An answer exceeded its bound. */
export class OversizedAnswerError extends Error {
  constructor ({ kind, address, maxBytes, readBytes }: OversizedAnswer) {
    super(`${address}: ${kind} is larger than ${maxBytes} bytes (${readBytes} read)`)
  }
}

/** Most answers fit into the first buffer. */
const MIN_BUFFER_BYTES = 4096

/**
 * Reads a whole body. Throws `OversizedAnswerError` and closes the exchange as soon as more than its bound is received.
 * Its parts are copied, since small ones would keep the larger reads in memory that they arrived in. The result takes at
 * most twice its length, since it may be kept for minutes.
 */
export async function readAnswer (body: AsyncIterable<Uint8Array>, bound: ReadBound): Promise<Buffer> {
  let buffer = Buffer.alloc(0)
  let readBytes = 0
  for await (const part of body) {
    const end = readBytes + part.byteLength
    if (end > bound.maxBytes) throw reportOversized(bound, end)
    if (end > buffer.byteLength) {
      const grown = Buffer.allocUnsafe(Math.min(bound.maxBytes, Math.max(end, 2 * buffer.byteLength, MIN_BUFFER_BYTES)))
      buffer.copy(grown, 0, 0, readBytes)
      buffer = grown
    }
    buffer.set(part, readBytes)
    readBytes = end
  }
  return 2 * readBytes < buffer.byteLength ? copyOf(buffer.subarray(0, readBytes)) : buffer.subarray(0, readBytes)
}

/** Buffers that share memory with others would keep those in memory. */
function copyOf (bytes: Buffer): Buffer {
  const copy = Buffer.allocUnsafeSlow(bytes.byteLength)
  bytes.copy(copy)
  return copy
}

/** The body of an error is not used. It is read so that its connection can be reused. */
const MAX_ERROR_BYTES = 65_536

/** Reads and drops the body of an answer whose status says all. Never rejects. */
export async function discardErrorBody (body: AsyncIterable<Uint8Array>, { address, onOversized }: Pick<ReadBound, 'address' | 'onOversized'>): Promise<void> {
  const bound = { kind: AnswerKind.Error, address, maxBytes: MAX_ERROR_BYTES, onOversized }
  let readBytes = 0
  try {
    for await (const part of body) {
      readBytes += part.byteLength
      if (readBytes > MAX_ERROR_BYTES) throw reportOversized(bound, readBytes)
    }
  } catch {
    // The connection is closed then. The status has arrived before.
  }
}

/** Tells the listener, and returns the error to throw. */
export function reportOversized ({ onOversized, ...bound }: ReadBound, readBytes: number): OversizedAnswerError {
  const answer = { ...bound, readBytes }
  onOversized?.(answer)
  return new OversizedAnswerError(answer)
}
