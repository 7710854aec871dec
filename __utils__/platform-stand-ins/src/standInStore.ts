import { once } from 'node:events'
import { createServer, type Server, type ServerResponse } from 'node:http'
import { endlessBody } from '@reelspan/utils.stand-ins'

interface Item {
  value: string | Uint8Array
  revision: number
}

interface Change {
  key: string
  revision: number
  value?: string | Uint8Array
}

/** State of a store that it can be restored to. */
export interface StoreBackup {
  items: ReadonlyMap<string, Item>
  revision: number
  history: readonly Change[]
}

/** A small stand-in for the platform's store, with paged reads, watches, history compaction and restorable backups. */
export class StandInStore {
  readonly #items = new Map<string, Item>()
  /** State that reads are answered from while they are stale. */
  #staleSnapshot?: { items: Map<string, Item>, revision: number }
  #history: Change[] = []
  readonly #server: Server
  readonly #waitingWatches = new Set<() => void>()
  #revision = 0
  #compactedUpTo = 0
  /** Paths of all calls so far. */
  readonly calls: string[] = []
  /** Status of all responses while it is set. */
  failWithStatus?: number
  /** Whether calls get no response. */
  unresponsive = false
  /** Delay of each response. */
  delayMs = 0
  itemsPerPage = 2
  /** Number of restores from a backup, sent as a header. Responses have no such header while it is undefined. */
  era?: number
  /** Whether all watches are rejected as if their history was compacted. */
  rejectWatches = false
  /** Decides by the path of a call whether its answer has a body without an end. */
  answersEndlessly: (path: string) => boolean = () => false
  /** Called before a call is answered. */
  onCall?: () => void
  /** Sent instead of the era in the header of each response, if set. */
  eraHeader?: string

  constructor () {
    this.#server = createServer((message, response) => {
      const serve = () => this.#serve(new URL(message.url ?? '/', 'http://store'), response)
      if (this.delayMs > 0) setTimeout(serve, this.delayMs)
      else serve()
    })
  }

  async start (): Promise<string> {
    this.#server.listen(0, '127.0.0.1')
    await once(this.#server, 'listening')
    return this.address
  }

  get address (): string {
    return `127.0.0.1:${(this.#server.address() as { port: number }).port}`
  }

  stop (): void {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  put (key: string, value: unknown): void {
    this.#change({ key, revision: ++this.#revision, value: typeof value === 'string' || value instanceof Uint8Array ? value : JSON.stringify(value) })
  }

  delete (key: string): void {
    this.#change({ key, revision: ++this.#revision })
  }

  keys (prefix: string): string[] {
    return [...this.#items.keys()].filter((key) => key.startsWith(prefix))
  }

  /** From now on, reads return the present state, while watches continue to return changes. */
  serveStaleReads (): void {
    this.#staleSnapshot = { items: new Map(this.#items), revision: this.#revision }
  }

  serveFreshReads (): void {
    this.#staleSnapshot = undefined
  }

  /** Rejects watches that start before the present revision, including those that are waiting. */
  compactHistory (): void {
    this.#compactedUpTo = this.#revision
    this.#history.length = 0;
    [...this.#waitingWatches].forEach((wake) => wake())
  }

  /** Takes a backup of the current state. */
  backup (): StoreBackup {
    return { items: new Map(this.#items), revision: this.#revision, history: [...this.#history] }
  }

  /** Restores a backup: later writes are lost, their revisions are assigned again, and connections are closed. */
  restore ({ items, revision, history }: StoreBackup, { closes: closeConnections = true } = {}): void {
    this.#items.clear()
    items.forEach((item, key) => this.#items.set(key, item))
    this.#revision = revision
    this.#history = [...history]
    this.era = (this.era ?? 0) + 1
    this.#waitingWatches.clear()
    if (closeConnections) this.#server.closeAllConnections()
  }

  #change (change: Change): void {
    if (change.value === undefined) this.#items.delete(change.key)
    else this.#items.set(change.key, { value: change.value, revision: change.revision })
    this.#history.push(change);
    [...this.#waitingWatches].forEach((wake) => wake())
  }

  #serve (url: URL, response: ServerResponse): void {
    this.calls.push(url.pathname)
    this.onCall?.()
    if (this.unresponsive) return
    const eraText = this.eraHeader ?? this.era?.toString() ?? ''
    if (eraText !== '') response.setHeader('Store-Era', eraText)
    if (this.failWithStatus !== undefined) {
      response.writeHead(this.failWithStatus).end()
      return
    }
    if (this.answersEndlessly(url.pathname)) {
      endlessBody().pipe(response)
      return
    }
    const query = url.searchParams
    if (url.pathname === '/v1/kv-key') return this.#sendItem(query.get('private_key') ?? '', response)
    if (url.pathname === '/v1/kv-range') return this.#sendPage(query.get('path_prefix') ?? '', query.get('after') ?? '', response)
    this.#watch(query.get('path_prefix') ?? '', Number(query.get('after')), Number(query.get('wait_ms')), response)
  }

  #sendItem (key: string, response: ServerResponse): void {
    const { items, revision } = this.#readable
    const item = items.get(key)
    if (!item) {
      response.writeHead(404).end()
      return
    }
    sendJson(response, { ...toWireItem(key, item), store_revision: revision })
  }

  #sendPage (prefix: string, after: string, response: ServerResponse): void {
    const { items, revision } = this.#readable
    const matching = [...items].filter(([key]) => key.startsWith(prefix) && key > after).sort(([a], [b]) => a < b ? -1 : 1)
    const page = matching.slice(0, this.itemsPerPage)
    sendJson(response, { items: page.map(([key, item]) => toWireItem(key, item)), has_more: matching.length > page.length, store_revision: revision })
  }

  get #readable () {
    return this.#staleSnapshot ?? { items: this.#items, revision: this.#revision }
  }

  #watch (prefix: string, after: number, waitMs: number, response: ServerResponse): void {
    const answer = () => {
      this.#waitingWatches.delete(wake)
      clearTimeout(timer)
      if (this.rejectWatches || after < this.#compactedUpTo || after > this.#revision) {
        response.writeHead(410).end()
        return
      }
      const events = this.#changesAfter(prefix, after).map(({ key, revision, value }) => value === undefined
        ? { private_key: key, revision, deleted: true }
        : toWireItem(key, { value, revision }))
      sendJson(response, { events, store_revision: this.#revision })
    }
    const wake = () => {
      if (this.rejectWatches || after < this.#compactedUpTo || after > this.#revision || this.#changesAfter(prefix, after).length > 0) answer()
    }
    const timer = setTimeout(answer, waitMs)
    this.#waitingWatches.add(wake)
    wake()
  }

  #changesAfter (prefix: string, after: number): Change[] {
    return this.#history.filter(({ key, revision }) => key.startsWith(prefix) && revision > after)
  }
}

function toWireItem (key: string, { value, revision }: Item) {
  return { private_key: key, value: Buffer.from(value).toString('base64'), revision, create_rev: revision, lease: 0 }
}

function sendJson (response: ServerResponse, body: unknown): void {
  response.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify(body))
}
