import { type ServerResponse } from 'node:http'

/** Calls `listener` once, when the response has been sent or its connection is closed. Node emits no 'close' for pipelined responses that it never began to send. */
export function onResponseEnded (response: ServerResponse, listener: () => void): void {
  const { socket } = response.req
  const onClose = () => {
    socket.off('close', onClose)
    response.off('close', onClose)
    listener()
  }
  socket.once('close', onClose)
  response.once('close', onClose)
}
