import { type Configuration } from '@reelspan/config.resources'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { type CompletionRequest, RequestKind } from '@reelspan/core.messages'
import { z } from 'zod'
import { readOrCreateKey } from './readOrCreateKey.js'
import { type CallOptions } from './readCallOptions.js'

const DEFAULT_MAX_TOKENS = 128

const bodySchema = z.object({
  model: z.string(),
  prompt: z.string().min(1),
  max_tokens: z.number().int().positive().max(100_000).default(DEFAULT_MAX_TOKENS),
  stream: z.boolean().default(false),
  priority: z.number().int().min(-100).max(100).default(0),
})

export interface ParseCompletionOptions {
  configuration: Configuration
  createKey: () => string
}

export interface ParsedCompletion {
  request: CompletionRequest
  stream: boolean
}

/** Parses the body of `POST /v1/completions`. Throws `ERR_REELSPAN_BAD_REQUEST` with the name of the invalid field, or `ERR_REELSPAN_NO_ROUTE`. */
export function parseCompletion (body: Uint8Array, call: CallOptions, { configuration, createKey }: ParseCompletionOptions): ParsedCompletion {
  const parsed = bodySchema.safeParse(parseJson(body))
  if (!parsed.success) {
    const problems = parsed.error.issues.map(({ path, message }) => `${path.join('.') || 'body'}: ${message}`)
    throw new ReelspanError(ErrorCode.BadRequest, problems.join('; '))
  }
  const { model, prompt, max_tokens: maxTokens, stream, priority } = parsed.data
  const route = configuration.routeOfModel(model)
  if (!route) throw new ReelspanError(ErrorCode.NoRoute, `no route for model «${model}»`)
  const { spec } = route
  const notRepeatable = call.notRepeatable || spec.notRepeatable
  return {
    stream,
    request: {
      kind: RequestKind.Completion,
      key: readOrCreateKey(call, notRepeatable, createKey),
      route: route.name,
      client: call.client,
      notRepeatable,
      deadlineMs: Math.min(call.deadlineMs ?? spec.deadlineMs, spec.deadlineMs),
      model,
      prompt,
      maxTokens,
      priority,
      ttftTargetMs: spec.ttftTargetMs,
      tbtTargetMs: spec.tbtTargetMs,
    },
  }
}

function parseJson (body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString())
  } catch {
    // The parser's message is left out because it quotes the body.
    throw new ReelspanError(ErrorCode.BadRequest, 'body: not JSON')
  }
}
