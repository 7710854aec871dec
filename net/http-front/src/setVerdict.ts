import { Verdict } from '@reelspan/core.error'
import { type FinalAnswer } from '@reelspan/core.messages'
import { type Context } from 'koa'
import { Header } from './headers.js'
import { statusOf } from './statusOf.js'

const MS_PER_SECOND = 1000

/** Sets the status and headers that report the outcome of a request. */
export function setVerdict (ctx: Context, { verdict, code, retryAfterMs }: FinalAnswer, finishedStatus = 200): void {
  ctx.status = verdict === Verdict.Finished ? finishedStatus : statusOf(code, verdict)
  ctx.set(Header.Verdict, verdict)
  if (code !== undefined) ctx.set(Header.Code, code)
  if (retryAfterMs === undefined) return
  ctx.set(Header.RetryAfterMs, String(Math.ceil(retryAfterMs)))
  ctx.set(Header.RetryAfter, String(Math.ceil(retryAfterMs / MS_PER_SECOND)))
}
