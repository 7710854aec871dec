import { once } from 'node:events'
import { createServer, type Server, type ServerResponse } from 'node:http'

interface Item {
  value: string | Uint8Array
  revision: number
}

interface Change {
  key: string
  revision: number
  value?: string | Uint8Array
}

/** What a store stood at, to restore it from. */
export interface StoreCopy {
  items: ReadonlyMap<string, Item>
  revision: number
  history: readonly Change[]
}

/** A small stand-in for the platform's store: one page at a time, watches, a history that can be forgotten, and copies to come back from. */
export class StandInStore {
  readonly #items = new Map<string, Item>()
  /** What reads are answered from while they are stale. */
  #stale?: { items: Map<string, Item>, revision: number }
  #history: Change[] = []
  readonly #server: Server
  readonly #waiting = new Set<() => void>()
  #revision = 0
  #forgottenUpTo = 0
  /** Calls answered so far, by path. */
  readonly calls: string[] = []
  /** Every call is answered with this while it is set. */
  failWith?: number
  /** Calls get no answer while this is set. */
  mute = false
  /** Every answer is this late. */
  delayMs = 0
  itemsPerPage = 2
  /** How often the store came back from an older copy. Answers have no such header while it is undefined. */
  era?: number
  /** Every watch is told that its history is gone. */
  failWatches = false
  /** Called before a call is answered. */
  onCall?: () => void
  /** In place of the era in the header of every answer. */
  eraText?: string

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

  /** From now on reads, but not watches, show what stands now. */
  answerStaleReads (): void {
    this.#stale = { items: new Map(this.#items), revision: this.#revision }
  }

  answerFreshReads (): void {
    this.#stale = undefined
  }

  /** Watches from before now, those that wait included, are told that their history is gone. */
  forgetHistory (): void {
    this.#forgottenUpTo = this.#revision
    this.#history.length = 0;
    [...this.#waiting].forEach((wake) => wake())
  }

  /** What the store stands at now. */
  copy (): StoreCopy {
    return { items: new Map(this.#items), revision: this.#revision, history: [...this.#history] }
  }

  /** Comes back as the copy says: what was written since is gone, its revisions are given out again, and connections are closed. */
  restore ({ items, revision, history }: StoreCopy, { closes = true } = {}): void {
    this.#items.clear()
    items.forEach((item, key) => this.#items.set(key, item))
    this.#revision = revision
    this.#history = [...history]
    this.era = (this.era ?? 0) + 1
    this.#waiting.clear()
    if (closes) this.#server.closeAllConnections()
  }

  #change (change: Change): void {
    if (change.value === undefined) this.#items.delete(change.key)
    else this.#items.set(change.key, { value: change.value, revision: change.revision })
    this.#history.push(change);
    [...this.#waiting].forEach((wake) => wake())
  }

  #serve (url: URL, response: ServerResponse): void {
    this.calls.push(url.pathname)
    this.onCall?.()
    if (this.mute) return
    const eraText = this.eraText ?? this.era?.toString() ?? ''
    if (eraText !== '') response.setHeader('Store-Era', eraText)
    if (this.failWith !== undefined) {
      response.writeHead(this.failWith).end()
      return
    }
    const query = url.searchParams
    if (url.pathname === '/v1/kv-key') return this.#item(query.get('private_key') ?? '', response)
    if (url.pathname === '/v1/kv-range') return this.#page(query.get('path_prefix') ?? '', query.get('after') ?? '', response)
    this.#watch(query.get('path_prefix') ?? '', Number(query.get('after')), Number(query.get('wait_ms')), response)
  }

  #item (key: string, response: ServerResponse): void {
    const { items, revision } = this.#readable
    const item = items.get(key)
    if (!item) {
      response.writeHead(404).end()
      return
    }
    json(response, { ...wireItem(key, item), store_revision: revision })
  }

  #page (prefix: string, after: string, response: ServerResponse): void {
    const { items, revision } = this.#readable
    const matching = [...items].filter(([key]) => key.startsWith(prefix) && key > after).sort(([a], [b]) => a < b ? -1 : 1)
    const page = matching.slice(0, this.itemsPerPage)
    json(response, { items: page.map(([key, item]) => wireItem(key, item)), has_more: matching.length > page.length, store_revision: revision })
  }

  get #readable () {
    return this.#stale ?? { items: this.#items, revision: this.#revision }
  }

  #watch (prefix: string, after: number, waitMs: number, response: ServerResponse): void {
    const answer = () => {
      this.#waiting.delete(wake)
      clearTimeout(timer)
      if (this.failWatches || after < this.#forgottenUpTo || after > this.#revision) {
        response.writeHead(410).end()
        return
      }
      const events = this.#changesAfter(prefix, after).map(({ key, revision, value }) => value === undefined
        ? { private_key: key, revision, deleted: true }
        : wireItem(key, { value, revision }))
      json(response, { events, store_revision: this.#revision })
    }
    const wake = () => {
      if (this.failWatches || after < this.#forgottenUpTo || after > this.#revision || this.#changesAfter(prefix, after).length > 0) answer()
    }
    const timer = setTimeout(answer, waitMs)
    this.#waiting.add(wake)
    wake()
  }

  #changesAfter (prefix: string, after: number): Change[] {
    return this.#history.filter(({ key, revision }) => key.startsWith(prefix) && revision > after)
  }
}

function wireItem (key: string, { value, revision }: Item) {
  return { private_key: key, value: Buffer.from(value).toString('base64'), revision, create_rev: revision, lease: 0 }
}

function json (response: ServerResponse, body: unknown): void {
  response.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify(body))
}
