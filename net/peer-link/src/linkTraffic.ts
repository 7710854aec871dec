import { type Socket } from 'node:net'

/** Counts the bytes sent and received over the link, as its sockets count them: compressed and with frame headers. */
export class LinkTraffic {
  connectionsOpened = 0
  readonly #openSockets = new Set<Socket>()
  #sentBytesOfClosed = 0
  #receivedBytesOfClosed = 0

  get sentBytes (): number {
    return [...this.#openSockets].reduce((sum, { bytesWritten }) => sum + bytesWritten, this.#sentBytesOfClosed)
  }

  get receivedBytes (): number {
    return [...this.#openSockets].reduce((sum, { bytesRead }) => sum + bytesRead, this.#receivedBytesOfClosed)
  }

  /** Adds a socket's bytes to the counts until it is closed. */
  count (socket: Socket): void {
    this.#openSockets.add(socket)
    socket.once('close', () => {
      this.#openSockets.delete(socket)
      this.#sentBytesOfClosed += socket.bytesWritten
      this.#receivedBytesOfClosed += socket.bytesRead
    })
  }
}
