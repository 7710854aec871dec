import { setTimeout as sleep } from 'node:timers/promises'
import { Verdict } from '@reelspan/core.error'
import { expectedAnswer } from '@reelspan/utils.fakes'
import { Agent, request } from 'undici'
import { type LoadRequest } from './loadShape.js'

/** Outcome of a request as its caller observed it. Times are of the last attempt. */
export interface LoadOutcome {
  id: string
  client: string
  startedAtMs: number
  verdict: Verdict
  code?: string
  retryAfterMs?: number
  ttftMs?: number
  tbtMs: number[]
  /** Duration from sending the request to the end of the answer. */
  endMs: number
  /** Whether the complete answer to this very request arrived. */
  correct: boolean
  /** Number of retries after refusals that carried a retry time. */
  returns: number
}

export interface RunLoadOptions {
  /** Addresses (`ip:port`) at which the boxes accept requests. */
  addresses: readonly string[]
  model: string
  /** Maximum number of retries of a refused request that carries a retry time. Default: 0. */
  maxRetries?: number
}

interface SsePart {
  choices?: { text: string }[]
  reelspan?: { key?: string, verdict: Verdict, code?: string, retryAfterMs?: number }
}

/** Sends each request at its time, without waiting for earlier ones, and resolves once all have ended. */
export async function runLoad (requests: readonly LoadRequest[], opts: RunLoadOptions): Promise<LoadOutcome[]> {
  const agent = new Agent({ connections: 512, connect: { timeout: 2000 } })
  const startedAtMs = performance.now()
  const outcomes = await Promise.all(requests.map(async (loadRequest, i) => {
    await sleep(Math.max(0, loadRequest.atMs - (performance.now() - startedAtMs)))
    return sendWithRetries(loadRequest, opts.addresses[i % opts.addresses.length], agent, opts, startedAtMs)
  }))
  await agent.destroy()
  return outcomes
}

async function sendWithRetries (loadRequest: LoadRequest, address: string, agent: Agent, opts: RunLoadOptions, startedAtMs: number): Promise<LoadOutcome> {
  let key: string | undefined
  for (let retries = 0; ; retries++) {
    const { key: issuedKey, ...sent } = await send(loadRequest, address, agent, opts, startedAtMs, key)
    const outcome = { ...sent, returns: retries }
    key = issuedKey
    const shouldRetry = outcome.verdict === Verdict.NotRun && outcome.retryAfterMs !== undefined && retries < (opts.maxRetries ?? 0)
    if (!shouldRetry) return outcome
    await sleep(outcome.retryAfterMs)
  }
}

async function send (loadRequest: LoadRequest, address: string, agent: Agent, { model }: RunLoadOptions, loadStartMs: number, key?: string): Promise<Omit<LoadOutcome, 'returns'> & { key?: string }> {
  const received = new ReceivedAnswer()
  try {
    const response = await request(`http://${address}/v1/completions`, {
      dispatcher: agent,
      method: 'POST',
      headers: { 'content-type': 'application/json', 'reelspan-client': loadRequest.client, ...key !== undefined && { 'idempotency-key': key } },
      body: JSON.stringify({ model, prompt: loadRequest.prompt, max_tokens: loadRequest.maxTokens, stream: true }),
    })
    if (response.statusCode === 200) for await (const part of parseSseParts(response.body)) received.append(part)
    else received.append(await response.body.json() as SsePart)
  } catch {
    // Without a verdict from the box, the outcome below is MayHaveRun.
  }
  const { end } = received
  return {
    key: end?.key,
    id: loadRequest.id,
    client: loadRequest.client,
    startedAtMs: received.sentAtMs - loadStartMs,
    verdict: end?.verdict ?? Verdict.MayHaveRun,
    code: end?.code,
    retryAfterMs: end?.retryAfterMs,
    ttftMs: received.ttftMs,
    tbtMs: received.tbtMs,
    endMs: performance.now() - received.sentAtMs,
    correct: received.text === expectedAnswer(loadRequest.prompt, loadRequest.maxTokens),
  }
}

/** The part of an answer received so far, with the times of its tokens. */
class ReceivedAnswer {
  readonly sentAtMs = performance.now()
  readonly tbtMs: number[] = []
  text = ''
  ttftMs?: number
  end?: SsePart['reelspan']
  #lastTokenAtMs = this.sentAtMs

  append ({ reelspan, choices }: SsePart): void {
    if (reelspan) this.end = reelspan
    const text = choices?.[0]?.text
    if (!text) return
    const nowMs = performance.now()
    if (this.ttftMs === undefined) this.ttftMs = nowMs - this.sentAtMs
    else this.tbtMs.push(nowMs - this.#lastTokenAtMs)
    this.#lastTokenAtMs = nowMs
    this.text += text
  }
}

async function * parseSseParts (body: AsyncIterable<Uint8Array>): AsyncGenerator<SsePart> {
  const decoder = new TextDecoder()
  let pending = ''
  for await (const chunk of body) {
    const blocks = (pending + decoder.decode(chunk, { stream: true })).split('\n\n')
    pending = blocks.pop() ?? ''
    yield * blocks.map((block) => block.replace(/^data: /, '')).filter((data) => data !== '[DONE]').map((data) => JSON.parse(data) as SsePart)
  }
}
