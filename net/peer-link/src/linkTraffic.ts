import { type Socket } from 'node:net'

/** What went over the link so far, as sockets count it: compressed, with headers. */
export class LinkTraffic {
  connectionsOpened = 0
  readonly #open = new Set<Socket>()
  #closedSentBytes = 0
  #closedReceivedBytes = 0

  get sentBytes (): number {
    return [...this.#open].reduce((sum, { bytesWritten }) => sum + bytesWritten, this.#closedSentBytes)
  }

  get receivedBytes (): number {
    return [...this.#open].reduce((sum, { bytesRead }) => sum + bytesRead, this.#closedReceivedBytes)
  }

  /** Counts what passes a socket until it is closed. */
  count (socket: Socket): void {
    this.#open.add(socket)
    socket.once('close', () => {
      this.#open.delete(socket)
      this.#closedSentBytes += socket.bytesWritten
      this.#closedReceivedBytes += socket.bytesRead
    })
  }
}
