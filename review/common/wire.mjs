// A small HTTP/1.1 server on raw sockets, so that a stand-in can also send what a faulty engine sends.
import { createServer } from 'node:net'

const HEAD_END = '\r\n\r\n'

/** One request as it was read from a connection. */
export class WireRequest {
  constructor (connection, head, body) {
    const [line, ...fields] = head.split('\r\n')
    const [method, target] = line.split(' ')
    this.connection = connection
    this.method = method
    this.target = target
    this.path = target.split('?')[0]
    this.body = body
    this.headers = new Map(fields.map((field) => {
      const at = field.indexOf(':')
      return [field.slice(0, at).toLowerCase(), field.slice(at + 1).trim()]
    }))
  }

  header (name) {
    return this.headers.get(name.toLowerCase())
  }
}

/** One connection; its requests are served one after the other. */
export class WireConnection {
  #buffer = Buffer.alloc(0)
  #queue = Promise.resolve()
  #serve
  closed = false
  /** Bytes that are sent at the place of the next answer. */
  extra = undefined

  constructor (socket, serve) {
    this.socket = socket
    this.#serve = serve
    this.onClose = new Set()
    socket.setNoDelay(true)
    socket.on('error', () => {})
    socket.on('data', (bytes) => this.#receive(bytes))
    socket.on('close', () => {
      this.closed = true
      this.onClose.forEach((listener) => listener())
    })
  }

  write (text) {
    if (!this.closed) this.socket.write(text)
  }

  reset () {
    this.socket.resetAndDestroy()
  }

  #receive (bytes) {
    this.#buffer = Buffer.concat([this.#buffer, bytes])
    for (;;) {
      const at = this.#buffer.indexOf(HEAD_END)
      if (at < 0) return
      const head = this.#buffer.subarray(0, at).toString('latin1')
      const length = Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? 0)
      const end = at + HEAD_END.length + length
      if (this.#buffer.length < end) return
      const body = this.#buffer.subarray(at + HEAD_END.length, end)
      this.#buffer = this.#buffer.subarray(end)
      const request = new WireRequest(this, head, body)
      this.#queue = this.#queue.then(() => {
        if (this.extra !== undefined) this.write(this.extra)
        this.extra = undefined
        return this.closed ? undefined : this.#serve(request)
      })
    }
  }
}

/** Listens on an address and serves each request with `serve`. */
export class WireServer {
  #server
  #connections = new Set()

  constructor (serve) {
    this.#server = createServer((socket) => {
      const connection = new WireConnection(socket, serve)
      this.#connections.add(connection)
      socket.on('close', () => this.#connections.delete(connection))
    })
  }

  start (address) {
    const [host, port] = address.split(':')
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(Number(port), host, () => {
        const { address: ip, port: bound } = this.#server.address()
        resolve(`${ip}:${bound}`)
      })
    })
  }

  /** Ends as a process that crashes does: all connections are reset. */
  crash () {
    this.#server.close()
    this.#connections.forEach((connection) => connection.reset())
  }
}

export function answerText (status, headers, body = '') {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
  return `HTTP/1.1 ${status} ${status < 400 ? 'OK' : 'No'}\r\n${lines}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
}
