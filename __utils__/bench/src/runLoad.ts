import { setTimeout as sleep } from 'node:timers/promises'
import { Verdict } from '@reelspan/core.error'
import { expectedAnswer } from '@reelspan/utils.fakes'
import { Agent, request } from 'undici'
import { type LoadRequest } from './loadShape.js'

/** What became of one request, as its caller saw it. */
export interface LoadOutcome {
  id: string
  client: string
  startedAtMs: number
  verdict: Verdict
  code?: string
  retryAfterMs?: number
  ttftMs?: number
  tbtMs: number[]
  endMs: number
  /** The whole answer to the caller's own request arrived. */
  whole: boolean
  /** Came back when told to, this many times. */
  returns: number
}

export interface RunLoadOptions {
  /** `ip:port` of boxes for callers. */
  addresses: readonly string[]
  model: string
  /** Times that a refused request comes back when it is told to. */
  maxReturns?: number
}

interface SsePart {
  choices?: { text: string }[]
  reelspan?: { key?: string, verdict: Verdict, code?: string, retryAfterMs?: number }
}

/** Sends requests at their times, whatever becomes of earlier ones, and waits for all to end. */
export async function runLoad (requests: readonly LoadRequest[], opts: RunLoadOptions): Promise<LoadOutcome[]> {
  const agent = new Agent({ connections: 512, connect: { timeout: 2000 } })
  const startedAtMs = performance.now()
  const outcomes = await Promise.all(requests.map(async (one, i) => {
    await sleep(Math.max(0, one.atMs - (performance.now() - startedAtMs)))
    return sendWithReturns(one, opts.addresses[i % opts.addresses.length], agent, opts, startedAtMs)
  }))
  await agent.destroy()
  return outcomes
}

async function sendWithReturns (one: LoadRequest, address: string, agent: Agent, opts: RunLoadOptions, startedAtMs: number): Promise<LoadOutcome> {
  let key: string | undefined
  for (let returns = 0; ; returns++) {
    const { key: usedKey, ...sent } = await send(one, address, agent, opts, startedAtMs, key)
    const outcome = { ...sent, returns }
    key = usedKey
    const comesBack = outcome.verdict === Verdict.NotRun && outcome.retryAfterMs !== undefined && returns < (opts.maxReturns ?? 0)
    if (!comesBack) return outcome
    await sleep(outcome.retryAfterMs)
  }
}

async function send (one: LoadRequest, address: string, agent: Agent, { model }: RunLoadOptions, epochMs: number, key?: string): Promise<Omit<LoadOutcome, 'returns'> & { key?: string }> {
  const received = new ReceivedAnswer()
  try {
    const response = await request(`http://${address}/v1/completions`, {
      dispatcher: agent,
      method: 'POST',
      headers: { 'content-type': 'application/json', 'reelspan-client': one.client, ...key !== undefined && { 'idempotency-key': key } },
      body: JSON.stringify({ model, prompt: one.prompt, max_tokens: one.maxTokens, stream: true }),
    })
    if (response.statusCode === 200) for await (const part of sseParts(response.body)) received.take(part)
    else received.take(await response.body.json() as SsePart)
  } catch {
    // The verdict below says that nothing is known.
  }
  const { end } = received
  return {
    key: end?.key,
    id: one.id,
    client: one.client,
    startedAtMs: received.sentAtMs - epochMs,
    verdict: end?.verdict ?? Verdict.MayHaveRun,
    code: end?.code,
    retryAfterMs: end?.retryAfterMs,
    ttftMs: received.ttftMs,
    tbtMs: received.tbtMs,
    endMs: performance.now() - received.sentAtMs,
    whole: received.text === expectedAnswer(one.prompt, one.maxTokens),
  }
}

/** What a caller has received of an answer so far, and when. */
class ReceivedAnswer {
  readonly sentAtMs = performance.now()
  readonly tbtMs: number[] = []
  text = ''
  ttftMs?: number
  end?: SsePart['reelspan']
  #lastAtMs = this.sentAtMs

  take ({ reelspan, choices }: SsePart): void {
    if (reelspan) this.end = reelspan
    const text = choices?.[0]?.text
    if (!text) return
    const nowMs = performance.now()
    if (this.ttftMs === undefined) this.ttftMs = nowMs - this.sentAtMs
    else this.tbtMs.push(nowMs - this.#lastAtMs)
    this.#lastAtMs = nowMs
    this.text += text
  }
}

async function * sseParts (body: AsyncIterable<Uint8Array>): AsyncGenerator<SsePart> {
  const decoder = new TextDecoder()
  let pending = ''
  for await (const chunk of body) {
    const blocks = (pending + decoder.decode(chunk, { stream: true })).split('\n\n')
    pending = blocks.pop() ?? ''
    yield * blocks.map((block) => block.replace(/^data: /, '')).filter((data) => data !== '[DONE]').map((data) => JSON.parse(data) as SsePart)
  }
}
