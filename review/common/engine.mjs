// Stand-ins for the users' engines and plain services, for the calls of PROTOCOL.md that boxes make.
import { setTimeout as sleep } from 'node:timers/promises'
import { answerText, WireServer } from './wire.mjs'

const REPORT_LAG_MS = 300

/** What can be done wrongly by a faulty server, as the pages name it. Each is called per answer. */
export const SOUND = {
  /** Whether an answer with this status is sent a second time, at the place of the next answer on its connection. */
  repeatsLate: () => false,
  /** Bytes that follow a whole answer and belong to no request. */
  extraBehind: () => '',
  /** Whether a request runs and fails, with a 500 of the server. */
  fails: () => false,
  /** Whether the answer of a run is lost: its connection is reset at the end. */
  losesAnswer: () => false,
  /** How long a handle is kept. */
  handleMs: undefined,
}

/** A server of a service: records what it ran, and answers as PROTOCOL.md says. */
export class Server {
  #wire = new WireServer((request) => this.#serve(request))
  busy = 0
  constructor (id, zone, record, faults = SOUND) {
    this.id = id
    this.zone = zone
    this.record = record
    this.faults = { ...SOUND, ...faults }
    this.down = false
  }

  async start (address) {
    this.address = await this.#wire.start(address)
  }

  crash () {
    this.down = true
    this.#wire.crash()
  }

  async #serve (request) {
    const id = request.header('X-Reelspan-Request-Id')
    const expected = request.header('X-Reelspan-Expect-Instance')
    if (request.path === '/health') return request.connection.write(answerText(200, { 'X-Reelspan-Instance-Id': this.id }))
    if (expected !== undefined && expected !== this.id) return this.refuse(request, id, 421)
    if (this.serveControl(request)) return
    if (id === undefined) return request.connection.write(answerText(400, { 'X-Reelspan-Not-Executed': 1 }))
    this.record.add('arrives', { id, server: this.id, source: request.header('X-Reelspan-Kv-Source'), stage: request.header('X-Reelspan-Serving-Stage') })
    await this.serveRequest(request, id)
  }

  /** Returns whether it was a call of its own kind. */
  serveControl () {
    return false
  }

  refuse (request, id, status) {
    this.record.add('refuses', { id, server: this.id, status })
    this.answer(request, status, { ...id === undefined ? {} : { 'X-Reelspan-Request-Id': id }, 'X-Reelspan-Not-Executed': 1, 'X-Reelspan-Server-Stamp': `${this.id}.${id}` })
  }

  answer ({ connection }, status, headers, body) {
    const text = answerText(status, headers, body)
    const id = headers['X-Reelspan-Request-Id']
    connection.write(text + this.extraBehind(id, status))
    if (!this.faults.repeatsLate(status, headers)) return
    this.record.add('spoils', { server: this.id, id, status, by: 'an extra answer, late' })
    connection.extra = text
  }

  /** Bytes that a faulty server sends behind an answer. */
  extraBehind (id, status) {
    const extra = this.faults.extraBehind()
    if (extra !== '') this.record.add('spoils', { server: this.id, id, status, by: `extra bytes behind it: «${extra.trim()}»` })
    return extra
  }

  recordRun (id, more = {}) {
    this.record.add('runs', { id, server: this.id, ...more })
  }
}

/** A plain service. */
export class Service extends Server {
  constructor (id, zone, record, { workMs = 30, slots = 6, queue = 24, ...faults } = {}) {
    super(id, zone, record, faults)
    this.workMs = workMs
    this.slots = slots
    this.queue = queue
    this.waiting = []
  }

  async serveRequest (request, id) {
    if (this.busy >= this.slots) {
      if (this.waiting.length >= this.queue) return this.refuse(request, id, 503)
      await new Promise((resolve) => this.waiting.push(resolve))
    }
    if (request.connection.closed) return this.#next()
    this.busy++
    this.recordRun(id, { path: request.target, bodyBytes: request.body.length })
    await sleep(this.workMs * (0.5 + Math.random()))
    this.busy--
    this.#next()
    if (this.faults.losesAnswer()) return request.connection.reset()
    const status = this.faults.fails(request) ? 500 : 200
    this.record.add('ran', { id, server: this.id, status })
    this.answer(request, status, { 'X-Reelspan-Request-Id': id, 'X-Reelspan-Server-Stamp': `${this.id}.${id}` }, status === 200 ? `done ${id} at ${this.id}` : `failed ${id} at ${this.id}`)
  }

  #next () {
    this.waiting.shift()?.()
  }
}

/** A model engine. */
export class Engine extends Server {
  constructor (id, zone, record, handles, { stage, promptTokensPerMs = 33, tokenMs = 3, stride = 12, holdMs = 500, swapMs = 6000, slots = 64, ...faults }) {
    super(id, zone, record, faults)
    Object.assign(this, { stage, handles, promptTokensPerMs, tokenMs, stride, holdMs, swapMs, slots })
    this.running = 0
    this.sequence = 0
    this.swapping = false
    this.onStage = () => {}
    this.seen = { ...this.#state(), atMs: 0 }
  }

  #state () {
    return { stage: this.stage, models: [{ name: 'm', version: 1, adapters: [] }], busy: this.swapping, sequence: this.sequence, queued: 0, running: this.running, kv_used: 3000 * this.running, kv_total: 200_000, kv_handles: 0 }
  }

  serveControl (request) {
    const { method, path, connection } = request
    if (path === '/v1/report') {
      const state = this.#state()
      setTimeout(() => { this.seen = state }, REPORT_LAG_MS)
      connection.write(answerText(200, { 'Content-Type': 'application/json' }, JSON.stringify(this.seen)))
      return true
    }
    if (path === '/v1/order' && method === 'POST') {
      const order = JSON.parse(request.body)
      const status = this.swapping || (order.expected_rev !== undefined && order.expected_rev !== this.sequence) ? 409 : order.stage === this.stage ? 200 : 202
      this.record.add('order', { server: this.id, ...order, status })
      connection.write(answerText(status, {}))
      if (status === 202) this.#swap(order.stage)
      return true
    }
    if (method === 'DELETE' && path.startsWith('/v1/kv-handle/')) {
      this.handles.delete(path.split('/').at(-1))
      connection.write(answerText(200, {}))
      return true
    }
    return false
  }

  async #swap (stage) {
    this.sequence++
    this.swapping = true
    while (this.running > 0) await sleep(20)
    await sleep(this.swapMs)
    this.stage = stage
    this.swapping = false
    this.onStage()
  }

  async serveRequest (request, id) {
    const [promptTokens, maxTokens] = (request.header('X-Reelspan-Token-Count') ?? '100,24').split(',').map(Number)
    const asked = request.header('X-Reelspan-Serving-Stage')
    const source = request.header('X-Reelspan-Kv-Source')
    if (this.swapping || this.running >= this.slots) return this.refuse(request, id, 503)
    if (asked === 'prefill' ? this.stage !== 'prefill' : this.stage !== 'decode') return this.refuse(request, id, 421)
    if (asked === 'prefill') return this.#prefill(request, id, promptTokens)
    if (source !== undefined && !this.handles.take(source.split('/')[1])) return this.refuse(request, id, 503)
    await this.#decode(request, id, { maxTokens, promptMs: source === undefined ? 2 * promptTokens / this.promptTokensPerMs : 2 })
  }

  pace (ms) {
    return sleep(ms)
  }

  async #prefill (request, id, tokens) {
    await sleep(60 + tokens / this.promptTokensPerMs)
    if (request.connection.closed) return
    const handle = this.handles.add(id, this.faults.handleMs ?? this.holdMs)
    this.answer(request, 200, { 'X-Reelspan-Request-Id': id, 'Content-Type': 'application/json' }, JSON.stringify({ kv_handle: handle, tokens, version: 1 }))
  }

  async #decode ({ connection, headers, target }, id, { maxTokens, promptMs }) {
    const first = headers.has('last-event-id') ? Number(headers.get('last-event-id')) + 1 : 0
    const events = Math.ceil(maxTokens / this.stride)
    this.running++
    try {
      await sleep(promptMs)
      if (connection.closed) return
      this.recordRun(id, { path: target, from: first })
      const head = `HTTP/1.1 200 OK\r\nX-Reelspan-Request-Id: ${id}\r\nX-Reelspan-Server-Stamp: ${this.id}.${id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`
      connection.write(head)
      for (let i = first; i < events; i++) {
        await this.pace(this.tokenMs * this.stride)
        if (connection.closed) return this.record.add('dropped', { id, server: this.id, after: i })
        if (i === events - 1 && this.faults.losesAnswer()) return connection.reset()
        const event = `id: ${i}\ndata: ${id} ${i}${i === events - 1 ? ' end' : ''}\n\n`
        connection.write(`${event.length.toString(16)}\r\n${event}\r\n`)
      }
      connection.write(`0\r\n\r\n${this.extraBehind(id, 200)}`)
      this.record.add('ran', { id, server: this.id, status: 200 })
    } finally {
      this.running--
    }
  }
}

/** The handles of prefilled prompts of all engines. */
export class Handles {
  #handles = new Map()
  #next = 0

  add (request, holdMs) {
    const handle = `h${(this.#next++).toString(16).padStart(8, '0')}`
    this.#handles.set(handle, request)
    setTimeout(() => this.#handles.delete(handle), holdMs).unref()
    return handle
  }

  take (handle) {
    return this.#handles.delete(handle)
  }

  delete (handle) {
    this.#handles.delete(handle)
  }
}
