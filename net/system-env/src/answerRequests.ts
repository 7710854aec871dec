import { type IncomingMessage, type RequestListener, type ServerResponse } from 'node:http'
import { ErrorCode, type ReelspanError, toReelspanError } from '@reelspan/core.error'

export type RequestHandler = (message: IncomingMessage, response: ServerResponse) => void | Promise<void>

export interface AnswerRequestsOptions {
  /** Called with a failure that is not the request's own. */
  onFailed?: (error: ReelspanError) => void
}

const BAD_REQUEST = 400
const INTERNAL_ERROR = 500

/**
 * Returns the listener of a server whose handler may fail. A request that the handler rejects with
 * `ERR_REELSPAN_BAD_REQUEST` is answered with 400, any other failure is reported and answered with 500.
 */
export function answerRequests (handle: RequestHandler, { onFailed }: AnswerRequestsOptions = {}): RequestListener {
  return (message, response) => {
    answer(handle, message, response).catch((thrown: unknown) => {
      const error = toReelspanError(thrown)
      const isBadRequest = error.code === ErrorCode.BadRequest
      if (!isBadRequest) onFailed?.(error)
      answerFailure(response, isBadRequest ? BAD_REQUEST : INTERNAL_ERROR, error)
    })
  }
}

async function answer (handle: RequestHandler, message: IncomingMessage, response: ServerResponse): Promise<void> {
  await handle(message, response)
}

function answerFailure (response: ServerResponse, status: number, { code, message }: ReelspanError): void {
  if (response.headersSent || response.destroyed) {
    response.destroy()
    return
  }
  const text = JSON.stringify({ error: code, message })
  response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) })
  response.end(text)
}
