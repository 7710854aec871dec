import { readBearerKeyDigest } from '@reelspan/accounts.keys'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { type Context } from 'koa'
import { Header } from './headers.js'

/** Options of a request that its caller sets in the headers. */
export interface CallOptions {
  /** Undefined if the caller sent none. */
  key?: string
  client: string
  /** The digest of the client account's key that the caller sent. */
  accountKeyDigest?: string
  notRepeatable: boolean
  deadlineMs?: number
}

/** The client of requests that name none. */
export const DEFAULT_CLIENT = 'default'
const CLIENT_NAME = /^[\w.@-]{1,100}$/

/** Reads the headers of a request. Throws `ERR_REELSPAN_BAD_REQUEST` with the name of the invalid header. */
export function readCallOptions (ctx: Context): CallOptions {
  const client = ctx.get(Header.Client) || DEFAULT_CLIENT
  if (!CLIENT_NAME.test(client)) throw badHeader(Header.Client, 'expected 1 to 100 letters, digits, and . _ @ -')
  return {
    key: unquoted(ctx.get(Header.IdempotencyKey)) || undefined,
    client,
    accountKeyDigest: readBearerKeyDigest(ctx.req.headersDistinct.authorization ?? []),
    notRepeatable: readFlag(ctx.get(Header.NotRepeatable)),
    deadlineMs: readDuration(ctx.get(Header.DeadlineMs)),
  }
}

/** Removes quotes, since the `Idempotency-Key` draft defines the key as a quoted string. */
function unquoted (text: string): string {
  return text.replace(/^"(.*)"$/, '$1')
}

function readFlag (text: string): boolean {
  if (text !== '' && text !== 'true' && text !== 'false') throw badHeader(Header.NotRepeatable, 'expected true or false')
  return text === 'true'
}

function readDuration (text: string): number | undefined {
  if (text === '') return undefined
  if (!/^[1-9]\d{0,8}$/.test(text)) throw badHeader(Header.DeadlineMs, 'expected a whole number of milliseconds')
  return Number(text)
}

function badHeader (header: Header, expected: string): ReelspanError {
  return new ReelspanError(ErrorCode.BadRequest, `${header}: ${expected}`)
}
