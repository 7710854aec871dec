// A stand-in for the platform's store, for the calls of PROTOCOL.md that boxes make.
import { answerText, WireServer } from './wire.mjs'

const PAGE_ITEMS = 50
const ANSWER_MS = 4

export class Store {
  #items = new Map()
  #history = []
  #waiting = new Set()
  #server = new WireServer((request) => this.#serve(request))
  revision = 0

  start (address) {
    return this.#server.start(address)
  }

  /** Returns the revision of the change. Its return is the acknowledgement. */
  put (key, value) {
    const revision = ++this.revision
    const item = { private_key: key, value: Buffer.from(JSON.stringify(value)).toString('base64'), revision, create_rev: this.#items.get(key)?.create_rev ?? revision, lease: 0 }
    this.#items.set(key, item)
    this.#record(item)
    return revision
  }

  delete (key) {
    if (!this.#items.delete(key)) return
    this.#record({ private_key: key, revision: ++this.revision, deleted: true })
  }

  #record (event) {
    this.#history.push(event);
    [...this.#waiting].forEach((wake) => wake())
  }

  async #serve (request) {
    const query = new URLSearchParams(request.target.split('?')[1] ?? '')
    await new Promise((resolve) => setTimeout(resolve, ANSWER_MS))
    const { status = 200, body } = await this.#answer(request, query)
    request.connection.write(answerText(status, { 'Content-Type': 'application/json' }, JSON.stringify(body ?? {})))
  }

  async #answer ({ path, connection }, query) {
    if (path === '/v1/kv-key') {
      const item = this.#items.get(query.get('private_key'))
      return item ? { body: { ...item, store_revision: this.revision } } : { status: 404, body: { store_revision: this.revision } }
    }
    if (path === '/v1/kv-range') {
      const prefix = query.get('path_prefix')
      const after = query.get('after') ?? ''
      const keys = [...this.#items.keys()].filter((key) => key.startsWith(prefix) && key > after).sort()
      const items = keys.slice(0, PAGE_ITEMS).map((key) => this.#items.get(key))
      return { body: { items, has_more: keys.length > items.length, store_revision: this.revision } }
    }
    if (path !== '/v1/kv-watch') return { status: 404 }
    const prefix = query.get('path_prefix')
    const after = Number(query.get('after'))
    const events = () => this.#history.filter(({ private_key: key, revision }) => key.startsWith(prefix) && revision > after)
    await this.#waitFor(() => events().length > 0, Number(query.get('wait_ms')), connection)
    return { body: { events: events(), store_revision: this.revision } }
  }

  #waitFor (isDue, waitMs, connection) {
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer)
        this.#waiting.delete(wake)
        connection.onClose.delete(done)
        resolve()
      }
      const wake = () => { if (isDue()) done() }
      const timer = setTimeout(done, waitMs)
      this.#waiting.add(wake)
      connection.onClose.add(done)
      wake()
    })
  }
}
