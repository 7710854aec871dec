// A client that reads what comes on its connection byte by byte: an answer by its length or its chunks, and what follows it.
import { randomBytes } from 'node:crypto'
import { connect } from 'node:net'

const HEAD_END = '\r\n\r\n'

/** One kept connection to a box, with one request at a time. */
export class RawClient {
  #socket
  #buffer = Buffer.alloc(0)
  #waiting
  #last
  constructor (record, address) {
    Object.assign(this, { record, address })
  }

  close () {
    this.#socket?.destroy()
  }

  /** Sends one request and resolves with its answer. Opens a new connection if there is none. */
  send ({ path, kind, method = 'POST', body = 'x'.repeat(600), deadlineMs = 2500 }) {
    const id = randomBytes(8).toString('hex')
    this.record.add('sent', { id, kind, to: this.address, path })
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.#end({ why: 'deadline' }), deadlineMs + 500)
      this.#waiting = (answer) => {
        clearTimeout(timer)
        this.#waiting = undefined
        this.#last = id
        this.record.add('answered', { id, kind, status: 0, whole: false, text: '', ...answer })
        resolve()
      }
      if (!this.#socket || this.#socket.destroyed) this.#open()
      const length = method === 'GET' ? '' : `Content-Length: ${body.length}\r\n`
      this.#socket.write(`${method} ${path} HTTP/1.1\r\nHost: scripts.example\r\nX-Reelspan-Request-Id: ${id}\r\nX-Reelspan-Deadline-Ms: ${deadlineMs}\r\n${length}\r\n${method === 'GET' ? '' : body}`)
    })
  }

  #open () {
    const [host, port] = this.address.split(':')
    this.#buffer = Buffer.alloc(0)
    const socket = connect({ host, port, noDelay: true })
    this.#socket = socket
    socket.on('error', () => {})
    socket.on('data', (bytes) => {
      this.#buffer = Buffer.concat([this.#buffer, bytes])
      this.#read()
    })
    socket.on('close', () => { if (this.#socket === socket) this.#end({ why: 'closed' }) })
  }

  #end (answer) {
    if (answer.why !== 'end') this.#socket.destroy()
    this.#waiting?.(answer)
  }

  #read () {
    if (this.#buffer.length === 0) return
    if (!this.#waiting) {
      this.record.add('stray', { behind: this.#last, text: this.#buffer.toString('latin1').slice(0, 100) })
      this.#socket.destroy()
      return
    }
    const at = this.#buffer.indexOf(HEAD_END)
    if (at < 0) return
    const head = this.#buffer.subarray(0, at).toString('latin1')
    const [, status] = /^HTTP\/1\.1 (\d{3})/.exec(head) ?? []
    if (status === undefined) return this.#end({ why: `no answer: «${head.slice(0, 40)}»` })
    const stamp = /^x-reelspan-server-stamp: *(.*)$/im.exec(head)?.[1]
    const rest = this.#buffer.subarray(at + HEAD_END.length)
    const isChunked = /^transfer-encoding: *chunked/im.test(head)
    const read = isChunked ? readChunks(rest) : readSized(rest, Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? 0))
    if (!read) return
    this.#buffer = rest.subarray(read.bytes)
    this.#end({ why: 'end', status: Number(status), stamp, whole: true, text: read.text })
    this.#read()
  }
}

function readSized (bytes, length) {
  return bytes.length < length ? undefined : { bytes: length, text: bytes.subarray(0, length).toString('latin1') }
}

/** Returns undefined until the last chunk has arrived. */
function readChunks (bytes) {
  let at = 0
  let text = ''
  for (;;) {
    const lineEnd = bytes.indexOf('\r\n', at)
    if (lineEnd < 0) return undefined
    const size = parseInt(bytes.subarray(at, lineEnd).toString('latin1'), 16)
    const end = lineEnd + 2 + size + 2
    if (bytes.length < end) return undefined
    text += bytes.subarray(lineEnd + 2, lineEnd + 2 + size).toString('latin1')
    at = end
    if (size === 0) return { bytes: at, text }
  }
}
