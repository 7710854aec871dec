import { Readable } from 'node:stream'
import { Verdict } from '@reelspan/core.error'
import { type AnswerEvent, AnswerEventKind, type FinalAnswer } from '@reelspan/core.messages'
import { type Context } from 'koa'
import { setVerdict } from './setVerdict.js'

export interface AnswerOptions {
  model: string
  key: string
}

type Events = AsyncGenerator<AnswerEvent>

/** Answers with a single JSON body once the completion has ended. */
export async function answerNonStreamed (ctx: Context, events: Events, { model, key }: AnswerOptions): Promise<void> {
  const texts: string[] = []
  for await (const event of events) {
    if (event.kind === AnswerEventKind.Token) texts.push(event.text)
    if (event.kind === AnswerEventKind.Final) answerFinal(ctx, event, { model, key, texts })
  }
}

/** Streams the answer as server-sent events, one per token. A request that fails before its first token gets a plain JSON error. */
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
  ctx.body = Readable.from(serverSentEvents(first.value, events, opts), { objectMode: true, highWaterMark: 1 })
}

async function * serverSentEvents (first: AnswerEvent, rest: Events, { model, key }: AnswerOptions): AsyncGenerator<string> {
  // Built once, since it is the same for all tokens of an answer.
  const chunkStart = `data: {"id":${JSON.stringify(key)},"object":"text_completion","model":${JSON.stringify(model)},"choices":[{"index":0,"text":`
  yield formatEvent(first, chunkStart, key)
  for await (const event of rest) yield formatEvent(event, chunkStart, key)
}

function formatEvent (event: AnswerEvent, chunkStart: string, key: string): string {
  switch (event.kind) {
    case AnswerEventKind.Token: return `${chunkStart}${JSON.stringify(event.text)},"finish_reason":null}]}\n\n`
    case AnswerEventKind.Final: {
      const finishReason = event.verdict === Verdict.Finished ? 'stop' : 'error'
      const rest = JSON.stringify({ usage: usageOf(event), reelspan: outcomeOf(event, key) }).slice(1)
      return `${chunkStart}"","finish_reason":"${finishReason}"}],${rest}\n\ndata: [DONE]\n\n`
    }
    case AnswerEventKind.Response: return ''
  }
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
