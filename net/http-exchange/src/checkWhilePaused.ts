import { type Socket } from 'node:net'
import { type Clock } from '@reelspan/core.env'

/** How often a paused connection is checked. A reset is thereby noticed within half of the time in which a caller's work must end. */
const PAUSED_CHECK_MS = 250
/** The budget for answers reserves one read for each paused answer. */
const MAX_READ_WHILE_PAUSED_BYTES = 65_536
const EMPTY_BYTES = new Uint8Array()

/**
 * Checks a paused socket until the signal is aborted.
 *
 * The operating system does not report that a socket which is not read was reset; an empty write fails then.
 * Node reads ahead of a paused socket: if that is less than it would take at once, the upstream has sent
 * no more, and may have ended its answer or the connection.
 */
export async function checkWhilePaused (socket: Socket, clock: Clock, signal: AbortSignal): Promise<void> {
  let readBytes = 0
  while (!signal.aborted) {
    await clock.sleep(PAUSED_CHECK_MS, { signal })
    if (signal.aborted || socket.destroyed) return
    socket.write(EMPTY_BYTES)
    const { readableLength, readableHighWaterMark } = socket
    if (readableLength >= readableHighWaterMark || readBytes + readableLength > MAX_READ_WHILE_PAUSED_BYTES) continue
    readBytes += readableLength
    socket.read()
  }
}
