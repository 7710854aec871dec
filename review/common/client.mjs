// Clients of a deployment: each attempt has an id of its own.
import { Agent, request } from 'node:http'
import { randomBytes } from 'node:crypto'

export class Client {
  #agent = new Agent({ keepAlive: true, keepAliveMsecs: 1000, timeout: 20_000 })
  constructor (record) {
    this.record = record
  }

  close () {
    this.#agent.destroy()
  }

  /** Sends one attempt and resolves with what came back. */
  send (address, { path, kind, method = 'POST', prompt, tokens = '3000,68', deadlineMs = 14_000, body = 'x'.repeat(600), lastEventId, headers: more = {}, agent = this.#agent, id = randomBytes(8).toString('hex') }) {
    const [host, port] = address.split(':')
    const headers = {
      Host: 'scripts.example',
      'X-Reelspan-Request-Id': id,
      'X-Reelspan-Deadline-Ms': deadlineMs,
      ...prompt === undefined ? {} : { 'X-Reelspan-Model': 'm', 'X-Reelspan-Token-Count': tokens, 'X-Reelspan-Prompt-Prefix': `5c1e07a2:200,${prompt}:${Number(tokens.split(',')[0]) - 200}`, 'X-Reelspan-Length-Hint': Number(tokens.split(',')[1]) },
      ...lastEventId === undefined ? {} : { 'Last-Event-Id': lastEventId },
      ...method === 'GET' ? {} : { 'Content-Length': Buffer.byteLength(body) },
      ...more,
    }
    this.record.add('sent', { id, kind, to: address, path })
    return new Promise((resolve) => {
      const answer = { id, kind, status: 0, text: '', whole: false }
      const finish = (why) => {
        clearTimeout(timer)
        if (answer.done) return
        answer.done = true
        this.record.add('answered', { id, kind, status: answer.status, whole: answer.whole, stamp: answer.stamp, why, text: answer.text })
        resolve(answer)
      }
      const call = request({ host, port, path, method, headers, agent }, (response) => {
        answer.status = response.statusCode
        answer.stamp = response.headers['x-reelspan-server-stamp']
        answer.retryAfterS = response.headers['retry-after']
        response.on('data', (bytes) => { answer.text += bytes })
        response.on('end', () => {
          answer.whole = response.complete
          finish('end')
        })
        response.on('error', () => finish('broken off'))
        response.on('close', () => finish('closed'))
      })
      const timer = setTimeout(() => {
        call.destroy()
        finish('deadline')
      }, deadlineMs + 500)
      call.on('error', (error) => finish(error.code ?? error.message))
      call.end(method === 'GET' ? undefined : body)
    })
  }
}
