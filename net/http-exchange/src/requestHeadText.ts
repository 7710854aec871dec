import { type ExchangeRequest } from './exchange.js'

/** The head of a request as it is sent, with its length. */
export function requestHeadText ({ method, target, headers, body }: ExchangeRequest): string {
  const lines = headers.reduce((text, part, i) => text + part + (i % 2 === 0 ? ': ' : '\r\n'), '')
  const needsLength = body.byteLength > 0 || method === 'POST' || method === 'PUT' || method === 'PATCH'
  return `${method} ${target} HTTP/1.1\r\n${lines}${needsLength ? `Content-Length: ${body.byteLength}\r\n` : ''}\r\n`
}
