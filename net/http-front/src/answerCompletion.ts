import { Readable } from 'node:stream'
import { type Clock } from '@reelspan/core.env'
import { Verdict } from '@reelspan/core.error'
import { type AnswerEvent, AnswerEventKind, type FinalAnswer } from '@reelspan/core.messages'
import { type Context } from 'koa'
import { cutSlowCaller } from './cutSlowCaller.js'
import { setVerdict } from './setVerdict.js'

export interface AnswerOptions {
  clock: Clock
  slowCallerMs: number
  model: string
  key: string
}

type Events = AsyncGenerator<AnswerEvent>

/** Answers with one JSON body, once the answer is whole. */
export async function answerWhole (ctx: Context, events: Events, { model, key }: AnswerOptions): Promise<void> {
  const texts: string[] = []
  for await (const event of events) {
    if (event.kind === AnswerEventKind.Token) texts.push(event.text)
    if (event.kind === AnswerEventKind.Final) answerFinal(ctx, event, { model, key, texts })
  }
}

/** Answers token by token, as server-sent events. A request that was refused gets a plain error. */
export async function answerStreamed (ctx: Context, events: Events, opts: AnswerOptions): Promise<void> {
  const first = await events.next()
  if (first.done) return
  if (first.value.kind === AnswerEventKind.Final && first.value.verdict !== Verdict.Finished) {
    answerFinal(ctx, first.value, { ...opts, texts: [] })
    return
  }
  ctx.status = 200
  ctx.set('content-type', 'text/event-stream')
  ctx.set('cache-control', 'no-store')
  const parts = serverSentEvents(first.value, events, opts)
  ctx.body = Readable.from(cutSlowCaller(ctx, parts, opts), { objectMode: true, highWaterMark: 1 })
}

async function * serverSentEvents (first: AnswerEvent, rest: Events, { model, key }: AnswerOptions): AsyncGenerator<string> {
  yield * sseOf(first, model, key)
  for await (const event of rest) yield * sseOf(event, model, key)
}

function * sseOf (event: AnswerEvent, model: string, key: string): Generator<string> {
  if (event.kind === AnswerEventKind.Token) {
    yield sse({ id: key, object: 'text_completion', model, choices: [{ index: 0, text: event.text, finish_reason: null }] })
  }
  if (event.kind === AnswerEventKind.Final) {
    const finishReason = event.verdict === Verdict.Finished ? 'stop' : 'error'
    yield sse({ id: key, object: 'text_completion', model, choices: [{ index: 0, text: '', finish_reason: finishReason }], usage: usageOf(event), reelspan: outcomeOf(event, key) })
    yield 'data: [DONE]\n\n'
  }
}

function sse (data: object): string {
  return `data: ${JSON.stringify(data)}\n\n`
}

function answerFinal (ctx: Context, final: FinalAnswer, { model, key, texts }: { model: string, key: string, texts: string[] }): void {
  setVerdict(ctx, final)
  ctx.body = final.verdict === Verdict.Finished
    ? {
        id: key,
        object: 'text_completion',
        model,
        choices: [{ index: 0, text: texts.join(''), finish_reason: 'stop' }],
        usage: usageOf(final),
        reelspan: outcomeOf(final, key),
      }
    : { error: { code: final.code, message: final.message }, reelspan: outcomeOf(final, key) }
}

function usageOf ({ promptTokens, eventCount }: FinalAnswer) {
  return { prompt_tokens: promptTokens ?? 0, completion_tokens: eventCount, total_tokens: (promptTokens ?? 0) + eventCount }
}

function outcomeOf ({ verdict, code, message, retryAfterMs }: FinalAnswer, key: string) {
  return { key, verdict, code, message, retryAfterMs }
}
