import { type ServerResponse } from 'node:http'
import { type Socket } from 'node:net'
import { type ByteAccount, CallerReader, type SlowCallers } from '@reelspan/net.byte-budget'
import { onResponseEnded } from './onResponseEnded.js'

/** The caller that reads an HTTP response. */
export class ResponseReader extends CallerReader {
  readonly #response: ServerResponse

  constructor (response: ServerResponse) {
    super()
    this.#response = response
  }

  /** Opens the account of a response until it has been sent or its connection is closed. */
  static observe (callers: SlowCallers, response: ServerResponse, request?: string): ByteAccount {
    const observed = callers.open(new ResponseReader(response), request)
    onResponseEnded(response, () => callers.close(observed))
    return observed.account
  }

  /** The connection, while this response is the one that is being sent on it. Node assigns it to pipelined responses in turn. */
  get socket (): Socket | undefined {
    return this.#response.socket ?? undefined
  }

  get unsentBytes (): number {
    return this.#response.writableLength
  }

  get takenBytes (): number | undefined {
    const { socket } = this
    return socket && socket.bytesWritten - socket.writableLength
  }

  /** Resets the connection. Closing it would make a response without a length look complete. */
  disconnect (): void {
    this.#response.req.socket.resetAndDestroy()
    this.#response.destroy()
  }
}
