import { type ServerResponse } from 'node:http'
import { type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

/** Where an upstream sends bytes that are no answer, without end. */
export enum FloodPlace {
  StatusLine = 'statusLine',
  HeaderFields = 'headerFields',
  InterimResponses = 'interimResponses',
  /** The body of an answer, such as that to a prefill. */
  Body = 'body',
  FirstEvent = 'firstEvent',
  /** An event behind two whole ones. */
  ThirdEvent = 'thirdEvent',
  Comment = 'comment',
  EmptyLines = 'emptyLines',
  ChunkExtension = 'chunkExtension',
  /** The body of a failure. */
  Failure = 'failure',
  /** The body of the refusal of another start. */
  Misdirected = 'misdirected',
}

export interface Flood {
  place: FloodPlace
  /** Sends 200 bytes in 30 ms, or else as fast as they are taken. */
  slow?: boolean
  /** Sends no more than about this many bytes, and leaves the answer open. */
  stopsAfterBytes?: number
}

/** An answer without end. */
export interface FloodedAnswer {
  id: string
  /** As of `performance.now()`. */
  startedAtMs: number
  /** When its connection was closed. */
  closedAtMs?: number
}

const SLOW_BYTES = 200
const SLOW_PAUSE_MS = 30
const FAST_BYTES = 65_536

/** Sends an answer without end, past the response's own framing. Resolves once its connection is closed. */
export async function sendFlood (response: ServerResponse, { place, slow = false, stopsAfterBytes = Number.POSITIVE_INFINITY }: Flood, { id, firstEvent = 0 }: { id: string, firstEvent?: number }): Promise<void> {
  const { socket } = response
  if (!socket) return
  const [head, unit] = textsOf(place, id, firstEvent)
  socket.write(head)
  const piece = unit.repeat(Math.ceil((slow ? SLOW_BYTES : FAST_BYTES) / unit.length))
  let sentBytes = 0
  while (!socket.destroyed) {
    if (sentBytes + piece.length > stopsAfterBytes) return closed(socket)
    sentBytes += piece.length
    const taken = socket.write(piece)
    if (slow) await sleep(SLOW_PAUSE_MS)
    else if (!taken) await drained(response)
  }
}

async function closed (socket: Socket): Promise<void> {
  if (!socket.destroyed) await new Promise((resolve) => socket.once('close', resolve))
}

function drained ({ socket }: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const onDone = () => {
      socket?.off('drain', onDone)
      socket?.off('close', onDone)
      resolve()
    }
    socket?.on('drain', onDone)
    socket?.on('close', onDone)
  })
}

/** What comes before the flood, and what it repeats. */
function textsOf (place: FloodPlace, id: string, firstEvent: number): [string, string] {
  const headOf = (status: string, fields = '') => `HTTP/1.1 ${status}\r\nX-Reelspan-Request-Id: ${id}\r\nX-Reelspan-Server-Stamp: stamp-of-${id}\r\n${fields}`
  const stream = `${headOf('200 OK', 'Content-Type: text/event-stream\r\n')}\r\n`
  const eventAt = (i: number) => `id: ${firstEvent + i}\ndata: ${id} ${firstEvent + i}\n\n`
  switch (place) {
    case FloodPlace.StatusLine: return ['HTTP/1.1 200 ', 'x']
    case FloodPlace.HeaderFields: return [headOf('200 OK'), 'A: xxxx\r\n']
    case FloodPlace.InterimResponses: return ['', 'HTTP/1.1 102 Processing\r\n\r\n']
    case FloodPlace.Body: return [`${headOf('200 OK')}\r\n`, 'x']
    case FloodPlace.FirstEvent: return [`${stream}id: ${firstEvent}\ndata: `, 'x']
    case FloodPlace.ThirdEvent: return [`${stream}${eventAt(0)}${eventAt(1)}data: `, 'x']
    case FloodPlace.Comment: return [`${stream}:`, 'x']
    case FloodPlace.EmptyLines: return [stream, '\n']
    case FloodPlace.ChunkExtension: return [`${headOf('200 OK', 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n')}\r\n1;`, 'x']
    case FloodPlace.Failure: return [`${headOf('500 Internal Server Error')}\r\n`, 'x']
    case FloodPlace.Misdirected: return [`${headOf('421 Misdirected Request', 'X-Reelspan-Not-Executed: 1\r\n')}\r\n`, 'x']
  }
}
