import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { type PeerMessage, peerMessageSchema, PROTOCOL_VERSION } from '@reelspan/core.messages'
import { Packr } from 'msgpackr'

/** What a frame is for the exchange that its id names. */
export enum FrameKind {
  Call = 0,
  Stream = 1,
  /** The answer to a call, or one part of a stream. */
  Answer = 2,
  /** No more parts follow. */
  End = 3,
  /** The asking side wants no more. */
  Abort = 4,
}

export interface Frame {
  version: number
  id: number
  kind: FrameKind
  message?: PeerMessage
}

const OLDEST_VERSION = 1

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: false })

export function encodeFrame (id: number, kind: FrameKind, message?: PeerMessage): Buffer {
  return packr.pack([PROTOCOL_VERSION, id, kind, ...message ? [withoutUndefined(message)] : []])
}

/** Reads a frame. Throws `ERR_REELSPAN_PEER_PROTOCOL` for anything that is not one. */
export function decodeFrame (bytes: Buffer): Frame {
  const unpacked = unpack(bytes)
  if (!isFrame(unpacked)) throw protocolError('not a frame')
  const [version, id, kind, body] = unpacked
  if (version < OLDEST_VERSION) throw protocolError(`version ${version} is too old`)
  if (body === undefined) return { version, id, kind }
  const message = peerMessageSchema.safeParse(body)
  if (!message.success) throw protocolError(message.error.issues.map(({ path, message: text }) => `${path.join('.')}: ${text}`).join('; '))
  return { version, id, kind, message: message.data }
}

function unpack (bytes: Buffer): unknown {
  try {
    return packr.unpack(bytes)
  } catch (cause) {
    throw protocolError('not msgpack', cause)
  }
}

/** Checked by hand, since each message between boxes is one. */
function isFrame (unpacked: unknown): unpacked is [version: number, id: number, kind: FrameKind, body?: unknown] {
  if (!Array.isArray(unpacked) || unpacked.length < 3 || unpacked.length > 4) return false
  const [version, id, kind] = unpacked
  return Number.isSafeInteger(version) && Number.isSafeInteger(id) && typeof kind === 'number' && FrameKind[kind] !== undefined
}

function withoutUndefined (message: PeerMessage): object {
  return Object.fromEntries(Object.entries(message).filter(([, value]) => value !== undefined))
}

function protocolError (reason: string, cause?: unknown): ReelspanError {
  return new ReelspanError(ErrorCode.PeerProtocol, `message from a peer: ${reason}`, { cause })
}
