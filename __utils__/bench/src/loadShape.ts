import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { type Random } from '@reelspan/core.env'
import { promptFor } from '@reelspan/utils.fakes'
import { parse } from 'smol-toml'
import { z } from 'zod'

const positiveInteger = z.number().int().positive()

const shapeSchema = z.strictObject({
  model: z.string(),
  ttftTargetMs: z.number().positive(),
  tbtTargetMs: z.number().positive(),
  /** Requests per second at load 1. */
  baseRequestsPerSecond: z.number().positive(),
  /** Number of prompt prefixes that are shared between requests. */
  sharedPrefixes: positiveInteger,
  /** Length of a shared prefix. */
  sharedTokens: positiveInteger,
  /** Exponent of the Zipf distribution by which prefixes are chosen. With 0 all are equally likely. */
  popularitySkew: z.number().nonnegative(),
  /** Range of the number of tokens that follow the shared prefix. */
  ownTokensMin: positiveInteger,
  ownTokensMax: positiveInteger,
  answerTokensMin: positiveInteger,
  answerTokensMax: positiveInteger,
  /** Limit of answer tokens that each request sets. */
  maxTokens: positiveInteger,
  clients: positiveInteger,
})

/** Distribution of the requests of a load. Lengths are in tokens. */
export type LoadShape = z.infer<typeof shapeSchema>

/** Reads a shape from the folder `shapes`: `tuul` or `magnolia`. */
export function readShape (name: string): LoadShape {
  return shapeSchema.parse(parse(readFileSync(join(import.meta.dirname, '..', 'shapes', `${name}.toml`), 'utf8')))
}

export interface LoadRequest {
  atMs: number
  id: string
  prompt: string
  maxTokens: number
  client: string
  /** Length of the prefix shared with other requests. */
  sharedTokens: number
  answerTokens: number
}

const CHARS_PER_TOKEN = 4

/** Generates requests with exponential interarrival times. The same seed gives the same requests. */
export function generateLoad (random: Random, shape: LoadShape, opts: { requestsPerSecond: number, durationMs: number, name: string }): LoadRequest[] {
  const weights = Array.from({ length: shape.sharedPrefixes }, (_, i) => (i + 1) ** -shape.popularitySkew)
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  const requests: LoadRequest[] = []
  for (let atMs = drawInterarrivalMs(random, opts.requestsPerSecond); atMs < opts.durationMs; atMs += drawInterarrivalMs(random, opts.requestsPerSecond)) {
    const id = `${opts.name}-${requests.length}`
    const sharedPrompt = sharedPromptText(pickWeighted(random, weights, total), shape.sharedTokens)
    const uniquePrompt = 'x'.repeat(CHARS_PER_TOKEN * drawInteger(random, shape.ownTokensMin, shape.ownTokensMax))
    const answerTokens = drawInteger(random, shape.answerTokensMin, shape.answerTokensMax)
    requests.push({
      atMs,
      id,
      prompt: promptFor(id, { shared: `${sharedPrompt}${id} ${uniquePrompt}`, answerTokens }),
      maxTokens: shape.maxTokens,
      client: `client-${random.nextInt(shape.clients)}`,
      sharedTokens: shape.sharedTokens,
      answerTokens,
    })
  }
  return requests
}

function drawInterarrivalMs (random: Random, perSecond: number): number {
  return -Math.log(1 - random.nextFloat()) * 1000 / perSecond
}

function drawInteger (random: Random, min: number, max: number): number {
  return min + random.nextInt(max - min + 1)
}

function pickWeighted (random: Random, weights: readonly number[], total: number): number {
  let remaining = random.nextFloat() * total
  return Math.max(0, weights.findIndex((weight) => (remaining -= weight) <= 0))
}

function sharedPromptText (index: number, tokens: number): string {
  const phrase = `guidance ${index} `
  return phrase.repeat(Math.ceil(tokens * CHARS_PER_TOKEN / phrase.length)).slice(0, tokens * CHARS_PER_TOKEN)
}
