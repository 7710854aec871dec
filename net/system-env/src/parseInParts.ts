import { type Socket } from 'node:net'

/** Smaller than most heads, so that few requests are parsed beyond the last one that is wanted. */
const FIRST_PART_BYTES = 256

export interface ParseInPartsOptions {
  /** How many requests are in progress on this connection. */
  requestCount: () => number
  /** Called after each read with the bytes of it in which no request began. */
  onRead: (unfinishedBytes: number) => void
  /** Whether the connection has been given to another protocol. */
  isUpgraded: () => boolean
}

/**
 * Passes what is read from a connection to the server's parser in parts, until the connection is closed or paused.
 * Node passes it each read of up to 64 KB whole, and what was parsed stays in memory until the connection is closed,
 * after all other connections have been read. Parts double while no request begins in them, as in a body.
 */
export function parseInParts (socket: Socket, { requestCount, onRead, isUpgraded }: ParseInPartsOptions): void {
  // The server's own listener, which it installs on any stream.
  const [parse] = socket.listeners('data') as ((bytes: Buffer) => void)[]
  socket.off('data', parse)
  const onData = (bytes: Buffer): void => {
    let partBytes = FIRST_PART_BYTES
    let unfinishedBytes = 0
    for (let at = 0; at < bytes.byteLength && !socket.destroyed;) {
      if (socket.isPaused()) {
        socket.unshift(bytes.subarray(at))
        return
      }
      const part = bytes.subarray(at, at + partBytes)
      const before = requestCount()
      parse(part)
      at += part.byteLength
      if (isUpgraded()) return leave(bytes.byteLength - at)
      const began = requestCount() !== before
      partBytes = began ? FIRST_PART_BYTES : 2 * partBytes
      unfinishedBytes = began ? 0 : unfinishedBytes + part.byteLength
    }
    onRead(unfinishedBytes)
  }
  const leave = (unparsedBytes: number) => {
    socket.off('data', onData)
    // A client sends nothing more until its upgrade has been accepted.
    if (unparsedBytes > 0) socket.destroy()
  }
  socket.on('data', onData)
}
