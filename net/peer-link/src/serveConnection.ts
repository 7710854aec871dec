import { toReelspanError } from '@reelspan/core.error'
import { MessageType, type PeerHandler, type PeerMessage } from '@reelspan/core.messages'
import { WebSocket } from 'ws'
import { decodeFrame, encodeFrame, type Frame, FrameKind } from './frame.js'

/** Serves the calls and streams of a peer on a connection that the peer opened. Terminates the connection on an invalid frame. */
export function serveConnection (socket: WebSocket, currentHandler: () => PeerHandler | undefined): void {
  const streams = new Map<number, AbortController>()
  const send = (id: number, kind: FrameKind, message?: PeerMessage) => {
    if (socket.readyState !== WebSocket.OPEN) return
    socket.send(encodeFrame(id, kind, message))
  }

  socket.on('error', () => {})
  socket.on('close', () => streams.forEach((stop) => stop.abort()))
  socket.on('message', (data) => {
    const frame = readFrame(data as Buffer)
    const handler = currentHandler()
    if (!frame || !handler) return socket.terminate()
    void serveFrame(frame, handler)
  })

  async function serveFrame ({ id, kind, message }: Frame, handler: PeerHandler): Promise<void> {
    if (kind === FrameKind.Abort) streams.get(id)?.abort()
    if (!message) return
    try {
      if (kind === FrameKind.Call) send(id, FrameKind.Answer, await handler.onCall(message))
      if (kind === FrameKind.Stream) await serveStream(id, message, handler)
    } catch (thrown) {
      send(id, FrameKind.Answer, failureOf(thrown))
    }
    // A call has exactly one answer, so it needs no end frame.
    if (kind === FrameKind.Stream) send(id, FrameKind.End)
  }

  async function serveStream (id: number, message: PeerMessage, handler: PeerHandler): Promise<void> {
    const stop = new AbortController()
    streams.set(id, stop)
    try {
      for await (const part of handler.onStream(message, stop.signal)) send(id, FrameKind.Answer, part)
    } finally {
      streams.delete(id)
    }
  }
}

function readFrame (bytes: Buffer): Frame | undefined {
  try {
    return decodeFrame(bytes)
  } catch {
    return undefined
  }
}

function failureOf (thrown: unknown): PeerMessage {
  const { code, verdict, message, retryAfterMs } = toReelspanError(thrown)
  return { type: MessageType.Failed, code, verdict, text: message, retryAfterMs }
}
