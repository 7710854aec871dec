import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { type PeerMessage, peerMessageSchema, PROTOCOL_VERSION } from '@reelspan/core.messages'
import { Packr } from 'msgpackr'

/** The role of a frame in the exchange with its id. */
export enum FrameKind {
  Call = 0,
  Stream = 1,
  /** The answer to a call, or one message of a stream. */
  Answer = 2,
  /** The last frame of a stream. */
  End = 3,
  /** The requesting side cancels the stream. */
  Abort = 4,
}

export interface Frame {
  version: number
  id: number
  kind: FrameKind
  message?: PeerMessage
}

const MIN_PROTOCOL_VERSION = 1

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: false })

export function encodeFrame (id: number, kind: FrameKind, message?: PeerMessage): Buffer {
  return packr.pack([PROTOCOL_VERSION, id, kind, ...message ? [withoutUndefined(message)] : []])
}

/** Decodes a frame. Throws `ERR_REELSPAN_PEER_PROTOCOL` if the bytes are not a valid frame. */
export function decodeFrame (bytes: Buffer): Frame {
  const fields = unpack(bytes)
  if (!isFrame(fields)) throw protocolError('not a valid frame')
  const [version, id, kind, body] = fields
  if (version < MIN_PROTOCOL_VERSION) throw protocolError(`protocol version ${version} is no longer supported`)
  if (body === undefined) return { version, id, kind }
  const message = peerMessageSchema.safeParse(body)
  if (!message.success) throw protocolError(message.error.issues.map(({ path, message: text }) => `${path.join('.')}: ${text}`).join('; '))
  return { version, id, kind, message: message.data }
}

function unpack (bytes: Buffer): unknown {
  try {
    return packr.unpack(bytes)
  } catch (cause) {
    throw protocolError('not valid msgpack', cause)
  }
}

/** Validated without a schema for speed, since every message between boxes is a frame. */
function isFrame (fields: unknown): fields is [version: number, id: number, kind: FrameKind, body?: unknown] {
  if (!Array.isArray(fields) || fields.length < 3 || fields.length > 4) return false
  const [version, id, kind] = fields
  return Number.isSafeInteger(version) && Number.isSafeInteger(id) && typeof kind === 'number' && FrameKind[kind] !== undefined
}

function withoutUndefined (message: PeerMessage): object {
  return Object.fromEntries(Object.entries(message).filter(([, value]) => value !== undefined))
}

function protocolError (reason: string, cause?: unknown): ReelspanError {
  return new ReelspanError(ErrorCode.PeerProtocol, `invalid message from a peer: ${reason}`, { cause })
}
