import { type Socket } from 'node:net'

/** Smaller than most heads, so that few requests are parsed beyond the last one that is wanted. */
const FIRST_PART_BYTES = 256

export interface ParseInPartsOptions {
  /** How many requests are in progress on this connection. */
  requestCount: () => number
  /** Called after each read with the bytes of it in which no request began. */
  onRead: (unfinishedBytes: number) => void
}

/**
 * Passes what is read from a connection to the server's parser in parts, until the connection is closed or paused.
 * Node passes it each read of up to 64 KB whole, and what was parsed stays in memory until the connection is closed,
 * after all other connections have been read. Parts double while no request begins in them, as in a body.
 */
export function parseInParts (socket: Socket, { requestCount, onRead }: ParseInPartsOptions): void {
  // The server's own listener, which it installs on any stream.
  const [parse] = socket.listeners('data') as ((bytes: Buffer) => void)[]
  socket.off('data', parse)
  socket.on('data', (bytes: Buffer) => {
    let partBytes = FIRST_PART_BYTES
    let unfinishedBytes = 0
    for (let at = 0; at < bytes.byteLength && !socket.destroyed;) {
      if (socket.isPaused()) return socket.unshift(bytes.subarray(at))
      const part = bytes.subarray(at, at + partBytes)
      const before = requestCount()
      parse(part)
      at += part.byteLength
      const began = requestCount() !== before
      partBytes = began ? FIRST_PART_BYTES : 2 * partBytes
      unfinishedBytes = began ? 0 : unfinishedBytes + part.byteLength
    }
    onRead(unfinishedBytes)
  })
}
