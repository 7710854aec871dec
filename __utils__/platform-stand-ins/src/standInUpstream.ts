import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { endlessBody } from '@reelspan/utils.stand-ins'
import { type Flood, type FloodedAnswer, sendFlood } from './flood.js'
import { type Pause, Pausing } from './pausing.js'

export enum Role {
  Prefill = 'prefill',
  Decode = 'decode',
  Service = 'service',
}

/** One run of a request, as recorded by the upstream. */
export interface UpstreamRun {
  id: string
  instance: string
  path: string
  /** As of `performance.now()`. */
  startedAtMs: number
  /** Unset while it runs. */
  endedAtMs?: number
  /** Whether the answer was written completely to an open connection. */
  complete: boolean
  /** Whether the answer was lost by an injected fault or by stopping the upstream. */
  answerLost: boolean
  /** Last event id of the caller, if a stream was resumed. */
  resumedAfter?: number
  /** Complete events of a stream that were sent. */
  sentEvents: number
  /** Software version of the upstream. */
  softwareVersion?: string
  /** When each event was sent, as of `performance.now()`. */
  eventsAtMs?: number[]
}

/** A request that reached the instance it was sent to, whether it ran or not. */
export interface UpstreamArrival {
  id: string
  instance: string
  /** As of `performance.now()`. */
  atMs: number
}

/** Amount of work of a request. */
export interface RequestShape {
  /** Number of events of a stream. */
  events: number
  /** Duration of a call, or the interval between two events of a stream. */
  workMs: number
  /** Minimum size of the answer to a call. */
  answerBytes?: number
}

/** How an upstream ends an answer. */
export interface AnswerEnd {
  /** The answer has neither a length nor chunks, and ends with its connection. */
  withConnection?: boolean
  /** A stream breaks off behind this many bytes, or one more so that it ends inside an event, and ends as if it were complete. */
  cutAtBytes?: number
  /** Ends the lines of events. */
  lineEnd?: string
}

/** How an upstream that crashes because of a request leaves. */
export interface UpstreamCrash {
  /** The answer to the request that crashes it is closed like a whole one if it ends with its connection. Otherwise it is reset, as other such answers are. */
  closesQuietly?: boolean
  /** Its address goes on accepting connections for this long, each of which is closed at once. */
  acceptsForMs?: number
}

/** Headers and trailers that an upstream received with a call. */
export interface ReceivedHeaders {
  path: string
  /** Whether it was a client's request. */
  isRequest: boolean
  /** Client accounts named in the headers. */
  accounts: string[]
  /** Whether it had an authorization header. */
  hasKey: boolean
  /** Names and values of headers and trailers, one per line. */
  text: string
}

/** Handles of the available prefill results of all engines of a deployment. */
export class HandleTable {
  /** Handles with the connections that they were sent on. */
  readonly #handles = new Map<string, Socket | null>()

  get size (): number {
    return this.#handles.size
  }

  /** Handles whose connection is still open, so that their receiver could have freed them. */
  get received (): string[] {
    return [...this.#handles].filter(([, connection]) => connection?.destroyed === false).map(([handle]) => handle)
  }

  add (handle: string, connection: Socket | null): void {
    this.#handles.set(handle, connection)
  }

  /** Removes a handle and returns whether it existed. */
  consume (handle: string): boolean {
    return this.#handles.delete(handle)
  }
}

export interface StandInUpstreamOptions {
  /** Id of the instance; requests that expect another instance are refused. */
  instance?: string
  softwareVersion?: string
  /** Reported start time; reports have none if it is undefined. */
  startTimeMs?: number
  /** Duration of a call, or the interval between two events of a stream. */
  workMs?: number
  /** Duration of a prefill at a prefill engine. */
  prefillMs?: number
  /** Returns the amount of work of a request by its id; undefined selects the default. */
  shapeOf?: (id: string) => RequestShape | undefined
  handles?: HandleTable
  /** How long a prefill result is kept. */
  handleTtlMs?: number
  /** Decides whether a prefill result is gone as soon as its handle is sent. */
  losesHandle?: () => boolean
  /** Decides whether to refuse a request without running it. */
  refuses?: () => boolean
  /** Decides whether a refusal is sent a second time, late: ahead of the next answer on its connection. */
  repeatsRefusalLate?: () => boolean
  /** What it sends without end instead of an answer, by the id of the request; undefined for a whole answer. */
  floodOf?: (id: string) => Flood | undefined
  /** Decides whether the answer of a run is lost. */
  losesAnswer?: () => boolean
  /** Decides whether an answer lacks the signature. */
  losesSignature?: () => boolean
  /** How answers end, by the id of their request; undefined for a chunked or a sized one. */
  endOf?: (id: string) => AnswerEnd | undefined
  /** Headers with the upstream's signals, added to each response. */
  advertises?: () => Readonly<Record<string, string>>
  /** Whether the body of a report has no end. */
  reportsEndlessly?: () => boolean
  /** State given in its reports. */
  reportedState?: () => string
  /** Decides by the parts of a prompt but for the last one, and by the id of the request, whether the upstream crashes after the first event of its answer, or inside a body. */
  crashesOn?: (parts: readonly string[], id: string) => boolean
  crash?: () => UpstreamCrash
  /** Called when a run has crashed the upstream, which has stopped. */
  onCrashed?: (run: UpstreamRun) => void
  /** Called when a request starts to run. */
  onRunStarted?: (run: UpstreamRun) => void
  /** Status of the response to an order; undefined if orders get no response. */
  orderStatus?: () => number | undefined
  port?: number
}

const EVENTS = 4
const CRASH_DELAY_MS = 15

/** A small stand-in for an upstream of the platform, which prefills prompts, streams tokens or answers calls. */
export class StandInUpstream {
  readonly #role: Role
  readonly #opts: StandInUpstreamOptions
  readonly #server: Server
  readonly #handles: HandleTable
  /** Running answers that end with their connection. */
  readonly #endingWithConnection = new Set<ServerResponse>()
  readonly #pausing = new Pausing()
  /** Copies of refusals that are yet to be sent, by connection. */
  readonly #lateCopies = new WeakMap<Socket, string>()
  #nextHandle = 0
  /** Set once it has crashed, although its address may still accept connections. */
  #crashed = false
  readonly runs: UpstreamRun[] = []
  readonly arrivals: UpstreamArrival[] = []
  /** Answers that it sent without end. */
  readonly floods: FloodedAnswer[] = []
  /** Ids of the requests whose refusals it sent, or meant to send, a second time. */
  readonly repeatedRefusals: string[] = []
  /** Headers of all calls received, not only of requests. */
  readonly received: ReceivedHeaders[] = []
  /** Tokens that its cache holds of each part of a prompt, with what was generated behind it. */
  readonly #cachedTokens = new Map<string, number>()
  /** Bodies of the orders received, and the instances that they were addressed to. */
  readonly orders: { body: unknown, expected?: string }[] = []
  address = ''

  constructor (role: Role, opts: StandInUpstreamOptions = {}) {
    this.#role = role
    this.#opts = opts
    this.#handles = opts.handles ?? new HandleTable()
    this.#server = createServer((message, response) => {
      const parts: Buffer[] = []
      message.on('data', (part: Buffer) => parts.push(part))
      message.on('end', () => { this.received.push(receivedHeadersOf(message)) })
      message.on('end', () => { void this.#serve(message, response, Buffer.concat(parts).toString()) })
      response.on('error', () => {})
    })
    this.#server.on('connection', (socket) => { if (this.#crashed) socket.destroy() })
  }

  get instance (): string {
    return this.#opts.instance ?? ''
  }

  /** Ids of the requests that it ran. */
  get runIds (): string[] {
    return this.runs.map(({ id }) => id)
  }

  /** Number of handles that were neither used nor freed. */
  get unusedHandles (): number {
    return this.#handles.size
  }

  /** Reads and writes nothing until it is resumed. Its connections stay, and new ones are accepted. */
  pause (): void {
    this.#pausing.pause()
  }

  resume (): void {
    this.#pausing.resume()
  }

  get pauses (): readonly Pause[] {
    return this.#pausing.pauses
  }

  get paused (): boolean {
    return this.#pausing.paused
  }

  async start (): Promise<void> {
    this.#server.listen(this.#opts.port ?? 0, '127.0.0.1')
    await once(this.#server, 'listening')
    this.address = `127.0.0.1:${(this.#server.address() as { port: number }).port}`
  }

  /** Stops at once and interrupts the requests that are running. */
  stop (): void {
    this.#interruptRuns()
    this.runs.forEach((run) => { run.endedAtMs ??= performance.now() })
    this.#server.close()
  }

  /** @param closedQuietly an answer that is not reset */
  #interruptRuns (closedQuietly?: ServerResponse): void {
    this.runs.filter(({ endedAtMs }) => endedAtMs === undefined).forEach((run) => { run.answerLost = true })
    // If it were closed between two events, such an answer would look complete.
    this.#endingWithConnection.forEach((response) => {
      if (response !== closedQuietly) response.socket?.resetAndDestroy()
    })
    this.#server.closeAllConnections()
  }

  async #serve (message: IncomingMessage, response: ServerResponse, text: string): Promise<void> {
    await this.#pausing.untilResumed()
    // What it had not read when it stopped is lost.
    if (!this.#server.listening) return
    const { url = '', method, headers } = message
    this.#sendLateCopy(message.socket)
    Object.entries(this.#opts.advertises?.() ?? {}).forEach(([name, value]) => response.setHeader(name, value))
    if (url === '/v1/report') return this.#report(response)
    if (url === '/v1/kv-list') return this.#listCache(response)
    if (url === '/v1/order') return this.#acceptOrder(text, headers, response)
    if (method === 'DELETE') {
      this.#handles.consume(url.split('/').at(-1) ?? '')
      response.end()
      return
    }
    const id = String(headers['x-reelspan-request-id'])
    response.setHeader('X-Reelspan-Request-Id', id)
    if (!this.#opts.losesSignature?.()) response.setHeader('X-Reelspan-Server-Stamp', `stamp-of-${id}`)
    const expected = headers['x-reelspan-expect-instance']
    if (this.#opts.instance !== undefined && expected !== undefined && expected !== this.#opts.instance) return this.#refuse(id, response, 421)
    this.arrivals.push({ id, instance: this.instance, atMs: performance.now() })
    if (this.#opts.refuses?.()) return this.#refuse(id, response, 503)
    const flood = this.#opts.floodOf?.(id)
    if (flood) return this.#flood(id, flood, headers, response)
    if (this.#role === Role.Prefill) return this.#prefill(headers, response)
    const source = headers['x-reelspan-kv-source']
    if (source !== undefined && this.#opts.handles && !this.#handles.consume(String(source).split('/').at(-1) ?? '')) return this.#refuse(id, response, 503)
    await this.#run(id, message, response)
  }

  /** Refuses a request without running it. */
  #refuse (id: string, response: ServerResponse, status: number): void {
    const { socket } = response
    if (socket && this.#opts.repeatsRefusalLate?.()) {
      this.repeatedRefusals.push(id)
      this.#lateCopies.set(socket, `HTTP/1.1 ${status} Refused\r\nX-Reelspan-Request-Id: ${id}\r\nX-Reelspan-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`)
    }
    response.writeHead(status, { 'X-Reelspan-Not-Executed': '1' }).end()
  }

  #sendLateCopy (socket: Socket): void {
    const copy = this.#lateCopies.get(socket)
    if (copy !== undefined) socket.write(copy)
    this.#lateCopies.delete(socket)
  }

  async #flood (id: string, flood: Flood, headers: IncomingMessage['headers'], response: ServerResponse): Promise<void> {
    const answer: FloodedAnswer = { id, startedAtMs: performance.now() }
    this.floods.push(answer)
    const after = headers['last-event-id']
    await sendFlood(response, flood, { id, firstEvent: after === undefined ? 0 : Number(after) + 1 })
    answer.closedAtMs = performance.now()
  }

  async #run (id: string, { url = '', headers }: IncomingMessage, response: ServerResponse): Promise<void> {
    const after = headers['last-event-id']
    const losesAnswer = this.#opts.losesAnswer?.() ?? false
    const run: UpstreamRun = { id, instance: this.instance, path: url, startedAtMs: performance.now(), complete: false, answerLost: losesAnswer, resumedAfter: after === undefined ? undefined : Number(after), sentEvents: 0, eventsAtMs: [], softwareVersion: this.#opts.softwareVersion }
    this.runs.push(run)
    this.#opts.onRunStarted?.(run)
    response.on('close', () => { void this.#recordClosed(run) })
    const crashes = this.#opts.crashesOn?.(sharedParts(headers), id) ?? false
    const [part, tokens] = ownPart(headers)
    response.on('close', () => { this.#cachedTokens.set(part, tokens + run.sentEvents) })
    this.#cachedTokens.set(part, tokens)
    if (this.#role === Role.Service) await this.#call(run, response, crashes)
    else await this.#stream(run, response, crashes)
    run.complete = response.writableEnded && !response.destroyed && !run.answerLost
    run.endedAtMs ??= performance.now()
  }

  /** While it is paused, it does not notice that a connection was closed. */
  async #recordClosed (run: UpstreamRun): Promise<void> {
    await this.#pausing.untilResumed()
    run.endedAtMs ??= performance.now()
  }

  /** Exits soon after the first event, as an engine that begins to write does. */
  async #crash (run: UpstreamRun, response: ServerResponse): Promise<void> {
    await sleep(CRASH_DELAY_MS)
    if (!this.#server.listening || this.#crashed) return
    this.#crashed = true
    const { closesQuietly = false, acceptsForMs } = this.#opts.crash?.() ?? {}
    this.#interruptRuns(closesQuietly ? response : undefined)
    if (acceptsForMs === undefined) this.#server.close()
    else setTimeout(() => this.#server.close(), acceptsForMs)
    this.#opts.onCrashed?.(run)
  }

  #shapeOf (id: string): RequestShape {
    return this.#opts.shapeOf?.(id) ?? { events: EVENTS, workMs: this.#opts.workMs ?? 0 }
  }

  #report (response: ServerResponse): void {
    if (this.#opts.reportsEndlessly?.()) {
      endlessBody().pipe(response)
      return
    }
    response.end(JSON.stringify({ born: this.#opts.startTimeMs, stage: this.#role, state: this.#opts.reportedState?.(), models: [{ name: 'm', version: 1, adapters: [] }], busy: false, sequence: 0, queued: 0, running: 0, kv_used: 0, kv_total: 1000, kv_handles: 0, runs: this.#reportedRuns() }))
  }

  #listCache (response: ServerResponse): void {
    response.end(JSON.stringify({ epoch: 1, next_token: 0, held: [...this.#cachedTokens].map(([part, tokens]) => ['', part, tokens, 'm']) }))
  }

  /** Running requests as in reports: id, tokens in memory, events made and priority. */
  #reportedRuns (): [string, number, number, number][] {
    return this.#role === Role.Decode ? this.runs.filter(({ endedAtMs }) => endedAtMs === undefined).map(({ id, sentEvents }) => [id, 50 + sentEvents, sentEvents, 5]) : []
  }

  #acceptOrder (text: string, headers: IncomingMessage['headers'], response: ServerResponse): void {
    const expected = headers['x-reelspan-expect-instance']
    this.orders.push({ body: JSON.parse(text), expected: expected === undefined ? undefined : String(expected) })
    const status = this.#opts.orderStatus ? this.#opts.orderStatus() : 202
    if (status !== undefined) response.writeHead(status).end()
  }

  async #prefill (headers: IncomingMessage['headers'], response: ServerResponse): Promise<void> {
    if (headers['x-reelspan-serving-stage'] !== 'prefill') return this.#refuse(String(headers['x-reelspan-request-id']), response, 421)
    const { prefillMs = 0 } = this.#opts
    if (prefillMs > 0) await sleep(prefillMs)
    await this.#pausing.untilResumed()
    if (response.destroyed) return
    const handle = `${this.#opts.instance ?? 'h'}${this.#nextHandle++}`
    if (!this.#opts.losesHandle?.()) this.#handles.add(handle, response.socket)
    if (this.#opts.handleTtlMs !== undefined) setTimeout(() => this.#handles.consume(handle), this.#opts.handleTtlMs).unref()
    response.end(JSON.stringify({ kv_handle: handle, tokens: 100, version: 1 }))
  }

  async #call (run: UpstreamRun, response: ServerResponse, crashes: boolean): Promise<void> {
    const { id, answerLost: losesAnswer } = run
    const { workMs, answerBytes = 0 } = this.#shapeOf(id)
    if (workMs > 0) await sleep(workMs)
    await this.#pausing.untilResumed()
    if (crashes) {
      if (this.#opts.endOf?.(id)?.withConnection) this.#endWithConnection(response)
      response.write('done')
      return this.#crash(run, response)
    }
    if (losesAnswer) {
      response.destroy()
      return
    }
    const body = `done ${id}`.padEnd(answerBytes)
    if (!this.#opts.endOf?.(id)?.withConnection) {
      response.end(body)
      return
    }
    this.#endWithConnection(response)
    response.write(body)
    response.end()
  }

  /** Must be called before the head is written. */
  #endWithConnection (response: ServerResponse): void {
    response.useChunkedEncodingByDefault = false
    response.shouldKeepAlive = false
    this.#endingWithConnection.add(response)
    response.once('close', () => this.#endingWithConnection.delete(response))
  }

  async #stream (run: UpstreamRun, response: ServerResponse, crashes: boolean): Promise<void> {
    const { id, resumedAfter = -1, answerLost: losesAnswer } = run
    const { withConnection = false, cutAtBytes = Number.POSITIVE_INFINITY, lineEnd = '\n' } = this.#opts.endOf?.(id) ?? {}
    if (withConnection) this.#endWithConnection(response)
    response.writeHead(200, { 'Content-Type': 'text/event-stream' })
    const { events, workMs } = this.#shapeOf(id)
    let sentBytes = 0
    for (let i = resumedAfter + 1; i < events; i++) {
      if (workMs > 0) await sleep(workMs)
      await this.#pausing.untilResumed()
      if (response.destroyed) return
      if (losesAnswer && i === events - 1) {
        if (withConnection) response.socket?.resetAndDestroy()
        response.destroy()
        return
      }
      const event = `id: ${i}${lineEnd}data: ${id} ${i}${lineEnd}${lineEnd}`
      response.write(event.slice(0, Math.max(1, cutAtBytes - sentBytes)))
      sentBytes += event.length
      if (sentBytes > cutAtBytes) {
        run.answerLost = true
        break
      }
      run.sentEvents++
      run.eventsAtMs?.push(performance.now())
      if (crashes) return this.#crash(run, response)
    }
    response.end()
  }
}

/** The last part of a prompt, which belongs to the request, and its tokens. */
function ownPart (headers: IncomingMessage['headers']): [string, number] {
  const [part, tokens] = (String(headers['x-reelspan-prompt-prefix'] ?? '').split(',').at(-1) ?? '').split(':')
  return [part, Number(tokens)]
}

/** The parts of a prompt that other requests may share. */
function sharedParts (headers: IncomingMessage['headers']): string[] {
  return String(headers['x-reelspan-prompt-prefix'] ?? '').split(',').slice(0, -1).map((part) => part.split(':')[0])
}

function receivedHeadersOf ({ url = '', rawHeaders, rawTrailers }: IncomingMessage): ReceivedHeaders {
  const lines = [...rawHeaders, ...rawTrailers]
  const valuesOf = (header: string) => lines.filter((_, i) => i % 2 === 1 && lines[i - 1].toLowerCase() === header)
  return {
    path: url,
    isRequest: valuesOf('x-reelspan-request-id').length > 0,
    accounts: valuesOf('x-reelspan-tenant'),
    hasKey: valuesOf('authorization').length > 0,
    text: lines.join('\n'),
  }
}
